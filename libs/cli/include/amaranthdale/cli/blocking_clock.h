// Blocking waits between polls of an instance or the log.
#pragma once

#include "amaranthdale/clock/clock.h"

#include <memory>

namespace amaranthdale::cli {

/// Source of time for commands, with a blocking wait.
class BlockingClock
{
public:
    virtual ~BlockingClock() = default;

    virtual core::TimePoint now() const = 0;

    /// Blocks the calling thread for `duration`.
    virtual void sleepFor(core::Duration duration) = 0;
};

/// Creates a pacer that waits on timers of `clock`. `clock` must outlive the pacer and run its
/// callbacks on a thread other than the waiting one.
std::unique_ptr<BlockingClock> makeBlockingClock(clock::Clock &clock);

} // namespace amaranthdale::cli
