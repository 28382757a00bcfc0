// HTTP messages of the backend server control protocol: load queries and grants.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/decisions/concurrency_limit.h"
#include "amaranthdale/decisions/ownership_messages.h"

namespace amaranthdale::daemon {

/// Status that a backend server includes in each reply.
struct ServerStatus
{
    core::Incarnation incarnation;
    core::Epoch epoch;    ///< Highest epoch among the grants that it holds.
    core::Duration now{}; ///< Time on the server's own monotonic clock.
    unsigned inFlight = 0;
    double load = 0; ///< 1 means full.
};

core::HttpRequest loadQuery();
core::HttpRequest grantRequest(const decisions::SendGrant &grant);

/// Parses the body of a reply to either message. Fails with Protocol.
core::Result<ServerStatus> parseServerStatus(std::string_view body);

/// Completes `reply` with the kind and status of the response. On entry it holds the server,
/// fencing token, send time and, for a grant, the incarnation that the grant named.
decisions::ServerReply classifyReply(decisions::ServerReply reply, unsigned httpStatus,
                                     const ServerStatus &status);

} // namespace amaranthdale::daemon
