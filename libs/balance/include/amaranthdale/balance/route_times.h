// Usual time to a response of each route.
#pragma once

#include "amaranthdale/core/types.h"

#include <map>
#include <optional>
#include <string>

namespace amaranthdale::balance {

/// Moving averages. Requests of one route take about the same time. Not thread-safe.
class RouteTimes
{
public:
    /// The average, or nothing before the first response.
    std::optional<core::Duration> measured(const std::string &route) const;

    /// The average; before the first response, a part of the target latency.
    core::Duration usual(const std::string &route, core::Duration targetLatency) const;

    void observe(const std::string &route, core::Duration elapsed);

private:
    std::map<std::string, core::Duration> averages;
};

} // namespace amaranthdale::balance
