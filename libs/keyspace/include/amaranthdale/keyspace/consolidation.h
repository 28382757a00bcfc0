// Reduces the number of ranges. Load condition: sets of hot keys that change every few seconds.
// Each is split into some 60 ranges; after three of them the maximum number of ranges was reached,
// and two thirds of the requests for each further set were refused.
#pragma once

#include "amaranthdale/keyspace/placement.h"

#include <vector>

namespace amaranthdale::keyspace {

struct ConsolidationLimits
{
    /// Part of the ranges beyond the initial ones that may be in use before small ones move.
    double freeUse = 0.25;
    Key maxKeys = 64; ///< Larger ranges cost too much to move for this purpose.
    /// A range is idle below this share of the average load of a server.
    double maxLoad = 0.25;
    unsigned maxMoves = 40; ///< Per round.
};

/// Returns moves of small idle ranges to the owners of their neighbours, so that ranges can be
/// merged. Empty while there are few ranges.
std::vector<Move> planConsolidation(const std::vector<OwnedRange> &ownedRanges,
                                    const std::vector<Candidate> &candidates, const KeyLoad &load,
                                    const PlacementLimits &placement,
                                    const ConsolidationLimits &limits);

/// Merges adjacent ranges of the same owner.
std::vector<OwnedRange> mergeAdjacent(const std::vector<OwnedRange> &ownedRanges);

} // namespace amaranthdale::keyspace
