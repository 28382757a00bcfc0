// Decayed sums of service times, and the speeds that follow from them.
#include "amaranthdale/balance/server_speeds.h"

#include "amaranthdale/core/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace amaranthdale::balance {

namespace {

using Seconds = std::chrono::duration<double>;

// A server that is three times slower for 400 ms changes its average by 13%, and one that stays
// slow has doubled it after 3.5 s.
constexpr Seconds measurementTimeConstant{5.0};
// Applied to reports that are not renewed, e.g. of a server without requests.
constexpr Seconds reportTimeConstant{10.0};
constexpr auto forgetAfter = std::chrono::seconds(60);

// Weight of the assumption that the server is an average one, in requests.
constexpr double priorRequests = 3;

// The range of speeds that estimates may claim; beyond it, a measurement is wrong.
constexpr double minSpeed = 0.2;
constexpr double maxSpeed = 4;

// Requests of fewer routes than this are measured at each server, which bounds reports.
constexpr std::size_t maxRoutes = 32;

// A report below this share of the known requests comes from another pool.
constexpr double otherPoolShare = 0.5;

double decay(core::Duration age, Seconds timeConstant)
{
    return std::exp(-std::max(0.0, Seconds(age).count()) / timeConstant.count());
}

core::Duration scale(core::Duration duration, double factor)
{
    return std::chrono::duration_cast<core::Duration>(duration * factor);
}

double countRequests(const std::vector<RouteTimes> &routes)
{
    double requests = 0;
    for (const RouteTimes &route : routes)
        requests += route.requests;
    return requests;
}

// Adds `added`, multiplied by `factor`, to `sum`.
void add(std::map<std::uint64_t, RouteTimes> &sum, const std::vector<RouteTimes> &added,
         double factor)
{
    for (const RouteTimes &route : added) {
        RouteTimes &entry = sum[route.route];
        entry.route = route.route;
        entry.requests += route.requests * factor;
        entry.total += scale(route.total, factor);
    }
}

using TimesByServer = std::map<core::ServerName, std::map<std::uint64_t, RouteTimes>>;

// Fits the speeds of servers and the service times of routes to the measured times, alternately.
// An average by route alone would take a server whose requests are heavy for a slow one, and one
// that gets most requests of a route for an average one.
std::map<core::ServerName, double> fitSpeeds(const TimesByServer &servers)
{
    constexpr int rounds = 20;
    std::map<core::ServerName, double> speeds;
    for (const auto &[name, routes] : servers)
        speeds.emplace(name, 1);
    for (int round = 0; round < rounds; ++round) {
        std::map<std::uint64_t, std::pair<double, double>> work; // Work in seconds, and requests.
        for (const auto &[name, routes] : servers) {
            for (const auto &[id, route] : routes) {
                work[id].first += Seconds(route.total).count() * speeds[name];
                work[id].second += route.requests;
            }
        }
        double weighted = 0;
        double requests = 0;
        for (const auto &[name, routes] : servers) {
            double expected = 0;
            double measured = 0;
            double served = 0;
            for (const auto &[id, route] : routes) {
                if (work[id].second > 0)
                    expected += route.requests * work[id].first / work[id].second;
                measured += Seconds(route.total).count();
                served += route.requests;
            }
            if (measured > 0 && expected > 0)
                speeds[name] = expected / measured;
            weighted += speeds[name] * served;
            requests += served;
        }
        for (auto &[name, speed] : speeds)
            speed *= weighted > 0 ? requests / weighted : 1;
    }
    return speeds;
}

} // namespace

void ServiceTimeBoard::observe(const core::ServiceName &service, const MeasuredRequest &measured,
                               core::TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    Entry &entry = this->services[service][measured.server];
    if (entry.incarnation != measured.incarnation)
        entry = Entry{measured.incarnation, {}, now, false};
    const double factor = decay(now - entry.decayedAt, measurementTimeConstant);
    for (auto &[id, route] : entry.routes) {
        route.requests *= factor;
        route.total = scale(route.total, factor);
    }
    entry.decayedAt = now;
    const std::uint64_t id = core::stableHash(measured.route, 0);
    if (!entry.routes.contains(id) && entry.routes.size() >= maxRoutes)
        return;
    RouteTimes &route = entry.routes[id];
    route.route = id;
    route.requests += 1;
    route.total += measured.serviceTime;
    entry.changed = true;
}

std::vector<ServerTimes> ServiceTimeBoard::report(const core::ServiceName &service, Extent extent,
                                                  core::TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    auto &servers = this->services[service];
    std::erase_if(servers,
                  [now](const auto &item) { return now - item.second.decayedAt > forgetAfter; });
    std::vector<ServerTimes> taken;
    for (auto &[name, entry] : servers) {
        if (!std::exchange(entry.changed, false) && extent == Extent::Changed)
            continue;
        ServerTimes times{name, entry.incarnation, {}};
        for (const auto &[id, route] : entry.routes)
            times.routes.push_back(route);
        taken.push_back(std::move(times));
    }
    return taken;
}

void ServerSpeeds::report(const std::vector<ServerTimes> &reported, core::TimePoint now)
{
    std::erase_if(this->servers,
                  [now](const auto &item) { return now - item.second.reportedAt > forgetAfter; });
    for (const ServerTimes &times : reported) {
        Known &known = this->servers[times.server];
        if (times.incarnation < known.incarnation)
            continue;
        if (times.incarnation > known.incarnation)
            known = Known{times.incarnation, {}, {}, {}, {}};
        const double left = decay(now - known.reportedAt, reportTimeConstant);
        if (countRequests(times.routes) < otherPoolShare * left * countRequests(known.current)) {
            known.earlier = std::move(known.current);
            known.earlierAt = known.reportedAt;
        }
        known.current = times.routes;
        known.reportedAt = now;
    }
}

core::Duration ServerSpeeds::averageTime(core::TimePoint now) const
{
    std::map<std::uint64_t, RouteTimes> all;
    for (const auto &[name, known] : this->servers)
        add(all, known.current, decay(now - known.reportedAt, reportTimeConstant));
    double requests = 0;
    core::Duration total{};
    for (const auto &[id, route] : all) {
        requests += route.requests;
        total += route.total;
    }
    return requests > 0 ? scale(total, 1 / requests) : core::Duration::zero();
}

std::map<core::ServerName, SpeedEstimate> ServerSpeeds::estimates(core::TimePoint now) const
{
    std::map<core::ServerName, std::map<std::uint64_t, RouteTimes>> recent;
    for (const auto &[name, known] : this->servers) {
        auto &routes = recent[name];
        add(routes, known.current, decay(now - known.reportedAt, reportTimeConstant));
        add(routes, known.earlier, decay(now - known.earlierAt, reportTimeConstant));
    }
    std::map<core::ServerName, SpeedEstimate> estimates;
    for (const auto &[name, speed] : fitSpeeds(recent)) {
        SpeedEstimate &estimate = estimates[name];
        for (const auto &[id, route] : recent[name])
            estimate.requests += route.requests;
        estimate.age = now - this->servers.at(name).reportedAt;
        estimate.speed = std::pow(std::clamp(speed, minSpeed, maxSpeed),
                                  estimate.requests / (estimate.requests + priorRequests));
    }
    return estimates;
}

} // namespace amaranthdale::balance
