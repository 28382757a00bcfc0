// Interface through which requests learn whether they may be sent, and report what became of them.
#pragma once

#include "amaranthdale/quarantine/crash_policy.h"

#include <optional>
#include <vector>

namespace amaranthdale::quarantine {

/// Keeps requests from servers that they would crash. Thread-safe.
class CrashGuard
{
public:
    virtual ~CrashGuard() = default;

    /// False while no request is suspected: `blockedFor` then returns nothing for any request, and
    /// `onAnswered` does nothing.
    virtual bool isWatching() const = 0;

    /// Time until a request may be sent again; nothing if it may be sent now.
    virtual std::optional<core::Duration> blockedFor(Fingerprint fingerprint) const = 0;

    /// The connection to a server was lost without a response to the request.
    virtual void onLost(Fingerprint fingerprint, const ServerRun &run) = 0;

    /// A server ran the request and responded.
    virtual void onAnswered(Fingerprint fingerprint) = 0;

    /// Runs of servers whose connections were lost: whether they have ended is to be reported.
    virtual std::vector<ServerRun> unconfirmed() = 0;

    /// A server has ended without having said that it would leave.
    virtual void onServerEnded(const ServerRun &run) = 0;

    /// A server leaves as planned.
    virtual void onServerLeft(const ServerRun &run) = 0;
};

} // namespace amaranthdale::quarantine
