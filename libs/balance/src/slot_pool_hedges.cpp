// Slots for second attempts.
#include "amaranthdale/balance/slot_pool.h"

#include <algorithm>

namespace amaranthdale::balance {

// First attempts may use a server's headroom; hedges may not, as they would only wait there.
std::optional<core::ServerName> SlotPool::grantHedge(Ticket ticket, Demand demand,
                                                     const core::DataCentreName &from,
                                                     core::TimePoint now)
{
    this->expireGrantedSlots(now);
    if (!this->queue.empty() || this->isShort(now))
        return std::nullopt;
    demand.arrived = now;
    const QueuedRequest entry{ticket, std::move(demand), from, false, false, {}};
    ServerLoad *best = nullptr;
    core::Duration lowestCost{};
    for (auto &[name, load] : this->servers) {
        if (!this->mayServe(load, entry.demand, now) || load.isCold(now) || !load.isAvailable(now)
            || load.totalInFlight(now) + 1 > load.server().slots)
            continue;
        const core::Duration candidateCost = this->cost(load, entry, now);
        if (best != nullptr && candidateCost >= lowestCost)
            continue;
        best = &load;
        lowestCost = candidateCost;
    }
    if (best == nullptr
        || best->expectedLatency(this->expectedRouteLatency(entry.demand), now)
                > entry.demand.deadline - now)
        return std::nullopt;
    this->admit(entry, *best, now);
    return best->server().name;
}

} // namespace amaranthdale::balance
