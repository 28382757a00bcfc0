// Statuses and texts that the processing of a request and its final response share.
#pragma once

#include "amaranthdale/core/types.h"

#include <string>

namespace amaranthdale::gateway::detail {

inline constexpr unsigned badGateway = 502;
inline constexpr unsigned serviceUnavailable = 503;
inline constexpr unsigned gatewayTimeoutStatus = 504;

inline constexpr auto ownerRetryAfter = std::chrono::milliseconds(300);
// Until the next confirmation of the configuration, which comes about once a second.
inline constexpr auto outdatedRetryAfter = std::chrono::milliseconds(500);
inline constexpr auto stoppingRetryAfter = std::chrono::milliseconds(50); // Another one takes it.

// Time for the response to arrive from a server that answers exactly at its deadline.
inline constexpr auto responseMargin = std::chrono::milliseconds(40);

// A response that is already being forwarded at its deadline gets this much longer.
inline constexpr auto maxStreamOverrun = std::chrono::seconds(5);

/// True for statuses that tell the caller that the request was not run. A server may use them with
/// another meaning, so they are not forwarded from its responses.
constexpr bool impliesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Seconds with three decimals, for headers and log lines.
std::string formatSeconds(core::Duration duration);

} // namespace amaranthdale::gateway::detail
