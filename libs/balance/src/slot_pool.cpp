// Decisions of a slot pool.
#include "amaranthdale/balance/slot_pool.h"

#include "estimates.h"

#include <boost/random/uniform_01.hpp>

#include <algorithm>

namespace amaranthdale::balance {

namespace {

using detail::scale;
using detail::Seconds;

// Bytes between data centres are paid for, and the way is longer.
constexpr auto remoteCost = std::chrono::milliseconds(6);
constexpr auto remoteDownloadCost = std::chrono::milliseconds(40);

// Breaks ties between servers that look alike.
constexpr double jitter = 0.05;

// A wait of this part of the usual time is accepted even by requests that are late already.
constexpr double shortWait = 0.25;

// Estimates are off by about this part.
constexpr double usedTime = 0.8;

constexpr auto leastRetry = std::chrono::milliseconds(50);
constexpr auto absentRetry = std::chrono::milliseconds(400);

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
        // Instances that disagree on the members run several pools of one server for a while; their
        // first requests must not meet.
        if (load.isCold(now) && !wasCold)
            load.delayWarmup(now + scale(this->service.warmup, uniform(this->random)));
        next.emplace(server.name, std::move(load));
    }
    this->servers = std::move(next);
    // Slots of a run that has ended are not in use any more.
    std::erase_if(this->permits, [&](const auto &entry) {
        const auto found = this->servers.find(entry.second.server);
        return found == this->servers.end() || found->second.inFlight() == 0;
    });
    this->expirePermits(now);
}

void SlotPool::request(Ticket ticket, Demand demand, core::DataCentreName from, bool mayWait,
                       core::TimePoint now)
{
    demand.arrived = now;
    const auto position = std::upper_bound(this->queue.begin(), this->queue.end(), demand.priority,
                                           [](unsigned priority, const Waiting &entry) {
                                               return priority < entry.demand.priority;
                                           });
    this->queue.insert(position,
                       Waiting{ticket, std::move(demand), std::move(from), mayWait, false});
}

void SlotPool::release(Ticket ticket, AttemptResult result, core::Duration elapsed,
                       const std::optional<LoadReport> &report, core::TimePoint now)
{
    std::erase_if(this->queue, [ticket](const Waiting &entry) { return entry.ticket == ticket; });
    const auto permit = this->permits.find(ticket);
    if (permit == this->permits.end())
        return;
    const std::string route = permit->second.route;
    const auto server = this->servers.find(permit->second.server);
    this->permits.erase(permit);
    const core::Duration usual = this->times.measured(route).value_or(core::Duration::zero());
    if (server != this->servers.end()) {
        if (report)
            server->second.onReport(*report, now);
        server->second.onEnd(result, elapsed, usual, now);
    }
    if (result == AttemptResult::Answered)
        this->times.observe(route, elapsed);
}

std::vector<SlotVerdict> SlotPool::dispatch(core::TimePoint now)
{
    this->expirePermits(now);
    std::vector<SlotVerdict> verdicts;
    std::map<core::ServerName, std::size_t> aheadOfOwner;
    std::vector<Waiting> still;
    for (Waiting &entry : this->queue) {
        const auto &owner = entry.demand.owner;
        std::size_t &ahead = aheadOfOwner[owner ? *owner : core::ServerName()];
        auto decision = this->decide(entry, ahead, now);
        if (decision) {
            verdicts.push_back(SlotVerdict{entry.ticket, std::move(*decision)});
            continue;
        }
        ++ahead;
        still.push_back(std::move(entry));
    }
    this->queue = std::move(still);
    if (this->queue.empty())
        this->emptyAt = now;
    return verdicts;
}

void SlotPool::expirePermits(core::TimePoint now)
{
    for (auto entry = this->permits.begin(); entry != this->permits.end();) {
        if (now < entry->second.expiresAt) {
            ++entry;
            continue;
        }
        const auto server = this->servers.find(entry->second.server);
        if (server != this->servers.end())
            server->second.onEnd(AttemptResult::Cancelled, {}, {}, now);
        entry = this->permits.erase(entry);
    }
}

std::optional<SlotDecision> SlotPool::decide(Waiting &entry, std::size_t ahead, core::TimePoint now)
{
    const Demand &demand = entry.demand;
    const auto owner = demand.owner ? this->servers.find(*demand.owner) : this->servers.end();
    if (owner != this->servers.end() && !owner->second.isTrusted(now))
        return Refuse{absentRetry, "owner-unreachable"};
    if (ahead == 0) {
        if (ServerLoad *load = this->best(entry, now)) {
            if (load->estimate(this->usualTime(demand), now) > demand.deadline - now)
                return Refuse{leastRetry, "too-slow"};
            this->admit(entry, *load, now);
            return load->server().name;
        }
    }
    if (auto refuse = this->refusal(entry, ahead, now))
        return std::move(*refuse);
    entry.accepted = true;
    return std::nullopt;
}

bool SlotPool::hasRoom(const ServerLoad &load, core::TimePoint now) const
{
    return load.atServer(now) < load.server().slots + this->limits.headroom;
}

double SlotPool::warmupRate() const
{
    return this->limits.warmupShare * this->service.warmupRate;
}

core::Duration SlotPool::cost(const ServerLoad &load, const Waiting &entry, core::TimePoint now)
{
    const bool download = entry.demand.kind == catalog::RequestKind::Download;
    boost::random::uniform_01<double> uniform;
    core::Duration total = scale(load.estimate(this->usualTime(entry.demand), now),
                                 1 + jitter * uniform(this->random));
    total += scale(entry.demand.targetLatency,
                   load.failureRate(now) * detail::failureCost(entry.demand.kind));
    if (load.server().dataCentre != entry.from)
        total += download ? core::Duration(remoteDownloadCost) : core::Duration(remoteCost);
    return total;
}

// The cheapest server with room. Servers that could not be reached are left alone while another one
// may get room.
ServerLoad *SlotPool::best(const Waiting &entry, core::TimePoint now)
{
    const Demand &demand = entry.demand;
    ServerLoad *chosen = nullptr;
    bool anyTrusted = false;
    bool chosenTrusted = false;
    core::Duration least{};
    for (auto &[name, load] : this->servers) {
        const bool tried =
                std::find(demand.tried.begin(), demand.tried.end(), name) != demand.tried.end();
        if (demand.owner ? name != *demand.owner : tried)
            continue;
        const bool trusted = load.isTrusted(now);
        anyTrusted = anyTrusted || trusted;
        if (!this->hasRoom(load, now) || load.nextWarmup(this->warmupRate(), now) > now)
            continue;
        const core::Duration price = this->cost(load, entry, now);
        const bool better = chosen == nullptr || (trusted && !chosenTrusted)
                || (trusted == chosenTrusted && price < least);
        if (!better)
            continue;
        chosen = &load;
        chosenTrusted = trusted;
        least = price;
    }
    return chosenTrusted || !anyTrusted ? chosen : nullptr;
}

void SlotPool::admit(const Waiting &entry, ServerLoad &load, core::TimePoint now)
{
    const core::Duration expected = load.estimate(this->usualTime(entry.demand), now);
    load.takeWarmup(this->warmupRate(), now);
    load.onSent();
    const core::Duration life =
            std::max(this->limits.leastExpiry, scale(expected, this->limits.expiryFactor));
    const core::TimePoint end = std::min(entry.demand.deadline, now + life);
    this->permits[entry.ticket] = Permit{load.server().name, entry.demand.route, end};
}

// Refuses what can't be answered before its deadline and, once the queue stands, within its target
// latency: the slots then serve others within theirs. Without a server there is nothing to wait
// for.
std::optional<Refuse> SlotPool::refusal(const Waiting &entry, std::size_t ahead,
                                        core::TimePoint now) const
{
    const Demand &demand = entry.demand;
    const core::Duration usual = this->usualTime(demand);
    double rate = 0; // Requests/s that the servers in question complete.
    core::Duration fastest = core::Duration::max();
    for (const auto &[name, load] : this->servers) {
        if (demand.owner && name != *demand.owner)
            continue;
        if (!load.isCold(now))
            rate += load.capacity() / Seconds(usual).count();
        else if (this->warmupRate() > 0)
            rate += this->warmupRate();
        fastest = std::min(fastest, load.estimate(usual, now));
    }
    if (rate <= 0)
        return Refuse{absentRetry, demand.owner ? "owner-unusable" : "no-server"};
    const auto wait = std::chrono::duration_cast<core::Duration>(
            Seconds(static_cast<double>(ahead + 1) / rate));
    const core::Duration waited = now - demand.arrived;
    const bool standing = now - this->emptyAt > this->limits.standingQueue;
    const core::Duration acceptable = standing
            ? std::max(demand.targetLatency - waited - fastest, scale(usual, shortWait))
            : scale(demand.deadline - now - fastest, usedTime);
    const bool inTime = now + wait + fastest <= demand.deadline;
    if (inTime && (entry.accepted || (entry.mayWait && wait <= acceptable)))
        return std::nullopt;
    return Refuse{std::max<core::Duration>(leastRetry, wait), "over-capacity"};
}

core::Duration SlotPool::usualTime(const Demand &demand) const
{
    return this->times.usual(demand.route, demand.targetLatency);
}

} // namespace amaranthdale::balance
