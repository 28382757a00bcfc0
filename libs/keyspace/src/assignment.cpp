// Key lookup in an assignment and the check of its invariant.
#include "amaranthdale/keyspace/assignment.h"

#include <algorithm>

namespace amaranthdale::keyspace {

const Holding *Assignment::find(Key key) const
{
    const auto after = std::upper_bound(
            this->holdings.begin(), this->holdings.end(), key,
            [](Key wanted, const Holding &holding) { return wanted < holding.keys.first; });
    if (after == this->holdings.begin())
        return nullptr;
    const Holding &holding = *std::prev(after);
    return holding.keys.contains(key) ? &holding : nullptr;
}

bool coversAllKeys(const Assignment &assignment)
{
    Key next = 0;
    for (const Holding &holding : assignment.holdings) {
        if (holding.keys.first != next || holding.keys.last < holding.keys.first
            || holding.keys.last >= keyCount)
            return false;
        next = holding.keys.last + 1;
    }
    return next == keyCount;
}

} // namespace amaranthdale::keyspace
