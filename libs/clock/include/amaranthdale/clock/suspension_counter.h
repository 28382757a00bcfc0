// Counts the time during which the system was suspended, from the two clocks that differ by it.
#pragma once

#include "amaranthdale/core/types.h"

#include <optional>

namespace amaranthdale::clock {

/// Compares a clock that stops during suspension with one that doesn't. A step of the second clock
/// ahead looks like a suspension and counts as one; a step back takes nothing away. Not
/// thread-safe.
class SuspensionCounter
{
public:
    /// Differences up to this are taken for the time between the readings of both clocks.
    static constexpr core::Duration tolerance = std::chrono::milliseconds(20);

    /// Takes readings of both clocks; returns the suspension counted since the first ones.
    core::Duration update(core::TimePoint steady, core::TimePoint includingSuspension);

private:
    std::optional<core::Duration> difference; ///< Between the clocks when it last changed.
    core::Duration total{};
};

} // namespace amaranthdale::clock
