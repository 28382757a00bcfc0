// Hysteresis of capacities, precedence of hot keys, and the limit for the number of moved keys.
#include "amaranthdale/keyspace/rebalancer.h"

#include <algorithm>

namespace amaranthdale::keyspace {

Rebalancer::Rebalancer(PlacementLimits placementLimits, RebalanceOptions rebalanceOptions)
    : limits(placementLimits), options(rebalanceOptions), hotKeys(rebalanceOptions.hotKeys),
      movableKeys(rebalanceOptions.keyBurst)
{ }

std::vector<Candidate> Rebalancer::withUsedCapacity(const std::vector<Candidate> &candidates,
                                                    core::TimePoint now)
{
    std::map<ServerIncarnation, UsedCapacity> next;
    std::vector<Candidate> adjusted = candidates;
    for (Candidate &candidate : adjusted) {
        const auto known = this->capacities.find(candidate.server);
        UsedCapacity used = known == this->capacities.end()
                ? UsedCapacity{candidate.capacity, now, std::nullopt, false}
                : known->second;
        const double ratio = candidate.capacity / used.value;
        const bool deviates = ratio > this->options.capacityTolerance
                || ratio < 1 / this->options.capacityTolerance;
        if (!deviates || used.higher != (ratio > 1))
            used.deviatesSince.reset();
        if (deviates && !used.deviatesSince)
            used.deviatesSince = now;
        used.higher = ratio > 1;
        const core::Duration delay = now - used.knownSince < this->options.newServerTime
                ? this->options.firstCapacityDelay
                : this->options.capacityDelay;
        if (used.deviatesSince && now - *used.deviatesSince >= delay) {
            used.value = candidate.capacity;
            used.deviatesSince.reset();
        }
        candidate.capacity = used.value;
        next.emplace(candidate.server, used);
    }
    this->capacities = std::move(next);
    return adjusted;
}

WorkPlacementLimits Rebalancer::workLimits() const
{
    // Relative load at which servers are full; the bound limits the effect of a wrong utilisation.
    constexpr double maxFullLoad = 4;
    const double full = std::min(1 / std::max(this->utilisation, 0.01), maxFullLoad);
    WorkPlacementLimits work;
    work.placement = this->limits;
    work.maxRelativeLoad =
            std::max(this->options.maxRelativeLoad, this->options.maxLoadOfFull * full);
    work.fillLevel = std::max(1.0, this->options.fillLoadOfFull * full);
    return work;
}

bool Rebalancer::takeKeys(const Move &move)
{
    const double keys = move.keys.size();
    if (keys > this->movableKeys) {
        ++this->moveCounts.postponed;
        return false;
    }
    this->movableKeys -= keys;
    this->moveCounts.keys += move.keys.size();
    return true;
}

std::vector<Move> Rebalancer::plan(const std::vector<OwnedRange> &ownedRanges,
                                   const std::vector<Candidate> &candidates, const KeyLoad &load,
                                   core::TimePoint now)
{
    if (!this->options.enabled)
        return planMoves(ownedRanges, candidates, load, this->limits);
    if (this->lastRound != core::TimePoint())
        this->movableKeys = std::min(
                this->options.keyBurst,
                this->movableKeys
                        + this->options.keysPerSecond
                                * std::chrono::duration<double>(now - this->lastRound).count());
    this->lastRound = now;
    std::vector<Candidate> adjusted = this->withUsedCapacity(candidates, now);
    HotKeyPlanner::Plan hot = this->hotKeys.plan(ownedRanges, adjusted, load);
    std::vector<Move> moves;
    for (const Move &move : hot.moves) {
        if (!this->takeKeys(move))
            continue;
        moves.push_back(move);
        ++this->moveCounts.hotKey;
    }
    // A server with a hot key takes no part in the balance of the others: it can't be relieved, and
    // its load would raise the mean.
    std::erase_if(adjusted, [&hot](const Candidate &candidate) {
        return hot.reserved.contains(candidate.server);
    });
    const std::vector<OwnedRange> planned = applyMoves(ownedRanges, moves);
    for (const Move &move : planWorkMoves(planned, adjusted, load, this->workLimits())) {
        if (!this->takeKeys(move))
            continue;
        moves.push_back(move);
        ++this->moveCounts.balance;
    }
    for (const Move &move : planConsolidation(applyMoves(ownedRanges, moves), adjusted, load,
                                              this->limits, this->options.consolidation)) {
        if (!this->takeKeys(move))
            continue;
        moves.push_back(move);
        ++this->moveCounts.consolidation;
    }
    return moves;
}

} // namespace amaranthdale::keyspace
