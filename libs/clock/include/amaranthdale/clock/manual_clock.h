// Clock for tests, which moves only when it is advanced.
#pragma once

#include "amaranthdale/clock/clock.h"

#include <map>
#include <mutex>
#include <utility>

namespace amaranthdale::clock {

/// A clock that only `advance` moves. Due callbacks run in order of time, then of scheduling.
class ManualClock : public Clock
{
public:
    core::TimePoint now() const override;
    std::chrono::system_clock::time_point wallNow() const override;
    TimerId schedule(core::TimePoint time, std::function<void()> callback) override;
    void cancel(TimerId timer) override;

    /// Moves time forward by `step`, stopping at each timer that falls due on the way.
    void advance(core::Duration step);

private:
    // Key: due time, then id, so that timers of the same time run in order of scheduling.
    using TimerKey = std::pair<core::TimePoint, TimerId>;

    mutable std::mutex mutex;
    core::TimePoint current{std::chrono::hours(1)};
    TimerId lastTimer = 0;
    std::map<TimerKey, std::function<void()>> timers;
};

} // namespace amaranthdale::clock
