// Settings of an instance, validated as a whole before it starts.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/log/event_log.h"
#include "amaranthdale/records/fault.h"

#include <string>
#include <string_view>

namespace amaranthdale::daemon {

/// Timings of the ownership protocol; see section 3.2 of the design page. They must be the same on
/// all instances, since an instance waits for the lease and authority of others to expire according
/// to its own values.
struct Timings
{
    core::Duration lease = std::chrono::milliseconds(300);
    core::Duration renewal = std::chrono::milliseconds(100);
    core::Duration heartbeat = std::chrono::milliseconds(100);
    core::Duration promise = std::chrono::milliseconds(300);
    core::Duration authority = std::chrono::milliseconds(200); ///< Validity of a read of the log.
    core::Duration drift = std::chrono::milliseconds(20); ///< Bound on clock drift during a lease.
    core::Duration drainLimit = std::chrono::seconds(30); ///< Longest drain of a planned stop.

    bool operator==(const Timings &) const = default;
};

/// Settings of one instance.
struct Settings
{
    core::InstanceName instance;
    core::DataCentreName dataCentre;
    core::Endpoint callerListen;
    core::Endpoint peerListen; ///< Announced to other instances; must not be a wildcard address.
    core::Endpoint operatorListen;
    core::Endpoint logService;
    std::string logStream = "amaranthdale";
    core::Endpoint instanceList;
    unsigned workers = 4;
    Timings timings;
    log::Severity logLevel = log::Severity::Info;

    bool operator==(const Settings &) const = default;
};

/// Parses and validates JSON settings. Reports all faults at once, each with its path and a remedy.
records::ValidationResult<Settings> parseSettings(std::string_view text);

} // namespace amaranthdale::daemon
