// Finds the keys that account for a large share of a server's load, in bounded memory.
#pragma once

#include "amaranthdale/core/types.h"

#include <cstdint>
#include <vector>

namespace amaranthdale::decisions {

struct HotKey
{
    std::uint64_t keyHash = 0;
    double share = 0; ///< Lower bound on the share of the load; 1 is all of it.
};

/// Space-Saving sketch (Metwally, Agrawal, El Abbadi, 2005) with exponentially decaying counts, so
/// that keys which are no longer hot are evicted. Always contains every key with a share above
/// 1/capacity.
class HotKeySketch
{
public:
    explicit HotKeySketch(std::size_t maxKeys = 64,
                          core::Duration countHalfLife = std::chrono::seconds(10));

    void observe(std::uint64_t keyHash, core::TimePoint now);

    /// Keys whose share is guaranteed to be at least `share`, hottest first.
    std::vector<HotKey> keysAbove(double share, core::TimePoint now);

private:
    struct Counter
    {
        std::uint64_t keyHash = 0;
        double count = 0;
        double error = 0; // Maximum overestimate in `count`.
    };

    void decay(core::TimePoint now);

    std::size_t capacity;
    core::Duration halfLife;
    std::vector<Counter> counters; // At most `capacity`.
    double total = 0;
    core::TimePoint decayedAt;
};

} // namespace amaranthdale::decisions
