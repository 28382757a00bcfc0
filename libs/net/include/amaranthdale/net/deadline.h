// Timer for deadlines that are moved often and rarely expire.
#pragma once

#include "amaranthdale/net/socket.h"

#include <boost/asio/basic_waitable_timer.hpp>

#include <functional>
#include <memory>

namespace amaranthdale::net {

/// A movable deadline of an object that runs on a strand; may be used on that strand only.
/// Postponing it costs one clock read: the timer keeps running and is re-armed when it fires.
class Deadline
{
public:
    explicit Deadline(const Strand &strand) : timer(strand) { }

    /// Sets the expiry handler, which is not called once `expiryOwner` has been destroyed.
    void setExpiryHandler(std::weak_ptr<void> expiryOwner, std::function<void()> onExpiry);

    void setAfter(core::Duration duration);
    void setAt(core::TimePoint time);
    void clear() { this->expiry = core::TimePoint::max(); }

    /// Clears the deadline and cancels the timer, so that no wait stays queued.
    void stop();

    /// Current time on the clock of the timer.
    static core::TimePoint now();

private:
    using Timer = boost::asio::basic_waitable_timer<
            std::chrono::steady_clock, boost::asio::wait_traits<std::chrono::steady_clock>, Strand>;

    void armTimer();
    void onTimer();

    Timer timer;
    std::weak_ptr<void> owner;
    std::function<void()> expiryHandler;
    core::TimePoint expiry = core::TimePoint::max();
    // Expiry of the pending timer wait, max() when there is none. Invariant: at most `expiry`, or
    // `expiry` is max().
    core::TimePoint timerExpiry = core::TimePoint::max();
};

} // namespace amaranthdale::net
