// The configuration in force: routes, services and limits on caller requests.
#pragma once

#include "amaranthdale/core/types.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace amaranthdale::catalog {

/// Determines whether a request may be retried after a failed attempt.
enum class RequestKind {
    Idempotent,    ///< May be executed more than once.
    NonIdempotent, ///< Executed at most once.
    Download,      ///< Large response; idempotent.
    Upload,        ///< Large request body; executed at most once.
};

/// True if requests of this kind may be executed more than once.
constexpr bool isIdempotent(RequestKind kind)
{
    return kind == RequestKind::Idempotent || kind == RequestKind::Download;
}

/// A destination service of a route and its share of the route's requests.
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
    std::string pathPrefix; ///< Starts and ends with a slash.
    RequestKind kind = RequestKind::NonIdempotent;
    core::Duration timeout{};       ///< Maximum time until the caller gets a response.
    core::Duration targetLatency{}; ///< Responses within this time have the highest value.
    unsigned attempts = 1;          ///< Maximum number of backend servers tried per request.
    unsigned priority = 0;          ///< 0 is the highest priority.
    std::vector<TrafficShare> shares;
    bool isPublic = false; ///< Needs no key, even if the configuration has organisations.
};

/// A customer whose callers identify themselves with a key.
struct Organisation
{
    core::OrganisationName name;
    std::vector<std::string> keys;
    std::optional<unsigned> priority; ///< Takes precedence over the route's.
    double ratePerSecond = 0;         ///< Requests/s of all its callers together; 0: unlimited.
    double burst = 0;                 ///< Requests beyond the rate.
};

struct Service
{
    core::ServiceName name;
    std::string healthPath;
    unsigned maxConnections = 1; ///< Per backend server, summed over all instances.
    core::Duration warmup{};     ///< Time after its start during which a backend server is cold.
    double warmupRate = 0;       ///< Requests/s that a cold backend server sustains; 0: unlimited.
    bool keyed = false;          ///< Each key range is owned by one backend server.
};

/// Limits on requests from callers. Those that the configuration doesn't name are the listener's.
struct CallerLimits
{
    std::size_t headerBytes = std::numeric_limits<std::size_t>::max();
    std::size_t bodyBytes = std::numeric_limits<std::size_t>::max();
    core::Duration headerTimeout = core::Duration::max();
    core::Duration idleTimeout = core::Duration::max();
};

/// A version of the configuration.
struct Catalogue
{
    std::uint64_t version = 0;
    std::vector<Service> services;
    std::vector<Route> routes;
    /// Unset: callers have no keys. An empty list rejects all requests on routes that need a key.
    std::optional<std::vector<Organisation>> organisations;
    CallerLimits limits;
    /// Request kinds that this version doesn't know. Their routes count as NonIdempotent, the kind
    /// with the fewest permissions, so that one new kind doesn't cost all routes their service.
    std::vector<std::string> unknownKinds;
};

/// A configuration indexed for lookups. Immutable, so requests can share it without locking.
class RouteTable
{
public:
    explicit RouteTable(Catalogue configuration);

    std::uint64_t version() const { return this->catalogue.version; }
    const CallerLimits &limits() const { return this->catalogue.limits; }
    const std::vector<Service> &services() const { return this->catalogue.services; }
    const std::optional<std::vector<Organisation>> &organisations() const
    {
        return this->catalogue.organisations;
    }

    /// Returns the route of `host` with the longest matching prefix of `path`, or null. `path` has
    /// no query.
    const Route *find(std::string_view host, std::string_view path) const;

    /// Returns the service named `name`, or null.
    const Service *service(const core::ServiceName &name) const;

private:
    Catalogue catalogue;
    // Values are indexes into catalogue.routes, sorted by descending prefix length.
    std::unordered_map<std::string, std::vector<std::size_t>> routesByHost;
    std::unordered_map<std::string, std::size_t> serviceIndexByName;
};

} // namespace amaranthdale::catalog
