// The control protocol of backend servers: load queries and grants as HTTP messages.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/decisions/concurrency_limit.h"
#include "amaranthdale/decisions/ownership_messages.h"

namespace amaranthdale::daemon {

/// What a backend server tells about itself with each answer.
struct ServerStatus
{
    core::Incarnation incarnation;
    core::Epoch epoch;    ///< Highest that it holds.
    core::Duration now{}; ///< Its own monotonic clock.
    unsigned inFlight = 0;
    double load = 0; ///< 1 is full.
};

core::HttpRequest loadQuery();
core::HttpRequest grantRequest(const decisions::SendGrant &grant);

/// Reads the body of an answer to either. Fails with Protocol.
core::Result<ServerStatus> parseServerStatus(std::string_view body);

/// The fact that an answer with `httpStatus` makes for the ownership engine; `asked` holds server,
/// token, sending time and, for a grant, the incarnation that it named.
decisions::ServerAnswer classifyReply(decisions::ServerAnswer reply, unsigned httpStatus,
                                      const ServerStatus &status);

} // namespace amaranthdale::daemon
