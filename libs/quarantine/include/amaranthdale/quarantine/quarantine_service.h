// Quarantine of requests that crash backend servers: what one instance knows, and what it tells the
// others.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/log/event_log.h"
#include "amaranthdale/membership/members.h"
#include "amaranthdale/quarantine/crash_guard.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace amaranthdale::quarantine {

/// What the service needs of its surroundings. Thread-safe.
class CrashChannel
{
public:
    virtual ~CrashChannel() = default;

    /// Sends a datagram without blocking. It may be lost, delayed or duplicated.
    virtual void send(const core::Endpoint &to, const std::string &message) = 0;
};

/// The instances count crashes together, since each copy of a request may come to another one. The
/// instance that lost a connection tells all others when the registry has confirmed the end of the
/// server, and when it blocks a request. While a request is blocked, each instance tells one other
/// at a time, so that new instances and those that lost a message know too. Nothing is stored.
/// Without a suspected request it sends no message and runs no timer. Thread-safe.
class QuarantineService : public CrashGuard
{
public:
    /// Handles a datagram for which `isCrashMessage` is true.
    virtual void onMessage(std::string_view bytes) = 0;

    /// Calls `onBlocked` after a request has been blocked. To be set before the first request.
    virtual void setBlockListener(std::function<void()> onBlocked) = 0;
};

/// `clock`, `members`, `channel` and `events` must outlive the service.
std::shared_ptr<QuarantineService> makeQuarantineService(clock::Clock &clock,
                                                         membership::Members &members,
                                                         CrashChannel &channel,
                                                         log::EventLog &events,
                                                         CrashPolicyOptions options = {});

} // namespace amaranthdale::quarantine
