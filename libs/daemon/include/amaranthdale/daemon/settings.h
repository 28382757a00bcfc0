// Settings of one instance, checked as a whole before anything starts.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/log/event_log.h"
#include "amaranthdale/records/fault.h"

#include <string>
#include <string_view>

namespace amaranthdale::daemon {

/// Times of the ownership protocol, section 3.2 of the design page. They must be the same on all
/// instances: an instance waits out the lease and the authority of others by its own values.
struct Timings
{
    core::Duration lease = std::chrono::milliseconds(300);
    core::Duration renewal = std::chrono::milliseconds(100);
    core::Duration heartbeat = std::chrono::milliseconds(100);
    core::Duration promise = std::chrono::milliseconds(300);
    core::Duration authority =
            std::chrono::milliseconds(200);               ///< A read of the log counts so long.
    core::Duration drift = std::chrono::milliseconds(20); ///< Bound on clock drift in a lease.
    core::Duration drainLimit = std::chrono::seconds(30); ///< For the requests of a planned stop.

    bool operator==(const Timings &) const = default;
};

/// Settings of one instance.
struct Settings
{
    core::InstanceName instance;
    core::DataCentreName dataCentre;
    core::Endpoint callerListen;
    core::Endpoint peerListen; ///< Announced to other instances, so no wildcard address.
    core::Endpoint operatorListen;
    core::Endpoint logService;
    std::string logStream = "amaranthdale";
    core::Endpoint instanceList;
    unsigned workers = 4;
    Timings timings;
    log::Severity logLevel = log::Severity::Info;

    bool operator==(const Settings &) const = default;
};

/// Reads and checks settings in JSON; lists every fault with its path and remedy.
records::Checked<Settings> parseSettings(std::string_view text);

} // namespace amaranthdale::daemon
