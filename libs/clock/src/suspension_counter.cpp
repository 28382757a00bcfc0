// Differences between the clocks.
#include "amaranthdale/clock/suspension_counter.h"

namespace amaranthdale::clock {

core::Duration SuspensionCounter::update(core::TimePoint steady,
                                         core::TimePoint includingSuspension)
{
    const core::Duration current = includingSuspension - steady;
    if (!this->difference)
        this->difference = current;
    const core::Duration change = current - *this->difference;
    if (change > tolerance)
        this->total += change;
    if (change > tolerance || change < -tolerance)
        this->difference = current;
    return this->total;
}

} // namespace amaranthdale::clock
