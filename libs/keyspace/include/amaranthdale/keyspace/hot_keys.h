// Plans moves for single keys whose load exceeds the capacity of any server. Load condition: one
// key gets a sixth of a service's requests for some seconds, and its owner, which serves only a
// tenth of them, has other ranges that are refused with it.
#pragma once

#include "amaranthdale/keyspace/placement.h"

#include <map>
#include <set>
#include <vector>

namespace amaranthdale::keyspace {

/// When a key is hot, and what moving keys for its sake may cost.
struct HotKeyLimits
{
    /// A key is hot if it alone would load the fastest server this many times more than the mean.
    double minRelativeLoad = 3;
    /// It stays so until its load is below this share of that.
    double releaseShare = 0.5;
    /// Recent requests below which a key isn't hot; a quiet service has no shortage.
    double minRequests = 40;
    unsigned maxHotKeys = 4;
    /// Relative load above which a server is assumed to refuse requests.
    double saturation = 3;
    /// Price of changing the owner of a key, in requests.
    double costPerKey = 0.02;
    /// Loads are sums over about 2.5 s. The lifetime that a hot key is expected to have, and the
    /// time for which keys are unavailable while they move, in multiples of these.
    double lifetimePeriods = 1.6;
    double movePeriods = 0.04;
    /// Another server must be this many times faster for a hot key to move to it.
    double minSpeedGain = 1.15;
};

/// Moves that separate hot keys from other ranges. Not thread-safe.
class HotKeyPlanner
{
public:
    explicit HotKeyPlanner(HotKeyLimits hotKeyLimits = {}) : limits(hotKeyLimits) { }

    /// What to move, and the servers that hold hot keys from now on and should get nothing else.
    struct Plan
    {
        std::vector<Move> moves;
        std::set<ServerIncarnation> reserved;
    };

    Plan plan(const std::vector<OwnedRange> &ownedRanges, const std::vector<Candidate> &candidates,
              const KeyLoad &load);

private:
    const HotKeyLimits limits;
    std::set<Key> hotKeys; ///< As of the last plan.
};

/// Applies moves to the ranges that they were planned for.
std::vector<OwnedRange> applyMoves(const std::vector<OwnedRange> &ownedRanges,
                                   const std::vector<Move> &moves);

} // namespace amaranthdale::keyspace
