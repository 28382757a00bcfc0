// Admission and queueing of slot requests.
#include "amaranthdale/balance/slot_pool.h"

#include "estimates.h"

#include <boost/random/uniform_01.hpp>

#include <algorithm>

namespace amaranthdale::balance {

namespace {

using detail::scale;
using detail::Seconds;

// Traffic between data centres is charged for and takes longer.
constexpr auto remoteDataCentrePenalty = std::chrono::milliseconds(6);
constexpr auto remoteDownloadPenalty = std::chrono::milliseconds(40);

// Random share of the cost; spreads requests over servers of about the same cost.
constexpr double jitter = 0.05;

// A wait of this share of the route's latency is accepted even if the target latency is missed.
constexpr double shortWaitShare = 0.25;

// Share of the time left that a wait may use; the rest allows for errors of the estimate.
constexpr double usableTimeShare = 0.8;

constexpr auto minRetryAfter = std::chrono::milliseconds(50);
constexpr auto unavailableRetryAfter = std::chrono::milliseconds(400);

} // namespace

SlotPool::SlotPool(std::uint64_t seed, SlotPoolLimits poolLimits)
    : limits(poolLimits), random(static_cast<std::uint32_t>(seed))
{ }

void SlotPool::setServers(const catalog::BackendServers &usable, core::TimePoint now)
{
    boost::random::uniform_01<double> uniform;
    std::map<core::ServerName, ServerLoad> next;
    for (const catalog::BackendServer &server : usable) {
        const auto known = this->servers.find(server.name);
        const bool same = known != this->servers.end()
                && known->second.server().incarnation == server.incarnation;
        const bool wasCold = same && known->second.isCold(now);
        ServerLoad load = same ? std::move(known->second) : ServerLoad(server);
        load.update(server);
        // Instances that disagree on the members run several pools for one server for a while;
        // spread out their first requests.
        if (load.isCold(now) && !wasCold)
            load.setWarmupStart(now + scale(this->service.warmup, uniform(this->random)));
        next.emplace(server.name, std::move(load));
    }
    this->servers = std::move(next);
    // Free the slots of servers that were removed or restarted.
    std::erase_if(this->grantedSlots, [&](const auto &entry) {
        const auto found = this->servers.find(entry.second.server);
        return found == this->servers.end() || found->second.inFlight() == 0;
    });
    this->expireGrantedSlots(now);
}

void SlotPool::request(Ticket ticket, Demand demand, core::DataCentreName from, bool mayWait,
                       core::TimePoint now)
{
    demand.arrived = now;
    const auto position = std::upper_bound(this->queue.begin(), this->queue.end(), demand.priority,
                                           [](unsigned priority, const QueuedRequest &entry) {
                                               return priority < entry.demand.priority;
                                           });
    this->queue.insert(position,
                       QueuedRequest{ticket, std::move(demand), std::move(from), mayWait, false});
}

void SlotPool::release(Ticket ticket, AttemptResult result, core::Duration elapsed,
                       const std::optional<LoadReport> &report, core::TimePoint now)
{
    std::erase_if(this->queue,
                  [ticket](const QueuedRequest &entry) { return entry.ticket == ticket; });
    const auto granted = this->grantedSlots.find(ticket);
    if (granted == this->grantedSlots.end())
        return;
    const std::string route = granted->second.route;
    const auto server = this->servers.find(granted->second.server);
    this->grantedSlots.erase(granted);
    const core::Duration routeLatency =
            this->routeLatencies.average(route).value_or(core::Duration::zero());
    if (server != this->servers.end()) {
        if (report)
            server->second.onReport(*report, now);
        server->second.onEnd(result, elapsed, routeLatency, now);
    }
    if (result == AttemptResult::Answered)
        this->routeLatencies.observe(route, elapsed);
}

std::vector<TicketDecision> SlotPool::dispatch(core::TimePoint now)
{
    this->expireGrantedSlots(now);
    std::vector<TicketDecision> decided;
    std::map<core::ServerName, std::size_t> queuedByOwner;
    std::vector<QueuedRequest> remaining;
    for (QueuedRequest &entry : this->queue) {
        const auto &owner = entry.demand.owner;
        std::size_t &queuedAhead = queuedByOwner[owner ? *owner : core::ServerName()];
        auto decision = this->decide(entry, queuedAhead, now);
        if (decision) {
            decided.push_back(TicketDecision{entry.ticket, std::move(*decision)});
            continue;
        }
        ++queuedAhead;
        remaining.push_back(std::move(entry));
    }
    this->queue = std::move(remaining);
    if (this->queue.empty())
        this->lastEmptyAt = now;
    return decided;
}

void SlotPool::expireGrantedSlots(core::TimePoint now)
{
    for (auto entry = this->grantedSlots.begin(); entry != this->grantedSlots.end();) {
        if (now < entry->second.expiresAt) {
            ++entry;
            continue;
        }
        const auto server = this->servers.find(entry->second.server);
        if (server != this->servers.end())
            server->second.onEnd(AttemptResult::Cancelled, {}, {}, now);
        entry = this->grantedSlots.erase(entry);
    }
}

std::optional<SlotDecision> SlotPool::decide(QueuedRequest &entry, std::size_t queuedAhead,
                                             core::TimePoint now)
{
    const Demand &demand = entry.demand;
    const auto owner = demand.owner ? this->servers.find(*demand.owner) : this->servers.end();
    if (owner != this->servers.end() && !owner->second.isAvailable(now))
        return Refuse{unavailableRetryAfter, "owner-unreachable"};
    if (queuedAhead == 0) {
        if (ServerLoad *load = this->selectServer(entry, now)) {
            if (load->expectedLatency(this->expectedRouteLatency(demand), now)
                > demand.deadline - now)
                return Refuse{minRetryAfter, "too-slow"};
            this->admit(entry, *load, now);
            return load->server().name;
        }
    }
    if (auto refuse = this->refusal(entry, queuedAhead, now))
        return std::move(*refuse);
    entry.accepted = true;
    return std::nullopt;
}

bool SlotPool::hasFreeSlot(const ServerLoad &load, core::TimePoint now) const
{
    return load.totalInFlight(now) < load.server().slots + this->limits.headroom;
}

double SlotPool::warmupRate() const
{
    return this->limits.warmupShare * this->service.warmupRate;
}

// Cold servers of a service without a warm-up rate have no limit that several pools could exceed.
bool SlotPool::isExcluded(const ServerLoad &load, core::TimePoint now) const
{
    return !this->usesColdServers && this->service.warmupRate > 0 && load.isCold(now);
}

bool SlotPool::hasColdServers(core::TimePoint now) const
{
    return std::any_of(this->servers.begin(), this->servers.end(),
                       [now](const auto &entry) { return entry.second.isCold(now); });
}

bool SlotPool::hasUsableServers(core::TimePoint now) const
{
    return std::any_of(this->servers.begin(), this->servers.end(), [this, now](const auto &entry) {
        return !this->isExcluded(entry.second, now);
    });
}

// Whether the server may get the request once it has a free slot.
bool SlotPool::mayServe(const ServerLoad &load, const Demand &demand, core::TimePoint now) const
{
    const core::ServerName &name = load.server().name;
    if (this->isExcluded(load, now))
        return false;
    if (demand.owner)
        return name == *demand.owner;
    return std::find(demand.tried.begin(), demand.tried.end(), name) == demand.tried.end();
}

std::vector<Ticket> SlotPool::takeUnservable(core::TimePoint now)
{
    std::vector<Ticket> taken;
    std::erase_if(this->queue, [&](const QueuedRequest &entry) {
        const bool servable =
                std::any_of(this->servers.begin(), this->servers.end(), [&](const auto &server) {
                    return this->mayServe(server.second, entry.demand, now);
                });
        if (!servable)
            taken.push_back(entry.ticket);
        return !servable;
    });
    return taken;
}

core::Duration SlotPool::cost(const ServerLoad &load, const QueuedRequest &entry,
                              core::TimePoint now)
{
    const bool download = entry.demand.kind == catalog::RequestKind::Download;
    boost::random::uniform_01<double> uniform;
    core::Duration total =
            scale(load.expectedLatency(this->expectedRouteLatency(entry.demand), now),
                  1 + jitter * uniform(this->random));
    total += scale(entry.demand.targetLatency,
                   load.failureRate(now) * detail::failureCost(entry.demand.kind));
    if (load.server().dataCentre != entry.from)
        total += download ? core::Duration(remoteDownloadPenalty)
                          : core::Duration(remoteDataCentrePenalty);
    return total;
}

// The cheapest server with a free slot. While any candidate is available, servers in backoff are
// not used, even if no available one has a free slot yet.
ServerLoad *SlotPool::selectServer(const QueuedRequest &entry, core::TimePoint now)
{
    const Demand &demand = entry.demand;
    ServerLoad *best = nullptr;
    bool anyAvailable = false;
    bool bestAvailable = false;
    core::Duration lowestCost{};
    for (auto &[name, load] : this->servers) {
        const bool tried =
                std::find(demand.tried.begin(), demand.tried.end(), name) != demand.tried.end();
        if (demand.owner ? name != *demand.owner : tried)
            continue;
        const bool available = load.isAvailable(now);
        anyAvailable = anyAvailable || available;
        if (this->isExcluded(load, now) || !this->hasFreeSlot(load, now)
            || load.earliestWarmup(this->warmupRate(), now) > now)
            continue;
        const core::Duration candidateCost = this->cost(load, entry, now);
        const bool better = best == nullptr || (available && !bestAvailable)
                || (available == bestAvailable && candidateCost < lowestCost);
        if (!better)
            continue;
        best = &load;
        bestAvailable = available;
        lowestCost = candidateCost;
    }
    return bestAvailable || !anyAvailable ? best : nullptr;
}

void SlotPool::admit(const QueuedRequest &entry, ServerLoad &load, core::TimePoint now)
{
    const core::Duration expected =
            load.expectedLatency(this->expectedRouteLatency(entry.demand), now);
    load.tryTakeWarmup(this->warmupRate(), now);
    load.onSent();
    const core::Duration lifetime =
            std::max(this->limits.minExpiry, scale(expected, this->limits.expiryFactor));
    const core::TimePoint expiresAt = std::min(entry.demand.deadline, now + lifetime);
    this->grantedSlots[entry.ticket] =
            GrantedSlot{load.server().name, entry.demand.route, expiresAt};
}

// Refuses a request that can't be answered before its deadline or, in a standing queue, within its
// target latency: the slots then serve other requests within theirs. Without a server, every
// request is refused.
std::optional<Refuse> SlotPool::refusal(const QueuedRequest &entry, std::size_t queuedAhead,
                                        core::TimePoint now) const
{
    const Demand &demand = entry.demand;
    const core::Duration routeLatency = this->expectedRouteLatency(demand);
    double completionRate = 0; // Requests/s that the eligible servers complete.
    core::Duration lowestLatency = core::Duration::max();
    for (const auto &[name, load] : this->servers) {
        if ((demand.owner && name != *demand.owner) || this->isExcluded(load, now))
            continue;
        if (!load.isCold(now))
            completionRate += load.capacity() / Seconds(routeLatency).count();
        else if (this->warmupRate() > 0)
            completionRate += this->warmupRate();
        lowestLatency = std::min(lowestLatency, load.expectedLatency(routeLatency, now));
    }
    if (completionRate <= 0)
        return Refuse{unavailableRetryAfter, demand.owner ? "owner-unusable" : "no-server"};
    const auto expectedWait = std::chrono::duration_cast<core::Duration>(
            Seconds(static_cast<double>(queuedAhead + 1) / completionRate));
    const core::Duration waited = now - demand.arrived;
    const bool isStanding = now - this->lastEmptyAt > this->limits.standingQueueThreshold;
    const core::Duration maxWait = isStanding
            ? std::max(demand.targetLatency - waited - lowestLatency,
                       scale(routeLatency, shortWaitShare))
            : scale(demand.deadline - now - lowestLatency, usableTimeShare);
    const bool inTime = now + expectedWait + lowestLatency <= demand.deadline;
    if (inTime && (entry.accepted || (entry.mayWait && expectedWait <= maxWait)))
        return std::nullopt;
    return Refuse{std::max<core::Duration>(minRetryAfter, expectedWait), "over-capacity"};
}

core::Duration SlotPool::expectedRouteLatency(const Demand &demand) const
{
    return this->routeLatencies.averageOrDefault(demand.route, demand.targetLatency);
}

} // namespace amaranthdale::balance
