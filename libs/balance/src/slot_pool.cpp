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

} // namespace

SlotPool::SlotPool(std::uint64_t seed, SlotPoolLimits poolLimits)
    : SlotPool(seed, poolLimits,
               poolLimits.admission.enabled ? admission::makeSharePolicy(poolLimits.admission)
                                            : nullptr)
{ }

SlotPool::SlotPool(std::uint64_t seed, SlotPoolLimits poolLimits,
                   std::unique_ptr<admission::AdmissionPolicy> admissionPolicy)
    : limits(std::move(poolLimits)), random(static_cast<std::uint32_t>(seed)),
      policy(std::move(admissionPolicy)), shortage(this->limits.admission.shortageHold)
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
    admission::Arrival arrival;
    if (this->policy)
        arrival = this->policy->arrive({demand.route, demand.organisation.value, demand.priority,
                                        demand.targetLatency, demand.deadline - now, mayWait},
                                       now);
    const auto position = std::upper_bound(this->queue.begin(), this->queue.end(), demand.priority,
                                           [](unsigned priority, const QueuedRequest &entry) {
                                               return priority < entry.demand.priority;
                                           });
    this->queue.insert(
            position,
            QueuedRequest{ticket, std::move(demand), std::move(from), mayWait, false, arrival});
}

std::optional<MeasuredRequest> SlotPool::release(Ticket ticket, AttemptResult result,
                                                 core::Duration elapsed,
                                                 const std::optional<LoadReport> &report,
                                                 core::TimePoint now)
{
    std::erase_if(this->queue,
                  [ticket](const QueuedRequest &entry) { return entry.ticket == ticket; });
    const auto granted = this->grantedSlots.find(ticket);
    if (granted == this->grantedSlots.end())
        return std::nullopt;
    const std::string route = granted->second.route;
    const auto server = this->servers.find(granted->second.server);
    this->grantedSlots.erase(granted);
    const core::Duration routeLatency =
            this->routeLatencies.average(route).value_or(core::Duration::zero());
    std::optional<MeasuredRequest> measured;
    if (server != this->servers.end()) {
        if (report)
            server->second.onReport(*report, now);
        server->second.onEnd(result, elapsed, routeLatency, now);
        // A time-out is a lower bound: a server that hangs must not count as not measured.
        if (result == AttemptResult::Answered || result == AttemptResult::TimedOut)
            measured = MeasuredRequest{server->first, server->second.server().incarnation, route,
                                       scale(elapsed, 1 / server->second.queueFactor(now))};
    }
    if (result == AttemptResult::Answered)
        this->routeLatencies.observe(route, elapsed);
    return measured;
}

std::vector<TicketDecision> SlotPool::dispatch(core::TimePoint now)
{
    this->expireGrantedSlots(now);
    std::vector<TicketDecision> decided;
    if (this->isShort(now)) {
        this->dispatchByShares(now, decided);
        return decided;
    }
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
    if (std::exchange(this->foundLate, false)) {
        this->shortage.onLateRequest(now);
        this->dispatchByShares(now, decided);
    }
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
    if (this->isUnavailable(entry.demand, now))
        return Refuse{detail::unavailableRetryAfter, "owner-unreachable"};
    if (queuedAhead == 0) {
        if (auto granted = this->grant(entry, now))
            return granted;
    }
    if (auto refuse = this->refusal(entry, queuedAhead, now))
        return std::move(*refuse);
    entry.accepted = entry.accepted || !this->foundLate;
    return std::nullopt;
}

// Whether the only server that may run the request can't be reached.
bool SlotPool::isUnavailable(const Demand &demand, core::TimePoint now) const
{
    if (!demand.owner)
        return false;
    const auto owner = this->servers.find(*demand.owner);
    return owner != this->servers.end() && !owner->second.isAvailable(now);
}

// Grants a free slot, or refuses the request if the server would answer too late. Returns nothing
// if no slot is free for it.
std::optional<SlotDecision> SlotPool::grant(const QueuedRequest &entry, core::TimePoint now)
{
    ServerLoad *load = this->selectServer(entry, now);
    if (load == nullptr)
        return std::nullopt;
    const Demand &demand = entry.demand;
    if (load->expectedLatency(this->expectedRouteLatency(demand), now) > demand.deadline - now)
        return Refuse{detail::minRetryAfter, "too-slow"};
    this->admit(entry, *load, now);
    if (this->policy) {
        admission::WaitingRequest served;
        served.classId = entry.arrival.classId;
        served.mayWait = entry.mayWait;
        served.serviceTime = this->expectedRouteLatency(demand);
        this->policy->onGranted(served, now);
    }
    return load->server().name;
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

SlotPool::EligibleCapacity SlotPool::eligibleCapacity(const Demand &demand,
                                                      core::TimePoint now) const
{
    EligibleCapacity eligible;
    eligible.routeLatency = this->expectedRouteLatency(demand);
    for (const auto &[name, load] : this->servers) {
        if ((demand.owner && name != *demand.owner) || this->isExcluded(load, now))
            continue;
        if (!load.isCold(now))
            eligible.completionRate += load.capacity() / Seconds(eligible.routeLatency).count();
        else if (this->warmupRate() > 0)
            eligible.completionRate += this->warmupRate();
        eligible.lowestLatency =
                std::min(eligible.lowestLatency, load.expectedLatency(eligible.routeLatency, now));
    }
    return eligible;
}

// Refuses a request that can't be answered before its deadline or, in a standing queue, within its
// target latency: the slots then serve other requests within theirs. Without a server, every
// request is refused.
std::optional<Refuse> SlotPool::refusal(const QueuedRequest &entry, std::size_t queuedAhead,
                                        core::TimePoint now)
{
    const Demand &demand = entry.demand;
    const EligibleCapacity eligible = this->eligibleCapacity(demand, now);
    if (eligible.completionRate <= 0)
        return detail::refuseWithoutServer(demand);
    const auto expectedWait = std::chrono::duration_cast<core::Duration>(
            Seconds(static_cast<double>(queuedAhead + 1) / eligible.completionRate));
    const core::Duration waited = now - demand.arrived;
    const core::Duration maxWaitInTime =
            std::max(demand.targetLatency - waited - eligible.lowestLatency,
                     scale(eligible.routeLatency, shortWaitShare));
    // The first request that would be late makes the pool short, and the policy decides on it.
    if (this->policy && entry.mayWait && expectedWait > maxWaitInTime)
        this->foundLate = true;
    if (this->foundLate)
        return std::nullopt;
    const bool isStanding = now - this->lastEmptyAt > this->limits.standingQueueThreshold;
    const core::Duration maxWait = isStanding
            ? maxWaitInTime
            : scale(demand.deadline - now - eligible.lowestLatency, usableTimeShare);
    const bool inTime = now + expectedWait + eligible.lowestLatency <= demand.deadline;
    if (inTime && (entry.accepted || (entry.mayWait && expectedWait <= maxWait)))
        return std::nullopt;
    return Refuse{std::max<core::Duration>(detail::minRetryAfter, expectedWait), "over-capacity"};
}

core::Duration SlotPool::expectedRouteLatency(const Demand &demand) const
{
    return this->routeLatencies.averageOrDefault(demand.route, demand.targetLatency);
}

} // namespace amaranthdale::balance
