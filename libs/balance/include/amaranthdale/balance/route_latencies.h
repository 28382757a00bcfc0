// Average response time of each route.
#pragma once

#include "amaranthdale/core/types.h"

#include <map>
#include <optional>
#include <string>

namespace amaranthdale::balance {

/// Moving averages of response times. Requests of one route take about the same time. Not
/// thread-safe.
class RouteLatencies
{
public:
    /// The average, or nothing before the first response of the route.
    std::optional<core::Duration> average(const std::string &route) const;

    /// The average; before the first response, a share of the target latency.
    core::Duration averageOrDefault(const std::string &route, core::Duration targetLatency) const;

    void observe(const std::string &route, core::Duration elapsed);

private:
    std::map<std::string, core::Duration> averages;
};

} // namespace amaranthdale::balance
