// Averages of response times by route and over all routes.
#include "amaranthdale/balance/route_work.h"

#include <algorithm>
#include <cmath>

namespace amaranthdale::balance {

namespace {

using Seconds = std::chrono::duration<double>;

// Responses that an average covers at most.
constexpr double maxResponses = 200;

// Weight of the assumption that a route's requests are average ones, in responses. Response times
// vary by half from server to server, and the first ones of a route may come from one server.
constexpr double priorResponses = 8;

// The range of ratios that are believed.
constexpr double minWork = 0.2;
constexpr double maxWork = 5;

} // namespace

void RouteWork::Average::add(double value)
{
    this->responses = std::min(this->responses + 1, maxResponses);
    this->seconds += (value - this->seconds) / this->responses;
}

void RouteWork::observe(const std::string &route, core::Duration elapsed)
{
    this->routes[route].add(Seconds(elapsed).count());
    this->all.add(Seconds(elapsed).count());
}

double RouteWork::relative(const std::string &route) const
{
    const auto known = this->routes.find(route);
    if (known == this->routes.end() || known->second.seconds <= 0 || this->all.seconds <= 0)
        return 1;
    const double ratio = std::clamp(known->second.seconds / this->all.seconds, minWork, maxWork);
    const double responses = known->second.responses;
    return std::pow(ratio, responses / (responses + priorResponses));
}

} // namespace amaranthdale::balance
