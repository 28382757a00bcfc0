// Protocol for messages between instances, over HTTP/1.1.
//
// POST /key-counts/SERVICE: one line "KEY COUNT" per key with requests.
// POST /server-speeds/SERVICE: the body is described in speed_report.h. Earlier versions reject it
// with status 400, and place keys without it.
// POST /step-down/SERVICE: the body is "INCARNATION END": the incarnation of the replaced granter,
// and the end of the log as its successor has read it. Status 200 means that no process with this
// incarnation sends grants under earlier records any more. The body is then "leases N" and N lines
// "FIRST LAST MILLISECONDS" with the leases that may be in force, or anything else if they are not
// known.
// POST /take-over/SERVICE: the body is "INCARNATION NAME" of the granter, which asks for its
// replacement. Status 200: this instance tries; 503: it can't.
// POST /granter-status/SERVICE: the body is the incarnation of the granter. Status 200: it keeps
// its role; 409: another instance should take over.
#pragma once

#include "amaranthdale/control/interfaces.h"
#include "amaranthdale/core/message.h"

namespace amaranthdale::control {

/// Creates a channel that sends messages through `sender`.
std::unique_ptr<PeerChannel> makePeerChannel(core::HttpSender &sender);

/// Receives the messages of other instances.
class PeerListener
{
public:
    virtual ~PeerListener() = default;

    virtual void onKeyCounts(const core::ServiceName &service,
                             const std::vector<keyspace::KeyCount> &counts) = 0;

    /// Receives service times; an instance that doesn't use them ignores them.
    virtual void onServerTimes(const core::ServiceName &, const std::vector<balance::ServerTimes> &)
    { }

    /// Stops granting under records before `successorEnd`. Returns the leases that may be in force;
    /// nothing if they are not known.
    virtual std::optional<keyspace::LeaseReport> onStepDown(const core::ServiceName &service,
                                                            std::uint64_t successorEnd) = 0;

    /// Returns whether this instance tries to take over from `granter`.
    virtual bool onTakeoverRequest(const core::ServiceName &service,
                                   const core::InstanceId &granter) = 0;

    /// Returns whether this instance is the granter and keeps the role.
    virtual bool keepsRole(const core::ServiceName &service) = 0;
};

/// Creates a handler for messages to the process `incarnation` of this instance. Malformed messages
/// are rejected with status 400.
std::unique_ptr<core::RequestHandler> makePeerHandler(core::Incarnation incarnation,
                                                      PeerListener &listener);

} // namespace amaranthdale::control
