// An instance of the router: the complete daemon except its command line.
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

/// Local endpoints of an instance's listeners.
struct InstanceEndpoints
{
    core::Endpoint callers;
    core::Endpoint peers;
    core::Endpoint operators;
};

/// A running instance. It runs on the threads of the context passed to `startInstance`.
class Instance
{
public:
    virtual ~Instance() = default;

    virtual InstanceEndpoints endpoints() const = 0;

    /// Planned stop: hands over the controlled servers, drains the requests in progress, removes
    /// the instance from the platform's list, then calls `stopped`. Waits for the handover and the
    /// requests no longer than the settings' `drainLimit`.
    virtual void stop(std::function<void()> stopped) = 0;
};

/// Starts an instance. `context` and `log` must outlive it, and it must be destroyed only after the
/// threads of the context have ended. Fails with Unavailable when an address can't be bound.
core::Result<std::unique_ptr<Instance>> startInstance(boost::asio::io_context &context,
                                                      const Settings &settings, log::EventLog &log);

} // namespace amaranthdale::daemon
