// Recent request rate per key, aggregated over all instances.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/keyspace/assignment.h"

#include <array>
#include <utility>
#include <vector>

namespace amaranthdale::keyspace {

/// A key and its number of requests since the last report.
using KeyCount = std::pair<Key, std::uint32_t>;

/// Exponentially decayed request counts per key. Not thread-safe.
class KeyLoad
{
public:
    KeyLoad() : weights(keyCount, 0.0F), fresh(keyCount, 0.0F) { }

    void add(Key key, float count)
    {
        this->weights[key] += count;
        this->fresh[key] += count;
        this->recent[key / blockSize] += count;
    }
    void add(const std::vector<KeyCount> &counts);

    /// Multiplies all counts by `factor`, which must be below 1.
    void decay(float factor);

    /// If the requests since the last call of `decay` are for other keys than those before, raises
    /// the counts of the new ones to what they become if the requests go on: the sum over
    /// `intervals` calls of `decay`. Otherwise they would be taken for a fraction of what they are
    /// for seconds. Small numbers of requests never count as a shift. Returns whether there was
    /// one.
    bool followShift(float intervals);

    /// Returns the sum of the counts in `range`.
    double sum(KeyRange range) const;

    /// Returns the sums of the counts below each key, and the sum of all as the last element.
    std::vector<double> prefixSums() const;

    /// Returns up to `limit` keys with a count of at least `minCount`, the highest count first.
    std::vector<Key> heaviest(std::size_t limit, double minCount) const;

    /// Returns the last key of the shortest prefix of `range` whose load reaches `targetLoad`. The
    /// load is the sum of the counts plus `baseLoadPerKey` for each key. If `range` has more than
    /// one key, its last key is never returned, so that the remainder is not empty.
    Key splitPoint(KeyRange range, double baseLoadPerKey, double targetLoad) const;

private:
    static constexpr Key blockSize = 2048;

    std::vector<float> weights;
    std::vector<float> fresh; ///< Counts since the last decay; part of `weights`, too.
    using Blocks = std::array<double, keyCount / blockSize>;
    Blocks recent{};  ///< Sums of `fresh` over blocks of keys.
    Blocks earlier{}; ///< Sums of what was counted before, decayed.
};

} // namespace amaranthdale::keyspace
