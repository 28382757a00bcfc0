// Recent request rate of each key, from the counts of all instances.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/keyspace/assignment.h"

#include <utility>
#include <vector>

namespace amaranthdale::keyspace {

/// Requests for a key since the last report.
using KeyCount = std::pair<Key, std::uint32_t>;

/// Decayed request counts, one for each key. Not thread-safe.
class KeyLoad
{
public:
    KeyLoad() : weights(keyCount, 0.0F) { }

    void add(Key key, float count) { this->weights[key] += count; }
    void add(const std::vector<KeyCount> &counts);

    /// Multiplies all counts by `factor`, below 1.
    void decay(float factor);

    /// Sum of the counts of a range.
    double sum(KeyRange range) const;

    /// The last key of the shortest prefix of `range` whose counts, with `perKey` added to each,
    /// reach `wanted`. Less than the range's last key, so that a rest remains.
    Key splitPoint(KeyRange range, double perKey, double wanted) const;

private:
    std::vector<float> weights;
};

} // namespace amaranthdale::keyspace
