// Speed of each server of a service, estimated from the service times that the servers' slot pools
// have measured. Load condition: servers that differ by a factor of up to three, for good or for
// seconds at a time, and whose requests pass through different instances.
#pragma once

#include "amaranthdale/core/types.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace amaranthdale::balance {

/// A request that a server has run, as its slot pool has measured it.
struct MeasuredRequest
{
    core::ServerName server;
    std::uint64_t incarnation = 0;
    std::string route;
    core::Duration serviceTime{}; ///< Without the wait for a slot of the server.
};

/// Recent requests of one route at one server. Older requests count less.
struct RouteTimes
{
    std::uint64_t route = 0; ///< Hash of the route's name, the same on all instances.
    double requests = 0;
    core::Duration total{}; ///< Sum of their service times.
};

/// What one pool has measured at one incarnation of a server.
struct ServerTimes
{
    core::ServerName server;
    std::uint64_t incarnation = 0;
    std::vector<RouteTimes> routes;
};

/// Collects the measurements of an instance's pools. Thread-safe; takes no other lock.
class ServiceTimeBoard
{
public:
    void observe(const core::ServiceName &service, const MeasuredRequest &measured,
                 core::TimePoint now);

    /// Which servers a report contains.
    enum class Extent {
        Changed, ///< Those with requests since the last report.
        All,     ///< All that are known here, for a receiver that had no report yet.
    };

    /// Returns what is known of the servers of `service`.
    std::vector<ServerTimes> report(const core::ServiceName &service, Extent extent,
                                    core::TimePoint now);

private:
    struct Entry
    {
        std::uint64_t incarnation = 0;
        std::map<std::uint64_t, RouteTimes> routes;
        core::TimePoint decayedAt{};
        bool changed = false;
    };

    std::mutex mutex;
    /// Invariant: contains only servers measured within `forgetAfter` before the last call.
    std::map<core::ServiceName, std::map<core::ServerName, Entry>> services;
};

/// A server's speed relative to the average server of its service.
struct SpeedEstimate
{
    double speed = 1;
    double requests = 0; ///< Number of requests it is based on; older ones count less.
    core::Duration age{};
};

/// Estimates of one service, where the reports of all pools arrive. A lost report costs accuracy
/// only. Not thread-safe.
class ServerSpeeds
{
public:
    /// Processes the report of one instance. A report that is based on much less than what is known
    /// of a server comes from a pool that has just taken it over, and is added to the known times.
    void report(const std::vector<ServerTimes> &reported, core::TimePoint now);

    /// Average service time of a request; zero before the first report.
    core::Duration averageTime(core::TimePoint now) const;

    /// The estimates of all known servers. They approach 1 as their reports age.
    std::map<core::ServerName, SpeedEstimate> estimates(core::TimePoint now) const;

private:
    struct Known
    {
        std::uint64_t incarnation = 0;
        std::vector<RouteTimes> current; ///< Of the pool that reported last.
        core::TimePoint reportedAt{};
        std::vector<RouteTimes> earlier; ///< Of the pool before it, as of `earlierAt`.
        core::TimePoint earlierAt{};
    };

    std::map<core::ServerName, Known> servers;
};

} // namespace amaranthdale::balance
