// Counts whose past decays with a common half-life.
#pragma once

#include "amaranthdale/core/types.h"

#include <cmath>

namespace amaranthdale::admission {

/// Unit in which decaying counts are stored. New events weigh more instead of old ones less, so
/// that counts which nothing is added to need no update and compare directly with each other.
class DecayScale
{
public:
    explicit DecayScale(core::Duration countHalfLife) : halfLife(countHalfLife) { }

    /// Weight of one event at `now`.
    double weight(core::TimePoint now) const
    {
        const std::chrono::duration<double> elapsed = now - this->epoch;
        return std::exp2(elapsed / this->halfLife);
    }

    /// True if weights have become so large that all counts should be divided by `rebase`.
    bool needsRebase(core::TimePoint now) const
    {
        return now - this->epoch > this->halfLife * maxHalfLives;
    }

    /// Starts a new epoch. Returns the number by which counts are divided.
    double rebase(core::TimePoint now)
    {
        const double divisor = this->weight(now);
        this->epoch = now;
        return divisor;
    }

private:
    static constexpr int maxHalfLives = 60; // Far below the largest exponent of a double.

    std::chrono::duration<double> halfLife;
    core::TimePoint epoch{};
};

} // namespace amaranthdale::admission
