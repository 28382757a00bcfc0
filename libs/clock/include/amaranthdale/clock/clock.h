// Interface for time and timers, so that tests can pause and advance time.
#pragma once

#include "amaranthdale/core/types.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace amaranthdale::clock {

/// Identifies a timer of one clock; 0 is never used.
using TimerId = std::uint64_t;

/// Source of time and timers. Thread-safe.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Monotonic time.
    virtual core::TimePoint now() const = 0;

    /// Monotonic time that includes system suspend. Measures rights that must not be used for too
    /// long: it is never behind `now`, and may be ahead of the time that has passed if a clock of
    /// the system steps. To wait until others' rights have ended, use `now`.
    virtual core::TimePoint uptime() const { return this->now(); }

    /// Wall-clock time, for logs and reports only; decisions never use it.
    virtual std::chrono::system_clock::time_point wallNow() const = 0;

    /// Runs `callback` once, not before `time`. The clock holds no lock during the callback.
    virtual TimerId schedule(core::TimePoint time, std::function<void()> callback) = 0;

    /// Cancels a timer. A callback that is already running on another thread completes.
    virtual void cancel(TimerId timer) = 0;
};

/// Production clock over the steady clock and timers of `context`, whose threads run the callbacks.
/// The context must outlive the clock.
std::unique_ptr<Clock> makeAsioClock(boost::asio::io_context &context);

} // namespace amaranthdale::clock
