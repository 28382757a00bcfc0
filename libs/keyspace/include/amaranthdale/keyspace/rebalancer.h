// Decides in each round which ranges move, when servers differ in speed and demand shifts between
// keys. Load condition: speeds of 0.5 to 1.6, slow phases of 400 ms, sets of hot keys that change
// every few seconds, and a price for each key that changes its owner.
#pragma once

#include "amaranthdale/keyspace/consolidation.h"
#include "amaranthdale/keyspace/hot_keys.h"
#include "amaranthdale/keyspace/placement.h"
#include "amaranthdale/keyspace/work_placement.h"

#include <cstdint>
#include <map>

namespace amaranthdale::keyspace {

struct RebalanceOptions
{
    /// Without it, `planMoves` decides alone.
    bool enabled = false;
    HotKeyLimits hotKeys;
    ConsolidationLimits consolidation;
    /// A change of a server's capacity by less than this factor is ignored.
    double capacityTolerance = 1.3;
    /// How long a change must last before it is followed. Slow phases of servers take 400 ms.
    core::Duration capacityDelay = std::chrono::milliseconds(1200);
    /// The same for a server that hasn't been known for `newServerTime`: the first estimate of its
    /// speed replaces an assumption, not an observation.
    core::Duration firstCapacityDelay = std::chrono::milliseconds(300);
    core::Duration newServerTime = std::chrono::seconds(5);
    /// Keys that may move: at once, and per second in the long run. Each move has a price.
    double keyBurst = 32768;
    double keysPerSecond = 1024;
    /// Limits of relative load while the service is used to capacity. With free slots, they rise
    /// to the following shares of the relative load at which servers are full.
    double maxRelativeLoad = 1.3;
    double maxLoadOfFull = 0.6;
    double fillLoadOfFull = 0.5;
};

/// Numbers of moves by reason.
struct MoveCounts
{
    std::uint64_t hotKey = 0;
    std::uint64_t balance = 0;
    std::uint64_t consolidation = 0;
    std::uint64_t postponed = 0; ///< Not made, as too many keys had moved.
    std::uint64_t keys = 0;      ///< Keys that the moves comprise.
};

/// Plans the moves of one service. Not thread-safe.
class Rebalancer
{
public:
    Rebalancer(PlacementLimits placementLimits, RebalanceOptions rebalanceOptions);

    /// Returns the moves of this round.
    std::vector<Move> plan(const std::vector<OwnedRange> &ownedRanges,
                           const std::vector<Candidate> &candidates, const KeyLoad &load,
                           core::TimePoint now);

    /// Sets which part of the servers' slots the requests need. Placement assumes full use without.
    void setUtilisation(double needed) { this->utilisation = needed; }

    const MoveCounts &counts() const { return this->moveCounts; }

private:
    // The capacity that the placement of keys uses for a server.
    struct UsedCapacity
    {
        double value = 1;
        core::TimePoint knownSince{};
        std::optional<core::TimePoint> deviatesSince; ///< Beyond the tolerance, in one direction.
        bool higher = false;                          ///< Direction of that deviation.
    };

    std::vector<Candidate> withUsedCapacity(const std::vector<Candidate> &candidates,
                                            core::TimePoint now);
    bool takeKeys(const Move &move);
    WorkPlacementLimits workLimits() const;

    const PlacementLimits limits;
    const RebalanceOptions options;
    HotKeyPlanner hotKeys;
    std::map<ServerIncarnation, UsedCapacity> capacities; ///< Of the last round's candidates.
    double utilisation = 1;
    double movableKeys = 0;
    core::TimePoint lastRound{};
    MoveCounts moveCounts;
};

} // namespace amaranthdale::keyspace
