// A time limit that moves often and rarely expires.
#pragma once

#include "amaranthdale/net/socket.h"

#include <boost/asio/basic_waitable_timer.hpp>

#include <functional>
#include <memory>

namespace amaranthdale::net {

/// One movable time limit of an object that lives on a strand; used only on that strand.
/// Moving the limit later costs one clock read: the timer runs on and is set anew when it fires.
class Deadline
{
public:
    explicit Deadline(const Strand &strand) : timer(strand) { }

    /// Names the object that `onExpiry` belongs to; no call is made after its end.
    void start(std::weak_ptr<void> object, std::function<void()> onExpiry);

    void setAfter(core::Duration duration);
    void setAt(core::TimePoint time);
    void clear() { this->dueAt = core::TimePoint::max(); }

    /// Clears the limit and ends the wait, so that nothing of the timer remains queued.
    void stop();

    static core::TimePoint now();

private:
    using Timer = boost::asio::basic_waitable_timer<
            std::chrono::steady_clock, boost::asio::wait_traits<std::chrono::steady_clock>, Strand>;

    void arm();
    void onTimer();

    Timer timer;
    std::weak_ptr<void> owner;
    std::function<void()> expire;
    core::TimePoint dueAt = core::TimePoint::max();
    // Time that the timer waits for, max() when it doesn't wait. Invariant: at most dueAt, or dueAt
    // is max().
    core::TimePoint armedAt = core::TimePoint::max();
};

} // namespace amaranthdale::net
