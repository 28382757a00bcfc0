// Messages between the instances that ask for slots and those that hand them out.
//
// Each is one datagram: a kind (1 byte), the ticket (8 bytes) and fields. Numbers are big-endian;
// texts have a length of 2 bytes before them.
#pragma once

#include "amaranthdale/balance/slot_pool.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace amaranthdale::slots {

/// Asks for a slot.
struct SlotRequest
{
    core::ServiceName service;
    std::optional<core::ServerName> server; ///< The only one that may run the request.
    core::DataCentreName pool; ///< Data centre whose servers may run it, where none is named.
    bool mayWait = true;       ///< Otherwise it is refused where no slot is free.
    core::DataCentreName from; ///< Data centre of the asker.
    std::string route;
    catalog::RequestKind kind = catalog::RequestKind::Idempotent;
    unsigned priority = 0;
    core::Duration targetLatency{};
    core::Duration left{}; ///< Until the request's deadline.
    std::vector<core::ServerName> tried;
};

/// Confirms that a request waits; the asker would take silence for a loss.
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

/// Gives a slot back, or ends the wait for one.
struct SlotRelease
{
    balance::AttemptResult result = balance::AttemptResult::Cancelled;
    core::Duration elapsed{};
    std::optional<balance::LoadReport> report;
};

/// The receiver doesn't hand out slots of these servers.
struct SlotUnknown
{ };

using SlotContent =
        std::variant<SlotRequest, SlotQueued, SlotGranted, SlotRefused, SlotRelease, SlotUnknown>;

struct SlotMessage
{
    balance::Ticket ticket = 0;
    SlotContent content;
};

std::string encodeSlotMessage(const SlotMessage &message);

/// Nothing where the bytes are no message.
std::optional<SlotMessage> decodeSlotMessage(std::string_view bytes);

} // namespace amaranthdale::slots
