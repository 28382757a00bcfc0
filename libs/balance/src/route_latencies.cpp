// Moving averages of response times.
#include "amaranthdale/balance/route_latencies.h"

namespace amaranthdale::balance {

namespace {

constexpr double weight = 0.05; // Of one response in the moving average.

// Expected latency of a route without responses, as a share of its target latency.
constexpr double initialShareOfTarget = 0.33;

core::Duration scale(core::Duration duration, double factor)
{
    return std::chrono::duration_cast<core::Duration>(duration * factor);
}

} // namespace

std::optional<core::Duration> RouteLatencies::average(const std::string &route) const
{
    const auto known = this->averages.find(route);
    return known == this->averages.end() ? std::nullopt : std::optional(known->second);
}

core::Duration RouteLatencies::averageOrDefault(const std::string &route,
                                                core::Duration targetLatency) const
{
    return this->average(route).value_or(scale(targetLatency, initialShareOfTarget));
}

void RouteLatencies::observe(const std::string &route, core::Duration elapsed)
{
    const auto [known, added] = this->averages.try_emplace(route, elapsed);
    if (!added)
        known->second += scale(elapsed - known->second, weight);
}

} // namespace amaranthdale::balance
