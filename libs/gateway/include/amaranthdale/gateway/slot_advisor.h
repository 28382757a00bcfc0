// What the gateway asks for before it sends a request: a slot at a backend server.
#pragma once

#include "amaranthdale/balance/slot_pool.h"

#include <functional>
#include <optional>

namespace amaranthdale::gateway {

/// Knows the load of backend servers better than this instance alone does. Thread-safe.
class SlotAdvisor
{
public:
    virtual ~SlotAdvisor() = default;

    /// Nothing: the advisor can't be reached; the gateway decides by what it knows itself.
    using Handler = std::function<void(balance::Ticket, std::optional<balance::SlotDecision>)>;

    /// Asks for a slot. Calls `handler` once, never from inside this call. `server` names the
    /// only one that may run the request, where the service's servers differ in what they hold.
    virtual balance::Ticket request(const core::ServiceName &service, const balance::Demand &demand,
                                    const std::optional<core::ServerName> &server,
                                    Handler handler) = 0;

    /// Gives a slot back, or gives up waiting for one. `elapsed`: from sending to the response.
    virtual void release(balance::Ticket ticket, balance::AttemptResult result,
                         core::Duration elapsed,
                         const std::optional<balance::LoadReport> &report) = 0;
};

} // namespace amaranthdale::gateway
