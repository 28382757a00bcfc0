// Decisions of a slot pool that is short of capacity.
#include "amaranthdale/balance/slot_pool.h"

#include "estimates.h"

#include <algorithm>

namespace amaranthdale::balance {

namespace {

using detail::Seconds;

// Requests that no free server may run and that are passed over in one dispatch.
constexpr unsigned maxPassedOver = 16;

} // namespace

std::vector<admission::RouteShare> SlotPool::routeShares(core::TimePoint now) const
{
    return this->policy ? this->policy->shares(now) : std::vector<admission::RouteShare>();
}

// Decides the queue by the policy. A free slot is never left idle while a request that may use it
// is refused: slots are granted first.
void SlotPool::dispatchByShares(core::TimePoint now, std::vector<TicketDecision> &decided)
{
    if (this->queue.empty()) {
        this->lastEmptyAt = now;
        return;
    }
    Shares shares = this->describeQueue(now);
    std::vector<std::optional<SlotDecision>> decisions(this->queue.size());
    for (std::size_t index = 0; index < this->queue.size(); ++index) {
        const Demand &demand = this->queue[index].demand;
        if (this->isUnavailable(demand, now))
            decisions[index] = Refuse{detail::unavailableRetryAfter, "owner-unreachable"};
        else if (shares.slots[index] <= 0)
            decisions[index] = detail::refuseWithoutServer(demand);
        shares.waiting[index].eligible = !decisions[index];
    }
    this->grantByShares(shares, decisions, now);
    this->refuseByShares(shares, decisions, now);
    std::size_t kept = 0;
    for (std::size_t index = 0; index < this->queue.size(); ++index) {
        if (decisions[index]) {
            decided.push_back(
                    TicketDecision{this->queue[index].ticket, std::move(*decisions[index])});
            continue;
        }
        this->queue[index].accepted = true;
        if (kept != index)
            this->queue[kept] = std::move(this->queue[index]);
        ++kept;
    }
    this->queue.erase(this->queue.begin() + static_cast<std::ptrdiff_t>(kept), this->queue.end());
    if (this->queue.empty())
        this->lastEmptyAt = now;
}

// Requests of one class have the same route; their estimates differ only with the owner, which is
// the same in a pool of one server and unset in others.
SlotPool::Shares SlotPool::describeQueue(core::TimePoint now) const
{
    struct ClassCapacity
    {
        bool known = false;
        std::optional<core::ServerName> owner;
        EligibleCapacity eligible;
    };
    std::vector<ClassCapacity> capacities;
    Shares shares;
    shares.waiting.reserve(this->queue.size());
    shares.slots.reserve(this->queue.size());
    for (const QueuedRequest &entry : this->queue) {
        const Demand &demand = entry.demand;
        if (entry.arrival.classId >= capacities.size())
            capacities.resize(entry.arrival.classId + 1);
        ClassCapacity &capacity = capacities[entry.arrival.classId];
        if (!capacity.known || capacity.owner != demand.owner)
            capacity = ClassCapacity{true, demand.owner, this->eligibleCapacity(demand, now)};
        admission::WaitingRequest request;
        request.classId = entry.arrival.classId;
        request.takesPromise = entry.arrival.takesPromise;
        request.mayWait = entry.mayWait;
        request.targetAt = demand.arrived + demand.targetLatency;
        request.deadline = demand.deadline;
        request.serviceTime = capacity.eligible.routeLatency;
        request.latency = capacity.eligible.lowestLatency;
        shares.waiting.push_back(request);
        shares.slots.push_back(capacity.eligible.completionRate
                               * Seconds(capacity.eligible.routeLatency).count());
    }
    return shares;
}

bool SlotPool::hasAnyFreeSlot(core::TimePoint now) const
{
    return std::any_of(this->servers.begin(), this->servers.end(), [&](const auto &entry) {
        const ServerLoad &load = entry.second;
        return !this->isExcluded(load, now) && this->hasFreeSlot(load, now)
                && load.earliestWarmup(this->warmupRate(), now) <= now;
    });
}

void SlotPool::grantByShares(Shares &shares, std::vector<std::optional<SlotDecision>> &decisions,
                             core::TimePoint now)
{
    unsigned passedOver = 0;
    while (passedOver < maxPassedOver && this->hasAnyFreeSlot(now)) {
        const auto next = this->policy->selectNext(shares.waiting, now);
        if (!next)
            return;
        decisions[*next] = this->grant(this->queue[*next], now);
        shares.waiting[*next].eligible = false;
        if (!decisions[*next])
            ++passedOver;
    }
}

// Refuses new requests that can't be answered in time, and queued ones that would miss their
// deadline.
void SlotPool::refuseByShares(Shares &shares, std::vector<std::optional<SlotDecision>> &decisions,
                              core::TimePoint now)
{
    // The policy must see only requests that still wait.
    std::vector<admission::WaitingRequest> waiting;
    std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < decisions.size(); ++index) {
        if (decisions[index])
            continue;
        waiting.push_back(shares.waiting[index]);
        indexes.push_back(index);
    }
    core::Duration work{};
    for (const admission::WaitingRequest &request : waiting)
        work += request.serviceTime;
    std::size_t remaining = waiting.size();
    for (std::size_t position = 0; position < remaining;) {
        const admission::WaitingRequest request = waiting[position];
        const std::size_t index = indexes[position];
        admission::Verdict verdict;
        if (this->queue[index].accepted) {
            // Those that can still be in time are served first, so that this one may wait for all.
            const core::Duration wait = request.canBeInTime(now)
                    ? core::Duration::zero()
                    : detail::scale(work, 1 / shares.slots[index]);
            verdict.accepted = now + wait + request.latency <= request.deadline;
            verdict.retryAfter = std::max<core::Duration>(detail::minRetryAfter, wait);
        } else {
            verdict = this->policy->judge(waiting[position], std::span(waiting.data(), remaining),
                                          shares.slots[index], now);
            if (!verdict.accepted && request.mayWait)
                this->shortage.onLateRequest(now);
        }
        if (verdict.accepted) {
            ++position;
            continue;
        }
        decisions[index] = Refuse{verdict.retryAfter, "over-capacity"};
        work -= request.serviceTime;
        waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(position));
        indexes.erase(indexes.begin() + static_cast<std::ptrdiff_t>(position));
        --remaining;
    }
}

} // namespace amaranthdale::balance
