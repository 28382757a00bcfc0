// Selection of small idle ranges and of the neighbours that get them.
#include "amaranthdale/keyspace/consolidation.h"

#include <algorithm>
#include <set>

namespace amaranthdale::keyspace {

std::vector<Move> planConsolidation(const std::vector<OwnedRange> &ownedRanges,
                                    const std::vector<Candidate> &candidates, const KeyLoad &load,
                                    const PlacementLimits &placement,
                                    const ConsolidationLimits &limits)
{
    const PlacementLimits scaled = placement.scaledTo(candidates.size());
    const double spare = std::max(1.0, double(scaled.maxRanges) - scaled.initialRanges);
    const double use = (double(ownedRanges.size()) - scaled.initialRanges) / spare;
    if (use < limits.freeUse || candidates.empty())
        return {};
    const double maxLoad =
            limits.maxLoad * load.sum({0, keyCount - 1}) / static_cast<double>(candidates.size());
    std::set<ServerIncarnation> receivers;
    for (const Candidate &candidate : candidates) {
        if (!candidate.cold)
            receivers.insert(candidate.server);
    }
    std::vector<Move> moves;
    const OwnedRange *anchor = nullptr; // The last range that stays.
    for (const OwnedRange &range : ownedRanges) {
        const bool idle = range.keys.size() <= limits.maxKeys && receivers.contains(range.owner)
                && load.sum(range.keys) <= maxLoad;
        if (!idle || anchor == nullptr) {
            anchor = receivers.contains(range.owner) ? &range : nullptr;
            continue;
        }
        if (moves.size() >= limits.maxMoves)
            break;
        if (range.owner != anchor->owner)
            moves.push_back(Move{range.keys, anchor->owner});
    }
    return moves;
}

std::vector<OwnedRange> mergeAdjacent(const std::vector<OwnedRange> &ownedRanges)
{
    std::vector<OwnedRange> merged;
    for (const OwnedRange &range : ownedRanges) {
        if (merged.empty() || merged.back().owner != range.owner) {
            merged.push_back(range);
            continue;
        }
        merged.back().keys.last = range.keys.last;
        merged.back().fence = std::max(merged.back().fence, range.fence);
    }
    return merged;
}

} // namespace amaranthdale::keyspace
