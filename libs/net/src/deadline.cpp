// Deadline with lazy re-arming of its timer.
#include "amaranthdale/net/deadline.h"

namespace amaranthdale::net {

void Deadline::setExpiryHandler(std::weak_ptr<void> expiryOwner, std::function<void()> onExpiry)
{
    this->owner = std::move(expiryOwner);
    this->expiryHandler = std::move(onExpiry);
}

void Deadline::setAfter(core::Duration duration)
{
    this->setAt(now() + duration);
}

void Deadline::setAt(core::TimePoint time)
{
    this->expiry = time;
    this->armTimer();
}

void Deadline::stop()
{
    this->clear();
    this->timerExpiry = core::TimePoint::max();
    this->timer.cancel();
}

core::TimePoint Deadline::now()
{
    return Timer::clock_type::now();
}

void Deadline::armTimer()
{
    if (this->timerExpiry <= this->expiry)
        return;
    this->timerExpiry = this->expiry;
    this->timer.expires_at(this->expiry);
    this->timer.async_wait([this, weak = this->owner](const ErrorCode &error) {
        if (error)
            return;
        if (const auto alive = weak.lock())
            this->onTimer();
    });
}

void Deadline::onTimer()
{
    // The handler of a replaced wait can already be queued; `timerExpiry` then belongs to the new
    // wait.
    if (now() < this->timerExpiry)
        return;
    this->timerExpiry = core::TimePoint::max();
    if (this->expiry == core::TimePoint::max())
        return;
    if (now() < this->expiry)
        return this->armTimer();
    this->clear();
    this->expiryHandler();
}

} // namespace amaranthdale::net
