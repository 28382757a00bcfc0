// Key lookup in an assignment and the check of its invariant.
#include "amaranthdale/keyspace/assignment.h"

#include <algorithm>
#include <tuple>

namespace amaranthdale::keyspace {

const OwnedRange *Assignment::find(Key key) const
{
    const auto after = std::upper_bound(this->ownedRanges.begin(), this->ownedRanges.end(), key,
                                        [](Key wanted, const OwnedRange &ownedRange) {
                                            return wanted < ownedRange.keys.first;
                                        });
    if (after == this->ownedRanges.begin())
        return nullptr;
    const OwnedRange &ownedRange = *std::prev(after);
    return ownedRange.keys.contains(key) ? &ownedRange : nullptr;
}

bool Assignment::operator==(const Assignment &other) const
{
    const auto fields = [](const Assignment &record) {
        return std::tie(record.granter, record.granterPeer, record.settled, record.ownedRanges,
                        record.earlierGranters, record.terms, record.ownersUncertain,
                        record.earlierEra);
    };
    return fields(*this) == fields(other);
}

bool coversAllKeys(const Assignment &assignment)
{
    Key next = 0;
    for (const OwnedRange &ownedRange : assignment.ownedRanges) {
        if (ownedRange.keys.first != next || ownedRange.keys.last < ownedRange.keys.first
            || ownedRange.keys.last >= keyCount)
            return false;
        next = ownedRange.keys.last + 1;
    }
    return next == keyCount;
}

} // namespace amaranthdale::keyspace
