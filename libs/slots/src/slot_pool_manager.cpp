// Implementation of slot pools and of the tickets of their requesters.
#include "slot_pool_manager.h"

#include "slot_demand.h"

#include <algorithm>
#include <cmath>

namespace amaranthdale::slots {

namespace {

using balance::Ticket;

constexpr Ticket requestsPerRemoval = 256; // Requests between two cleanups of lost releases.

} // namespace

// Returns the pool of `key`, updated to the current directory, or null if it has no servers. A pool
// in which requests wait stays in the table until `dispatch` has taken them out.
SlotPoolManager::Pool *SlotPoolManager::findOrCreatePool(const PoolKey &key, core::TimePoint now)
{
    const auto [entry, added] =
            this->pools.try_emplace(key, ++this->lastSeed, this->poolLimits, this->hedgeLimits);
    Pool &pool = entry->second;
    if (!this->updateServers(pool, key, now)) {
        if (pool.slots.waiting() == 0)
            this->pools.erase(entry);
        return nullptr;
    }
    this->checkAssignment(pool, key, now);
    return &pool;
}

// Updates a pool to the current directory. Returns whether it has servers.
bool SlotPoolManager::updateServers(Pool &pool, const PoolKey &key, core::TimePoint now)
{
    const std::uint64_t version = this->gateway.directoryVersion();
    if (pool.directoryVersion == version)
        return pool.hasServers;
    const auto service = this->gateway.findService(key.service);
    catalog::BackendServers servers;
    if (service) {
        pool.slots.setService(*service);
        servers = this->gateway.usableServers(key.service);
    }
    std::erase_if(servers, [&key](const catalog::BackendServer &server) {
        return key.server ? server.name != *key.server : server.dataCentre != key.dataCentre;
    });
    pool.slots.setServers(servers, now);
    pool.hasServers = !servers.empty();
    if (pool.directoryVersion == 0 && pool.hasServers)
        this->reportOpened(key, servers, now);
    pool.directoryVersion = version;
    return pool.hasServers;
}

void SlotPoolManager::checkAssignment(Pool &pool, const PoolKey &key, core::TimePoint now)
{
    if (!pool.slots.hasColdServers(now) || now < pool.assignmentCheckedAt + assignmentCheckInterval)
        return;
    pool.assignmentCheckedAt = now;
    pool.slots.setUsesColdServers(this->callbacks.isAssigned(key));
}

// Several instances that open a pool with the same servers divide these servers' slots among
// allocators that don't know of each other.
void SlotPoolManager::reportOpened(const PoolKey &key, const catalog::BackendServers &servers,
                                   core::TimePoint now)
{
    const auto cold = std::count_if(servers.begin(), servers.end(),
                                    [now](const auto &server) { return now < server.coldUntil; });
    this->events.write(log::Severity::Info, "slot-pool-opened",
                       {{"pool", key.assignmentKey()},
                        {"servers", std::to_string(servers.size())},
                        {"cold", std::to_string(cold)}});
}

void SlotPoolManager::handleRequest(const Requester &requester, const SlotRequest &request)
{
    if (request.hedge)
        return this->handleHedge(requester, request);
    const core::TimePoint now = this->clock.now();
    const PoolKey key{request.service, request.server, request.poolDataCentre};
    Results results;
    bool available = false;
    bool queued = false;
    {
        std::lock_guard lock(this->mutex);
        Pool *pool = this->stopped ? nullptr : this->findOrCreatePool(key, now);
        available = pool != nullptr && pool->slots.hasUsableServers(now);
        if (available) {
            const Ticket poolTicket = ++this->lastTicket;
            this->activeRequests[poolTicket] =
                    ActiveRequest{requester, key, now + request.remainingTime + releaseGracePeriod,
                                  request.tried.empty()};
            if (poolTicket % requestsPerRemoval == 0)
                this->removeExpired(now);
            this->tickets[requester] = poolTicket;
            pool->slots.request(poolTicket, makeDemand(request, now), request.requesterDataCentre,
                                request.mayWait, now);
            this->dispatch(key, now, results);
            queued = this->tickets.contains(requester)
                    && std::none_of(results.decided.begin(), results.decided.end(),
                                    [&](const auto &entry) { return entry.first == requester; });
        }
    }
    if (!available)
        this->callbacks.undecided(requester,
                                  this->stopped ? NoDecision::Stopping : NoDecision::NoServers);
    if (queued)
        this->callbacks.queued(requester);
    this->notifyAll(std::move(results));
}

// Removes requests whose release was lost.
void SlotPoolManager::removeExpired(core::TimePoint now)
{
    std::erase_if(this->activeRequests, [this, now](const auto &entry) {
        if (now < entry.second.expiresAt)
            return false;
        this->tickets.erase(entry.second.requester);
        return true;
    });
}

void SlotPoolManager::handleRelease(const Requester &requester, const SlotRelease &release)
{
    const core::TimePoint now = this->clock.now();
    Results results;
    {
        std::lock_guard lock(this->mutex);
        const auto ticket = this->tickets.find(requester);
        if (ticket == this->tickets.end())
            return;
        const Ticket poolTicket = ticket->second;
        const auto active = this->activeRequests.find(poolTicket);
        const PoolKey key = active->second.pool;
        this->activeRequests.erase(active);
        this->tickets.erase(ticket);
        const auto pool = this->pools.find(key);
        if (pool != this->pools.end()) {
            const auto measured = pool->second.slots.release(poolTicket, release.result,
                                                             release.elapsed, release.report, now);
            if (measured && key.server && this->serviceTimes)
                this->serviceTimes->observe(key.service, *measured, now);
            this->dispatch(key, now, results);
        }
    }
    this->notifyAll(std::move(results));
}

// Decides the waiting requests of a pool as far as possible. Granted requests stay in
// `activeRequests` until their release. Removes the pool if it has no servers any more.
void SlotPoolManager::dispatch(const PoolKey &key, core::TimePoint now, Results &results)
{
    const auto found = this->pools.find(key);
    if (found == this->pools.end())
        return;
    Pool &pool = found->second;
    const bool hasServers = this->updateServers(pool, key, now);
    const auto end = [this](Ticket ticket) -> std::optional<Requester> {
        const auto active = this->activeRequests.find(ticket);
        if (active == this->activeRequests.end())
            return std::nullopt;
        const Requester requester = active->second.requester;
        this->activeRequests.erase(active);
        this->tickets.erase(requester);
        return requester;
    };
    for (const Ticket ticket : pool.slots.takeUnservable(now)) {
        if (const auto requester = end(ticket))
            results.undecided.push_back(*requester);
    }
    for (balance::TicketDecision &ticketDecision : pool.slots.dispatch(now)) {
        const auto active = this->activeRequests.find(ticketDecision.ticket);
        if (active == this->activeRequests.end())
            continue;
        const Requester requester = active->second.requester;
        if (std::holds_alternative<balance::Refuse>(ticketDecision.decision))
            end(ticketDecision.ticket);
        else if (active->second.firstAttempt)
            pool.hedges.onFirstAttempt(now);
        results.decided.emplace_back(requester, std::move(ticketDecision.decision));
    }
    this->reportShortage(pool, key, now, results);
    if (!hasServers) {
        this->pools.erase(found);
        return;
    }
    if ((pool.slots.waiting() > 0 || pool.shortage.isOpen()) && !pool.tickScheduled) {
        pool.tickScheduled = true;
        this->clock.schedule(now + this->queueCheckInterval, [weak = this->weak_from_this(), key] {
            if (const auto self = weak.lock())
                self->onTick(key);
        });
    }
}

void SlotPoolManager::reportShortage(Pool &pool, const PoolKey &key, core::TimePoint now,
                                     Results &results)
{
    if (!this->poolLimits.admission.enabled)
        return;
    const bool isShort = pool.hasServers && pool.slots.isShort(now);
    const ShortageReport::Due due = pool.shortage.update(isShort, now);
    if (!due.observe)
        return;
    PoolShares report{key.assignmentKey(), isShort, pool.slots.routeShares(now)};
    if (due.logBegin || due.logEnd) {
        double asked = 0;
        double granted = 0;
        std::size_t promised = 0;
        for (const admission::RouteShare &route : report.routes) {
            asked += route.asked;
            granted += route.granted;
            promised += route.promised;
        }
        const auto duration =
                std::chrono::duration_cast<std::chrono::milliseconds>(pool.shortage.duration(now));
        this->events.write(log::Severity::Info,
                           due.logBegin ? "slot-pool-short" : "slot-pool-short-ended",
                           {{"pool", report.pool},
                            {"durationMs", std::to_string(duration.count())},
                            {"waiting", std::to_string(pool.slots.waiting())},
                            {"recentlyAsked", std::to_string(std::lround(asked))},
                            {"recentlyGranted", std::to_string(std::lround(granted))},
                            {"promised", std::to_string(promised)}});
    }
    results.shares.push_back(std::move(report));
}

void SlotPoolManager::onTick(const PoolKey &key)
{
    const core::TimePoint now = this->clock.now();
    Results results;
    {
        std::lock_guard lock(this->mutex);
        const auto found = this->pools.find(key);
        if (found == this->pools.end())
            return;
        found->second.tickScheduled = false;
        this->dispatch(key, now, results);
    }
    this->notifyAll(std::move(results));
}

void SlotPoolManager::notifyAll(Results results)
{
    for (auto &[requester, decision] : results.decided)
        this->callbacks.decided(requester, std::move(decision));
    for (const Requester &requester : results.undecided)
        this->callbacks.undecided(requester, NoDecision::NoServers);
    if (!this->observer)
        return;
    for (const PoolShares &report : results.shares)
        this->observer->onPool(report.pool, report.isShort, report.routes);
}

} // namespace amaranthdale::slots
