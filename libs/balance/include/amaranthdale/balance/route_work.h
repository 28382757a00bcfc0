// Work of one request of each route. Load condition: routes of one service that differ in the time
// that a request takes, so that numbers of requests say little about the load of a key's owner.
#pragma once

#include "amaranthdale/core/types.h"

#include <map>
#include <string>

namespace amaranthdale::balance {

/// Estimates from response times how much slot time a request takes, relative to the average
/// request of the service. Not thread-safe.
class RouteWork
{
public:
    void observe(const std::string &route, core::Duration elapsed);

    /// Work of a request of `route`; 1 is that of the average request. Approaches the measured
    /// ratio as responses of the route arrive.
    double relative(const std::string &route) const;

private:
    struct Average
    {
        double responses = 0; ///< Up to a bound, so that the average follows changes.
        double seconds = 0;

        void add(double value);
    };

    std::map<std::string, Average> routes; ///< Routes of the configuration only.
    Average all;
};

} // namespace amaranthdale::balance
