// Recent request rate per key, aggregated over all instances.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/keyspace/assignment.h"

#include <utility>
#include <vector>

namespace amaranthdale::keyspace {

/// A key and its number of requests since the last report.
using KeyCount = std::pair<Key, std::uint32_t>;

/// Exponentially decayed request counts per key. Not thread-safe.
class KeyLoad
{
public:
    KeyLoad() : weights(keyCount, 0.0F) { }

    void add(Key key, float count) { this->weights[key] += count; }
    void add(const std::vector<KeyCount> &counts);

    /// Multiplies all counts by `factor`, which must be below 1.
    void decay(float factor);

    /// Returns the sum of the counts in `range`.
    double sum(KeyRange range) const;

    /// Returns the last key of the shortest prefix of `range` whose load reaches `targetLoad`. The
    /// load is the sum of the counts plus `baseLoadPerKey` for each key. If `range` has more than
    /// one key, its last key is never returned, so that the remainder is not empty.
    Key splitPoint(KeyRange range, double baseLoadPerKey, double targetLoad) const;

private:
    std::vector<float> weights;
};

} // namespace amaranthdale::keyspace
