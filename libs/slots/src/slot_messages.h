// Messages between the instances that request slots and those that allocate them.
//
// A message is one datagram: kind (1 byte), ticket (8 bytes) and fields. Numbers are big-endian;
// strings are prefixed with a length of 2 bytes.
#pragma once

#include "amaranthdale/balance/slot_pool.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace amaranthdale::slots {

/// Requests a slot.
struct SlotRequest
{
    core::ServiceName service;
    std::optional<core::ServerName> server; ///< The only one that may run the request.
    core::DataCentreName poolDataCentre;    ///< Data centre of the servers, if `server` is unset.
    bool mayWait = true; ///< If false, the request is refused when no slot is free.
    /// Second attempt of a request. Encoded as a mark on `poolDataCentre`: instances of earlier
    /// versions know no pool of that name and respond with `SlotPoolEmpty`, so that the hedge isn't
    /// sent without a budget, and the message isn't malformed for them.
    bool hedge = false;
    core::DataCentreName requesterDataCentre;
    std::string route;
    catalog::RequestKind kind = catalog::RequestKind::Idempotent;
    unsigned priority = 0;
    core::Duration targetLatency{};
    core::Duration remainingTime{}; ///< Until the request's deadline.
    std::vector<core::ServerName> tried;
    /// Of the caller; empty if there are none. Left out of the message if empty, so that instances
    /// of earlier versions read requests of deployments without organisations.
    core::OrganisationName organisation;
};

/// Confirms that a request is queued. Without it, the requester would assume that the message was
/// lost.
struct SlotQueued
{ };

struct SlotGranted
{
    core::ServerName server;
};

struct SlotRefused
{
    core::Duration retryAfter{};
    std::string reason;
};

/// Releases a slot, or cancels the wait for one.
struct SlotRelease
{
    balance::AttemptResult result = balance::AttemptResult::Cancelled;
    core::Duration elapsed{};
    std::optional<balance::LoadReport> report;
};

/// The receiver doesn't allocate slots of the requested pool; another instance may.
struct SlotPoolUnavailable
{ };

/// The requested pool has no server that the receiver may use. No other instance is asked instead:
/// each would open a pool of its own as soon as the servers return.
struct SlotPoolEmpty
{ };

using SlotContent = std::variant<SlotRequest, SlotQueued, SlotGranted, SlotRefused, SlotRelease,
                                 SlotPoolUnavailable, SlotPoolEmpty>;

struct SlotMessage
{
    balance::Ticket ticket = 0;
    SlotContent content;
};

std::string encodeSlotMessage(const SlotMessage &message);

/// Returns nullopt if `bytes` is not a valid message.
std::optional<SlotMessage> decodeSlotMessage(std::string_view bytes);

} // namespace amaranthdale::slots
