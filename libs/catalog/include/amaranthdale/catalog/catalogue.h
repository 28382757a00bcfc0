// The operator's configuration as decided on: routes, services and limits on callers.
#pragma once

#include "amaranthdale/core/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace amaranthdale::catalog {

/// What may be done with a request whose first attempt failed.
enum class RequestKind {
    Idempotent,    ///< May run more than once.
    NonIdempotent, ///< Runs at most once.
    Download,      ///< Large response; idempotent.
};

/// True for kinds that may run more than once.
constexpr bool isRepeatable(RequestKind kind)
{
    return kind != RequestKind::NonIdempotent;
}

/// One destination of a route and its share of the route's requests.
struct TrafficShare
{
    core::ServiceName service;
    double weight = 1; ///< Relative to the other shares of the route.

    bool operator==(const TrafficShare &) const = default;
};

struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RequestKind kind = RequestKind::NonIdempotent;
    core::Duration timeout{};       ///< Longest time that a caller is kept waiting.
    core::Duration targetLatency{}; ///< Responses within it are worth most.
    unsigned attempts = 1;          ///< Most backend servers that may run one request.
    unsigned priority = 0;          ///< 0 is the most urgent.
    std::vector<TrafficShare> shares;
};

struct Service
{
    core::ServiceName name;
    std::string healthPath;
    unsigned maxConnections = 1; ///< Per backend server, over all instances.
    core::Duration warmup{};     ///< How long a backend server stays cold after its start.
    double warmupRate = 0;       ///< Requests/s that a cold backend server sustains; 0: no limit.
    bool keyed = false;          ///< Backend servers own ranges of keys.
};

/// Bounds on what a caller may send.
struct CallerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    core::Duration headerTimeout = std::chrono::seconds(5);
    core::Duration idleTimeout = std::chrono::seconds(60);
};

/// One version of the configuration.
struct Catalogue
{
    std::uint64_t version = 0;
    std::vector<Service> services;
    std::vector<Route> routes;
    CallerLimits limits;
};

/// A configuration indexed for lookups. Immutable, so that requests share it without a lock.
class RouteTable
{
public:
    explicit RouteTable(Catalogue configuration);

    std::uint64_t version() const { return this->catalogue.version; }
    const CallerLimits &limits() const { return this->catalogue.limits; }
    const std::vector<Service> &services() const { return this->catalogue.services; }

    /// The route of `host` with the longest prefix of `path` (without query), or null.
    const Route *find(std::string_view host, std::string_view path) const;

    /// The service called `name`, or null.
    const Service *service(const core::ServiceName &name) const;

private:
    Catalogue catalogue;
    // Values are indexes of catalogue.routes, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> routesOfHost;
    std::unordered_map<std::string, std::size_t> serviceIndex;
};

} // namespace amaranthdale::catalog
