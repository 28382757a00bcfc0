// Recent levels of a bucket of tokens.
#pragma once

#include "amaranthdale/core/types.h"

#include <algorithm>
#include <array>

namespace amaranthdale::quotas {

/// Highest levels of the last 3 s, in steps of 100 ms. Covers `returnTime` and `maxReturnDelay`.
/// Not thread-safe.
class LevelHistory
{
public:
    /// Records the level at `now`.
    void note(double level, core::TimePoint now)
    {
        Slot &slot = this->slots[static_cast<std::size_t>(number(now)) % this->slots.size()];
        if (slot.number != number(now))
            slot = {number(now), level};
        slot.highest = std::max(slot.highest, level);
    }

    /// The highest level recorded since `time`, at least 0.
    double highestSince(core::TimePoint time) const
    {
        double highest = 0;
        for (const Slot &slot : this->slots) {
            if (slot.number >= number(time))
                highest = std::max(highest, slot.highest);
        }
        return highest;
    }

    /// Adds to all levels recorded since `time`.
    void raiseSince(core::TimePoint time, double amount)
    {
        for (Slot &slot : this->slots) {
            if (slot.number >= number(time))
                slot.highest += amount;
        }
    }

private:
    struct Slot
    {
        std::int64_t number = -1;
        double highest = 0;
    };

    static std::int64_t number(core::TimePoint time)
    {
        return time.time_since_epoch() / core::Duration(std::chrono::milliseconds(100));
    }

    std::array<Slot, 32> slots;
};

} // namespace amaranthdale::quotas
