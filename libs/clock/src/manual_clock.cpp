// Implementation of the clock for tests.
#include "amaranthdale/clock/manual_clock.h"

#include <algorithm>

namespace amaranthdale::clock {

core::TimePoint ManualClock::now() const
{
    std::lock_guard lock(this->mutex);
    return this->current;
}

std::chrono::system_clock::time_point ManualClock::wallNow() const
{
    return std::chrono::system_clock::time_point(
            std::chrono::duration_cast<std::chrono::system_clock::duration>(
                    this->now().time_since_epoch()));
}

TimerId ManualClock::schedule(core::TimePoint time, std::function<void()> callback)
{
    std::lock_guard lock(this->mutex);
    const TimerId timer = ++this->lastTimer;
    this->timers.emplace(TimerKey{time, timer}, std::move(callback));
    return timer;
}

void ManualClock::cancel(TimerId timer)
{
    std::lock_guard lock(this->mutex);
    std::erase_if(this->timers, [timer](const auto &entry) { return entry.first.second == timer; });
}

void ManualClock::advance(core::Duration step)
{
    std::unique_lock lock(this->mutex);
    const core::TimePoint target = this->current + step;
    while (!this->timers.empty() && this->timers.begin()->first.first <= target) {
        auto node = this->timers.extract(this->timers.begin());
        this->current = std::max(this->current, node.key().first);
        lock.unlock();
        node.mapped()();
        lock.lock();
    }
    this->current = std::max(this->current, target);
}

} // namespace amaranthdale::clock
