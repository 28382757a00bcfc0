// Decayed request counts per key.
#include "amaranthdale/keyspace/key_load.h"

#include <algorithm>
#include <cmath>

namespace amaranthdale::keyspace {

void KeyLoad::add(const std::vector<KeyCount> &counts)
{
    for (const auto &[key, count] : counts) {
        if (key < keyCount)
            this->add(key, static_cast<float>(count));
    }
}

void KeyLoad::decay(float factor)
{
    constexpr float negligible = 0.01F;
    std::fill(this->fresh.begin(), this->fresh.end(), 0.0F);
    for (std::size_t block = 0; block < this->recent.size(); ++block)
        this->earlier[block] = (this->earlier[block] + this->recent[block]) * factor;
    this->recent.fill(0);
    for (float &weight : this->weights) {
        if (weight != 0.0F)
            weight = weight < negligible ? 0.0F : weight * factor;
    }
}

bool KeyLoad::followShift(float intervals)
{
    // Chance alone gives a distance of 0.1 to 0.15 at this number of requests.
    constexpr double minRequests = 100;
    constexpr double minDistance = 0.25;
    // One request of a key says nothing about its rate.
    constexpr float minCount = 2;
    double recentTotal = 0;
    double earlierTotal = 0;
    for (std::size_t block = 0; block < this->recent.size(); ++block) {
        recentTotal += this->recent[block];
        earlierTotal += this->earlier[block];
    }
    if (recentTotal < minRequests || earlierTotal < minRequests)
        return false;
    double distance = 0; // Total variation.
    for (std::size_t block = 0; block < this->recent.size(); ++block)
        distance +=
                std::abs(this->recent[block] / recentTotal - this->earlier[block] / earlierTotal)
                / 2;
    if (distance < minDistance)
        return false;
    for (Key key = 0; key < keyCount; ++key) {
        if (this->fresh[key] >= minCount)
            this->weights[key] = std::max(this->weights[key], this->fresh[key] * intervals);
    }
    return true;
}

double KeyLoad::sum(KeyRange range) const
{
    double total = 0;
    for (Key key = range.first; key <= range.last; ++key)
        total += this->weights[key];
    return total;
}

std::vector<double> KeyLoad::prefixSums() const
{
    std::vector<double> sums(keyCount + 1);
    double total = 0;
    for (Key key = 0; key < keyCount; ++key) {
        total += this->weights[key];
        sums[key + 1] = total;
    }
    return sums;
}

std::vector<Key> KeyLoad::heaviest(std::size_t limit, double minCount) const
{
    std::vector<Key> found;
    for (Key key = 0; key < keyCount; ++key) {
        if (this->weights[key] >= minCount)
            found.push_back(key);
    }
    std::stable_sort(found.begin(), found.end(), [this](Key left, Key right) {
        return this->weights[left] > this->weights[right];
    });
    found.resize(std::min(found.size(), limit));
    return found;
}

Key KeyLoad::splitPoint(KeyRange range, double baseLoadPerKey, double targetLoad) const
{
    double total = 0;
    for (Key key = range.first; key < range.last; ++key) {
        total += this->weights[key] + baseLoadPerKey;
        if (total >= targetLoad)
            return key;
    }
    return range.last > range.first ? range.last - 1 : range.first;
}

} // namespace amaranthdale::keyspace
