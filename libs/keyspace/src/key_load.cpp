// Decayed request counts per key.
#include "amaranthdale/keyspace/key_load.h"

#include <algorithm>

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
    for (float &weight : this->weights) {
        if (weight != 0.0F)
            weight = weight < negligible ? 0.0F : weight * factor;
    }
}

double KeyLoad::sum(KeyRange range) const
{
    double total = 0;
    for (Key key = range.first; key <= range.last; ++key)
        total += this->weights[key];
    return total;
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
