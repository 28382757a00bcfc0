// One instance of the router: the whole daemon but for its command line.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/daemon/settings.h"
#include "amaranthdale/log/event_log.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace amaranthdale::daemon {

/// Addresses that an instance listens on.
struct InstanceEndpoints
{
    core::Endpoint callers;
    core::Endpoint peers;
    core::Endpoint operators;
};

/// A running instance. Its work runs on the threads of the context it was started on.
class Instance
{
public:
    virtual ~Instance() = default;

    virtual InstanceEndpoints endpoints() const = 0;

    /// Planned stop: hands over what it controls, finishes what runs, leaves the platform's list,
    /// then calls `stopped`; at the latest after the settings' `drainLimit`.
    virtual void stop(std::function<void()> stopped) = 0;
};

/// Starts an instance. `context` and `log` must outlive it; destroy it only after the threads of
/// the context have ended. Fails with Unavailable when an address can't be bound.
core::Result<std::unique_ptr<Instance>> startInstance(boost::asio::io_context &context,
                                                      const Settings &settings, log::EventLog &log);

} // namespace amaranthdale::daemon
