// Production clock based on Asio's steady timers.
#include "amaranthdale/clock/clock.h"
#include "amaranthdale/clock/suspension_counter.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <time.h>

#include <mutex>
#include <unordered_map>

namespace amaranthdale::clock {

namespace {

// Pending timers. Handlers share ownership of the table, since a handler may still be queued when
// the clock is destroyed.
class TimerTable
{
public:
    using Timer = std::shared_ptr<boost::asio::steady_timer>;

    // Starts the wait under the lock, since a timer must not be cancelled concurrently.
    template<class Function>
    TimerId start(const Timer &timer, Function &&makeHandler)
    {
        std::lock_guard lock(this->mutex);
        const TimerId id = ++this->lastTimer;
        this->timers.emplace(id, timer);
        timer->async_wait(makeHandler(id));
        return id;
    }

    // Removes a timer. False if it was cancelled or the clock has been destroyed.
    bool claim(TimerId id)
    {
        std::lock_guard lock(this->mutex);
        return this->timers.erase(id) > 0;
    }

    void cancel(TimerId id)
    {
        std::lock_guard lock(this->mutex);
        const auto found = this->timers.find(id);
        if (found == this->timers.end())
            return;
        found->second->cancel();
        this->timers.erase(found);
    }

    void cancelAll()
    {
        std::lock_guard lock(this->mutex);
        for (const auto &[id, timer] : this->timers)
            timer->cancel();
        this->timers.clear();
    }

private:
    std::mutex mutex;
    TimerId lastTimer = 0;
    std::unordered_map<TimerId, Timer> timers;
};

class AsioClock : public Clock
{
public:
    explicit AsioClock(boost::asio::io_context &ioContext) : context(ioContext) { }

    ~AsioClock() override { this->table->cancelAll(); }

    core::TimePoint now() const override { return std::chrono::steady_clock::now(); }

    core::TimePoint uptime() const override
    {
        std::lock_guard lock(this->suspensionMutex);
        timespec time{};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        const core::TimePoint steady = this->now();
        return steady
                + this->suspension.update(
                        steady,
                        core::TimePoint(std::chrono::seconds(time.tv_sec)
                                        + std::chrono::nanoseconds(time.tv_nsec)));
    }

    std::chrono::system_clock::time_point wallNow() const override
    {
        return std::chrono::system_clock::now();
    }

    TimerId schedule(core::TimePoint time, std::function<void()> callback) override
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(this->context, time);
        return this->table->start(timer, [&](TimerId id) {
            return [timers = this->table, id, timer,
                    callback = std::move(callback)](const boost::system::error_code &) {
                if (timers->claim(id))
                    callback();
            };
        });
    }

    void cancel(TimerId id) override { this->table->cancel(id); }

private:
    boost::asio::io_context &context;
    std::shared_ptr<TimerTable> table = std::make_shared<TimerTable>();
    mutable std::mutex suspensionMutex; // Leaf lock; protects `suspension`.
    mutable SuspensionCounter suspension;
};

} // namespace

std::unique_ptr<Clock> makeAsioClock(boost::asio::io_context &context)
{
    return std::make_unique<AsioClock>(context);
}

} // namespace amaranthdale::clock
