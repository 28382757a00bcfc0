// Lazy re-arming of a moving time limit.
#include "amaranthdale/net/deadline.h"

namespace amaranthdale::net {

void Deadline::start(std::weak_ptr<void> object, std::function<void()> onExpiry)
{
    this->owner = std::move(object);
    this->expire = std::move(onExpiry);
}

void Deadline::setAfter(core::Duration duration)
{
    this->setAt(now() + duration);
}

void Deadline::setAt(core::TimePoint time)
{
    this->dueAt = time;
    this->arm();
}

void Deadline::stop()
{
    this->clear();
    this->armedAt = core::TimePoint::max();
    this->timer.cancel();
}

core::TimePoint Deadline::now()
{
    return Timer::clock_type::now(); // The clock that the timer compares with.
}

void Deadline::arm()
{
    if (this->armedAt <= this->dueAt)
        return;
    this->armedAt = this->dueAt;
    this->timer.expires_at(this->dueAt);
    this->timer.async_wait([this, weak = this->owner](const ErrorCode &error) {
        if (error)
            return;
        if (const auto alive = weak.lock())
            this->onTimer();
    });
}

void Deadline::onTimer()
{
    // A wait that was replaced after it had fired sees the time of its successor here.
    if (now() < this->armedAt)
        return;
    this->armedAt = core::TimePoint::max();
    if (this->dueAt == core::TimePoint::max())
        return;
    if (now() < this->dueAt)
        return this->arm();
    this->clear();
    this->expire();
}

} // namespace amaranthdale::net
