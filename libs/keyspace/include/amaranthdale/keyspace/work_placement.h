// Plans moves by the work of keys. Load condition: sets of adjacent hot keys that attract a third
// of the load within one report and change every few seconds, on servers that are otherwise far
// from their limits.
#pragma once

#include "amaranthdale/keyspace/placement.h"

#include <vector>

namespace amaranthdale::keyspace {

struct WorkPlacementLimits
{
    PlacementLimits placement; ///< Numbers of ranges and moves.
    /// Load relative to the mean above which a server gives keys away.
    double maxRelativeLoad = 1.3;
    /// Relative load up to which a server gets keys, below `maxRelativeLoad`. Filling servers only
    /// to the mean needs more moves than a round has, while most of them have free slots.
    double fillLevel = 1;
};

/// Returns the moves that relieve the servers above `maxRelativeLoad`. Each takes the fewest keys
/// that carry the load to be moved. A server that can't be relieved doesn't keep the others from
/// being relieved.
std::vector<Move> planWorkMoves(const std::vector<OwnedRange> &ownedRanges,
                                const std::vector<Candidate> &candidates, const KeyLoad &load,
                                const WorkPlacementLimits &limits);

} // namespace amaranthdale::keyspace
