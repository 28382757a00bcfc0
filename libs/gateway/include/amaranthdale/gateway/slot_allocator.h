// Interface for the allocation of request slots at backend servers.
#pragma once

#include "amaranthdale/balance/slot_pool.h"

#include <functional>
#include <optional>
#include <string_view>

namespace amaranthdale::gateway {

/// Reasons of a `Refuse` for a hedge.
inline constexpr std::string_view hedgeBudgetUsed = "budget";
inline constexpr std::string_view hedgeNoFreeSlot = "no-slot";
inline constexpr std::string_view hedgeNotAssigned = "not-assigned"; ///< Or hedging is off there.

/// Allocates slots with knowledge of other instances' load on the backend servers. Thread-safe.
class SlotAllocator
{
public:
    virtual ~SlotAllocator() = default;

    /// Receives the decision, or nothing if the allocator can't be reached; the gateway then
    /// selects a server from its own observations.
    using Handler = std::function<void(balance::Ticket, std::optional<balance::SlotDecision>)>;

    /// Requests a slot. Calls `handler` once, never from within this call. `server` is the
    /// only one that may run the request, for services whose servers hold different keys. A demand
    /// with `hedgePool` is granted a free slot of that pool or refused, and never waits.
    virtual balance::Ticket request(const core::ServiceName &service, const balance::Demand &demand,
                                    const std::optional<core::ServerName> &server,
                                    Handler handler) = 0;

    /// Releases a slot or cancels the request for one. `elapsed` is the time from sending to the
    /// response.
    virtual void release(balance::Ticket ticket, balance::AttemptResult result,
                         core::Duration elapsed,
                         const std::optional<balance::LoadReport> &report) = 0;
};

} // namespace amaranthdale::gateway
