// Time and timers behind one interface, so that tests can pause and advance time.
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

    /// Monotonic time that also counts while the machine is suspended. Rights that others wait out
    /// are measured with it. Not comparable with `now`.
    virtual core::TimePoint uptime() const { return this->now(); }

    /// Calendar time, for logs and reports only: decisions never use it.
    virtual std::chrono::system_clock::time_point wallNow() const = 0;

    /// Runs `callback` once, not before `time`. The callback holds no lock of the clock.
    virtual TimerId schedule(core::TimePoint time, std::function<void()> callback) = 0;

    /// Cancels a timer. A callback that has begun on another thread still runs to its end.
    virtual void cancel(TimerId timer) = 0;
};

/// Production clock: steady time and timers of `context`, whose threads run the callbacks.
/// The context must outlive the clock.
std::unique_ptr<Clock> makeAsioClock(boost::asio::io_context &context);

} // namespace amaranthdale::clock
