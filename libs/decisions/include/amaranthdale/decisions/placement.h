// Chooses which instance controls a backend server and which server owns a slot.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/decisions/ownership_messages.h"

#include <optional>
#include <set>
#include <vector>

namespace amaranthdale::decisions {

/// What placement decides on. Instances with the same view decide alike.
struct PlacementView
{
    const ClusterState &state;
    std::vector<InstanceView> instances;    ///< Those that respond and aren't leaving.
    std::set<core::ServerName> unreachable; ///< Servers that don't answer their controller.
};

/// The rules of placement. Implementations hold no state.
class Placement
{
public:
    virtual ~Placement() = default;

    /// Controllers and successors for all servers that have no controller.
    virtual std::vector<ControllerRecord> chooseControllers(const PlacementView &view) const = 0;

    /// A server that `self` controls and an instance that controls clearly fewer, if any.
    virtual std::optional<ControllerRecord> moveController(const PlacementView &view,
                                                           const core::InstanceId &self) const = 0;

    /// Successors of `controller`, at most two; those still in `keep` stay.
    virtual std::vector<core::InstanceId> chooseSuccessors(
            const PlacementView &view, const ServerState &server,
            const core::InstanceId &controller,
            const std::vector<core::InstanceId> &keep) const = 0;

    /// Owners for the slots of the service that have none.
    virtual std::vector<SlotMove> assignUnowned(const PlacementView &view,
                                                const ServiceState &service) const = 0;

    /// New owners for all slots and hot keys of a server.
    virtual std::vector<SlotMove> moveAway(const PlacementView &view, const ServiceState &service,
                                           const core::ServerName &from) const = 0;

    /// New owners for the slots that a server holds above its share, at most `most` of them.
    virtual std::vector<SlotMove> rebalance(const PlacementView &view, const ServiceState &service,
                                            const core::ServerName &from,
                                            std::size_t most) const = 0;

    /// Server with the least slots for a hot key of `from`; nothing when `from` is the best.
    virtual std::optional<core::ServerName> placeHotKey(const PlacementView &view,
                                                        const ServiceState &service,
                                                        const core::ServerName &from) const = 0;
};

/// Rendezvous hashing with bounded load; shares follow the servers' request slots.
class RendezvousPlacement : public Placement
{
public:
    std::vector<ControllerRecord> chooseControllers(const PlacementView &view) const override;
    std::optional<ControllerRecord> moveController(const PlacementView &view,
                                                   const core::InstanceId &self) const override;
    std::vector<core::InstanceId> chooseSuccessors(
            const PlacementView &view, const ServerState &server,
            const core::InstanceId &controller,
            const std::vector<core::InstanceId> &keep) const override;
    std::vector<SlotMove> assignUnowned(const PlacementView &view,
                                        const ServiceState &service) const override;
    std::vector<SlotMove> moveAway(const PlacementView &view, const ServiceState &service,
                                   const core::ServerName &from) const override;
    std::vector<SlotMove> rebalance(const PlacementView &view, const ServiceState &service,
                                    const core::ServerName &from, std::size_t most) const override;
    std::optional<core::ServerName> placeHotKey(const PlacementView &view,
                                                const ServiceState &service,
                                                const core::ServerName &from) const override;
};

} // namespace amaranthdale::decisions
