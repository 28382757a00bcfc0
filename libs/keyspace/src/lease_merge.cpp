// Merges the states of adjacent ranges with the same owner, as the number of ranges is limited.
#include "amaranthdale/keyspace/lease_manager.h"

#include <algorithm>

namespace amaranthdale::keyspace {

namespace {

constexpr unsigned maxMergesPerRound = 40; // Each costs an additional grant.

} // namespace

// The owner gets a grant for all keys at once, under the higher token. Until it has accepted that,
// the range counts as not confirmed, so that it can't be released under a token that was accepted
// for a part of it only. No call for either range is outstanding, and all times that other
// servers wait for are the later ones.
void LeaseManager::mergeRanges(core::TimePoint now)
{
    if (!this->options.rebalance.enabled || this->pendingAppend || this->logReadRequired)
        return;
    const auto isAtRest = [](const RangeState &range) {
        return range.confirmed && !range.grantOutcomeUnknown && range.pendingGrant == 0
                && range.pendingRelease == 0 && !range.revoking && !range.unowned
                && !range.nextOwner && range.failedGrants == 0 && !range.wasFenced
                && range.ownedRange.handover.empty();
    };
    unsigned merges = 0;
    std::vector<RangeState> merged;
    merged.reserve(this->ranges.size());
    bool extended = false; // The last range isn't at rest, as it has just been merged.
    for (RangeState &range : this->ranges) {
        const bool joins = !merged.empty() && (extended || isAtRest(merged.back()))
                && isAtRest(range) && merged.back().ownedRange.owner == range.ownedRange.owner
                && merges < maxMergesPerRound;
        if (!joins) {
            merged.push_back(std::move(range));
            extended = false;
            continue;
        }
        RangeState &whole = merged.back();
        whole.ownedRange.keys.last = range.ownedRange.keys.last;
        whole.ownedRange.fence = std::max(whole.ownedRange.fence, range.ownedRange.fence);
        whole.inherited = whole.inherited || range.inherited;
        if (whole.fencedAt && range.fencedAt)
            whole.fencedAt = std::max(*whole.fencedAt, *range.fencedAt);
        else
            whole.fencedAt.reset();
        whole.earlierLeaseEnd = std::max(whole.earlierLeaseEnd, range.earlierLeaseEnd);
        whole.leaseEnd = std::max(whole.leaseEnd, range.leaseEnd);
        whole.priorLeaseEnd = std::max(whole.priorLeaseEnd, range.priorLeaseEnd);
        whole.lastGrantSent = std::min(whole.lastGrantSent, range.lastGrantSent);
        whole.fenceRaises = std::max(whole.fenceRaises, range.fenceRaises);
        whole.confirmed = false;
        whole.nextGrant = now;
        extended = true;
        ++merges;
    }
    this->ranges = std::move(merged);
}

} // namespace amaranthdale::keyspace
