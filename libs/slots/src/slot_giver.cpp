// Pools, and the tickets of askers.
#include "slot_giver.h"

#include <algorithm>

namespace amaranthdale::slots {

namespace {

using balance::Ticket;

// Releases follow the end of a request within this time, or are lost.
constexpr auto lostMargin = std::chrono::seconds(2);
constexpr Ticket purgeInterval = 256; // Requests between two searches for lost releases.

balance::Demand demandOf(const SlotRequest &request, core::TimePoint now)
{
    balance::Demand demand;
    demand.route = request.route;
    demand.kind = request.kind;
    demand.priority = request.priority;
    demand.targetLatency = request.targetLatency;
    demand.arrived = now;
    demand.deadline = now + request.left;
    demand.owner = request.server;
    demand.tried = request.tried;
    return demand;
}

} // namespace

// The pool of `key` with the servers of the directory in force, or null when there are none.
// Called with the lock held.
SlotGiver::Pool *SlotGiver::poolOf(const PoolKey &key, core::TimePoint now)
{
    const auto [entry, added] = this->pools.try_emplace(key, ++this->lastSeed);
    Pool &pool = entry->second;
    const std::uint64_t version = this->gateway.directoryVersion();
    if (added || pool.directoryVersion != version) {
        const auto service = this->gateway.serviceOf(key.service);
        catalog::BackendServers servers;
        if (service) {
            pool.slots.setService(*service);
            servers = this->gateway.usableServers(key.service);
        }
        std::erase_if(servers, [&key](const catalog::BackendServer &server) {
            return key.server ? server.name != *key.server : server.dataCentre != key.dataCentre;
        });
        pool.slots.setServers(servers, now);
        pool.directoryVersion = version;
        if (servers.empty()) {
            this->pools.erase(entry);
            return nullptr;
        }
    }
    return &pool;
}

// Hands out a slot or lets the request wait.
void SlotGiver::serve(const Asker &asker, const SlotRequest &request)
{
    const core::TimePoint now = this->clock.now();
    const PoolKey key{request.service, request.server, request.pool};
    Verdicts verdicts;
    bool known = false;
    bool queued = false;
    {
        std::lock_guard lock(this->mutex);
        Pool *pool = this->stopped ? nullptr : this->poolOf(key, now);
        known = pool != nullptr;
        if (known) {
            const Ticket inPool = ++this->lastTicket;
            this->origins[inPool] = Origin{asker, key, now + request.left + lostMargin};
            if (inPool % purgeInterval == 0)
                this->purge(now);
            this->tickets[asker] = inPool;
            pool->slots.request(inPool, demandOf(request, now), request.from, request.mayWait, now);
            verdicts = this->dispatch(*pool, key, now);
            queued = this->tickets.contains(asker)
                    && std::none_of(verdicts.begin(), verdicts.end(),
                                    [&](const auto &verdict) { return verdict.first == asker; });
        }
    }
    if (!known)
        this->reports.decided(asker, std::nullopt);
    if (queued)
        this->reports.queued(asker);
    this->tellAll(std::move(verdicts));
}

// Drops slots whose release was lost. Called with the lock held.
void SlotGiver::purge(core::TimePoint now)
{
    std::erase_if(this->origins, [this, now](const auto &entry) {
        if (now < entry.second.expiresAt)
            return false;
        this->tickets.erase(entry.second.asker);
        return true;
    });
}

void SlotGiver::takeBack(const Asker &asker, const SlotRelease &release)
{
    const core::TimePoint now = this->clock.now();
    Verdicts verdicts;
    {
        std::lock_guard lock(this->mutex);
        const auto ticket = this->tickets.find(asker);
        if (ticket == this->tickets.end())
            return;
        const auto origin = this->origins.find(ticket->second);
        const PoolKey key = origin->second.pool;
        const auto pool = this->pools.find(key);
        if (pool != this->pools.end()) {
            pool->second.slots.release(ticket->second, release.result, release.elapsed,
                                       release.report, now);
            verdicts = this->dispatch(pool->second, key, now);
        }
        this->origins.erase(origin);
        this->tickets.erase(asker);
    }
    this->tellAll(std::move(verdicts));
}

// Called with the lock held. Keeps the origin of granted slots, for their release.
SlotGiver::Verdicts SlotGiver::dispatch(Pool &pool, const PoolKey &key, core::TimePoint now)
{
    Verdicts verdicts;
    for (balance::SlotVerdict &verdict : pool.slots.dispatch(now)) {
        const auto origin = this->origins.find(verdict.ticket);
        if (origin == this->origins.end())
            continue;
        const Asker asker = origin->second.asker;
        if (std::holds_alternative<balance::Refuse>(verdict.decision)) {
            this->origins.erase(origin);
            this->tickets.erase(asker);
        }
        verdicts.emplace_back(asker, std::move(verdict.decision));
    }
    if (pool.slots.waiting() > 0 && !pool.ticking) {
        pool.ticking = true;
        this->clock.schedule(now + this->tick, [weak = this->weak_from_this(), key] {
            if (const auto self = weak.lock())
                self->onTick(key);
        });
    }
    return verdicts;
}

void SlotGiver::onTick(const PoolKey &key)
{
    const core::TimePoint now = this->clock.now();
    Verdicts verdicts;
    {
        std::lock_guard lock(this->mutex);
        const auto found = this->pools.find(key);
        if (found == this->pools.end())
            return;
        found->second.ticking = false;
        verdicts = this->dispatch(found->second, key, now);
    }
    this->tellAll(std::move(verdicts));
}

void SlotGiver::tellAll(Verdicts verdicts)
{
    for (auto &[asker, decision] : verdicts)
        this->reports.decided(asker, std::move(decision));
}

} // namespace amaranthdale::slots
