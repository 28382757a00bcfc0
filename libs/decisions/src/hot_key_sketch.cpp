// Space-Saving sketch with decay.
#include "amaranthdale/decisions/hot_key_sketch.h"

#include <algorithm>
#include <cmath>

namespace amaranthdale::decisions {

namespace {

// Decay steps per half-life: enough for a smooth decay at low cost.
constexpr int stepsPerHalfLife = 16;

} // namespace

HotKeySketch::HotKeySketch(std::size_t maxKeys, core::Duration countHalfLife)
    : capacity(maxKeys), halfLife(countHalfLife)
{
    this->counters.reserve(maxKeys);
}

void HotKeySketch::observe(std::uint64_t keyHash, core::TimePoint now)
{
    this->decay(now);
    this->total += 1;
    const auto found = std::find_if(this->counters.begin(), this->counters.end(),
                                    [&](const Counter &item) { return item.keyHash == keyHash; });
    if (found != this->counters.end()) {
        found->count += 1;
        return;
    }
    if (this->counters.size() < this->capacity) {
        this->counters.push_back(Counter{keyHash, 1, 0});
        return;
    }
    const auto smallest = std::min_element(
            this->counters.begin(), this->counters.end(),
            [](const Counter &left, const Counter &right) { return left.count < right.count; });
    *smallest = Counter{keyHash, smallest->count + 1, smallest->count};
}

std::vector<HotKey> HotKeySketch::keysAbove(double share, core::TimePoint now)
{
    this->decay(now);
    std::vector<HotKey> keys;
    for (const Counter &counter : this->counters) {
        const double guaranteedShare =
                this->total > 0 ? (counter.count - counter.error) / this->total : 0;
        if (guaranteedShare >= share)
            keys.push_back(HotKey{counter.keyHash, guaranteedShare});
    }
    std::sort(keys.begin(), keys.end(),
              [](const HotKey &left, const HotKey &right) { return left.share > right.share; });
    return keys;
}

void HotKeySketch::decay(core::TimePoint now)
{
    const core::Duration elapsed = now - this->decayedAt;
    if (elapsed < this->halfLife / stepsPerHalfLife)
        return;
    const double halfLives =
            std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(this->halfLife);
    const double factor = std::exp2(-halfLives);
    for (Counter &counter : this->counters) {
        counter.count *= factor;
        counter.error *= factor;
    }
    this->total *= factor;
    this->decayedAt = now;
}

} // namespace amaranthdale::decisions
