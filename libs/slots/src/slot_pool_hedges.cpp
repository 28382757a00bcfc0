// Slots and budget for second attempts.
#include "slot_pool_manager.h"

#include "slot_demand.h"

namespace amaranthdale::slots {

// A hedge is decided at once: it is granted a free slot or refused, and never queued.
void SlotPoolManager::handleHedge(const Requester &requester, const SlotRequest &request)
{
    const core::TimePoint now = this->clock.now();
    const PoolKey key{request.service, std::nullopt, request.poolDataCentre};
    std::optional<balance::SlotDecision> decision;
    {
        std::lock_guard lock(this->mutex);
        if (Pool *pool = this->stopped ? nullptr : this->findOrCreatePool(key, now))
            decision = this->decideHedge(*pool, key, requester, request, now);
    }
    gateway::Statistics &statistics = this->gateway.statistics();
    if (!decision)
        return this->callbacks.undecided(
                requester, this->stopped ? NoDecision::Stopping : NoDecision::NoServers);
    if (const auto *refusal = std::get_if<balance::Refuse>(&*decision))
        statistics.count("hedge_slots_refused_total", "reason=\"" + refusal->reason + '"');
    else
        statistics.count("hedge_slots_granted_total");
    this->callbacks.decided(requester, std::move(*decision));
}

balance::SlotDecision SlotPoolManager::decideHedge(Pool &pool, const PoolKey &key,
                                                   const Requester &requester,
                                                   const SlotRequest &request, core::TimePoint now)
{
    if (!this->mayHedge(pool, key, now))
        return balance::Refuse{{}, std::string(gateway::hedgeNotAssigned)};
    if (!pool.hedges.hasToken(now))
        return balance::Refuse{{}, std::string(gateway::hedgeBudgetUsed)};
    const balance::Ticket poolTicket = ++this->lastTicket;
    auto server = pool.slots.grantHedge(poolTicket, makeDemand(request, now),
                                        request.requesterDataCentre, now);
    if (!server)
        return balance::Refuse{{}, std::string(gateway::hedgeNoFreeSlot)};
    pool.hedges.tryTake(now);
    this->activeRequests[poolTicket] =
            ActiveRequest{requester, key, now + request.remainingTime + releaseGracePeriod, false};
    this->tickets[requester] = poolTicket;
    return std::move(*server);
}

// Requesters may ask an instance that isn't assigned while they suspect the assigned one. If each
// of several allocators granted hedges, their bursts would exceed the shared limit.
bool SlotPoolManager::mayHedge(Pool &pool, const PoolKey &key, core::TimePoint now)
{
    if (this->hedgeLimits.ratio <= 0)
        return false;
    if (now < pool.hedgesCheckedAt + assignmentCheckInterval)
        return pool.mayHedge;
    pool.hedgesCheckedAt = now;
    pool.hedges.setDataCentres(static_cast<unsigned>(this->callbacks.dataCentreCount()));
    pool.mayHedge = this->callbacks.isAssigned(key);
    return pool.mayHedge;
}

} // namespace amaranthdale::slots
