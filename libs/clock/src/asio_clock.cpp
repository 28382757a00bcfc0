// The production clock over Asio's steady timers.
#include "amaranthdale/clock/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <mutex>
#include <unordered_map>

namespace amaranthdale::clock {

namespace {

class AsioClock : public Clock
{
public:
    explicit AsioClock(boost::asio::io_context &ioContext) : context(ioContext) { }

    core::TimePoint now() const override { return std::chrono::steady_clock::now(); }

    std::chrono::system_clock::time_point wallNow() const override
    {
        return std::chrono::system_clock::now();
    }

    TimerId schedule(core::TimePoint time, std::function<void()> callback) override
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(this->context, time);
        std::lock_guard lock(this->mutex);
        const TimerId id = ++this->lastTimer;
        this->timers.emplace(id, timer);
        timer->async_wait([this, id, timer,
                           callback = std::move(callback)](const boost::system::error_code &error) {
            this->forget(id);
            if (!error)
                callback();
        });
        return id;
    }

    void cancel(TimerId id) override
    {
        std::lock_guard lock(this->mutex);
        const auto found = this->timers.find(id);
        if (found != this->timers.end())
            found->second->cancel();
    }

private:
    void forget(TimerId id)
    {
        std::lock_guard lock(this->mutex);
        this->timers.erase(id);
    }

    boost::asio::io_context &context;
    std::mutex mutex;
    TimerId lastTimer = 0;
    // Holds the timers that wait; an entry leaves when its wait ends.
    std::unordered_map<TimerId, std::shared_ptr<boost::asio::steady_timer>> timers;
};

} // namespace

std::unique_ptr<Clock> makeAsioClock(boost::asio::io_context &context)
{
    return std::make_unique<AsioClock>(context);
}

} // namespace amaranthdale::clock
