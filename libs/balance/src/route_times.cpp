// Moving averages of response times.
#include "amaranthdale/balance/route_times.h"

namespace amaranthdale::balance {

namespace {

constexpr double weight = 0.05; // Of one response in the average.

// A route without history is taken to need this part of its target latency.
constexpr double initialShareOfTarget = 0.33;

core::Duration scale(core::Duration duration, double factor)
{
    return std::chrono::duration_cast<core::Duration>(duration * factor);
}

} // namespace

std::optional<core::Duration> RouteTimes::measured(const std::string &route) const
{
    const auto known = this->averages.find(route);
    return known == this->averages.end() ? std::nullopt : std::optional(known->second);
}

core::Duration RouteTimes::usual(const std::string &route, core::Duration targetLatency) const
{
    return this->measured(route).value_or(scale(targetLatency, initialShareOfTarget));
}

void RouteTimes::observe(const std::string &route, core::Duration elapsed)
{
    const auto [known, added] = this->averages.try_emplace(route, elapsed);
    if (!added)
        known->second += scale(elapsed - known->second, weight);
}

} // namespace amaranthdale::balance
