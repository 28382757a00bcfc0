// Servers that may run a second attempt, as one instance sees them.
#include "amaranthdale/balance/service_balancer.h"

#include <algorithm>

namespace amaranthdale::balance {

namespace {

// A second attempt at a server that fails often would be wasted.
constexpr double maxFailureRate = 0.2;

} // namespace

// The allocator knows the load of all instances; this instance checks what it knows better: pauses,
// failures, leaving servers, and its own requests.
bool ServiceBalancer::acceptsHedge(const ServerLoad &load, const Demand &demand,
                                   core::TimePoint now) const
{
    const catalog::BackendServer &server = load.server();
    return !server.draining && !server.leaving && !load.isCold(now) && load.isAvailable(now)
            && this->pauseEnd(load, now) <= now && load.failureRate(now) <= maxFailureRate
            && load.inFlight() < std::min(server.slots, this->maxInFlightPerServer())
            && load.expectedLatency(this->expectedRouteLatency(demand), now)
            <= demand.deadline - now;
}

bool ServiceBalancer::acceptsHedge(const core::ServerName &server, const Demand &demand,
                                   core::TimePoint now) const
{
    const auto found = this->servers.find(server);
    return found != this->servers.end() && this->acceptsHedge(found->second, demand, now);
}

std::optional<HedgePool> ServiceBalancer::findHedgePool(const Demand &demand,
                                                        const core::ServerName &primary,
                                                        core::TimePoint now) const
{
    const auto first = this->servers.find(primary);
    if (first == this->servers.end())
        return std::nullopt;
    HedgePool pool{first->second.server().dataCentre, demand.tried};
    bool anyAccepts = false;
    for (const auto &[name, load] : this->servers) {
        if (load.server().dataCentre != pool.dataCentre
            || std::find(demand.tried.begin(), demand.tried.end(), name) != demand.tried.end())
            continue;
        if (this->acceptsHedge(load, demand, now))
            anyAccepts = true;
        else
            pool.excluded.push_back(name);
    }
    return anyAccepts ? std::optional(std::move(pool)) : std::nullopt;
}

double ServiceBalancer::latencyRatio(const core::ServerName &server) const
{
    const auto found = this->servers.find(server);
    return found == this->servers.end() ? 1 : found->second.latencyRatio();
}

} // namespace amaranthdale::balance
