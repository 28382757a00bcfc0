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

inline core::Duration scale(core::Duration duration, double factor)
{
    return std::chrono::duration_cast<core::Duration>(duration * factor);
}

inline double failureCost(catalog::RequestKind kind)
{
    return catalog::isIdempotent(kind) ? retryCost : lossCost;
}

} // namespace amaranthdale::balance::detail
