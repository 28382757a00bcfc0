// Cost estimates that the balancer and the slot pool share.
#pragma once

#include "amaranthdale/balance/service_balancer.h"

#include <map>
#include <string>

namespace amaranthdale::balance::detail {

using Seconds = std::chrono::duration<double>;

// Cost of a failure in target latencies: an idempotent request is retried, any other is lost.
inline constexpr double retryCost = 1.5;
inline constexpr double lossCost = 6;

// Returns of refused requests when no time until there is room is known.
inline constexpr auto minRetryAfter = std::chrono::milliseconds(50);
inline constexpr auto unavailableRetryAfter = std::chrono::milliseconds(400);

inline Refuse refuseWithoutServer(const Demand &demand)
{
    return Refuse{unavailableRetryAfter, demand.owner ? "owner-unusable" : "no-server"};
}

inline core::Duration scale(core::Duration duration, double factor)
{
    return std::chrono::duration_cast<core::Duration>(duration * factor);
}

inline double failureCost(catalog::RequestKind kind)
{
    return catalog::isIdempotent(kind) ? retryCost : lossCost;
}

} // namespace amaranthdale::balance::detail
