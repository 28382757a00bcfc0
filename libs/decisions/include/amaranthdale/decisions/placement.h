// Chooses which instance controls a backend server and which server owns a slot.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/decisions/ownership_messages.h"

#include <optional>
#include <set>
#include <vector>

namespace amaranthdale::decisions {

/// Inputs of placement. Placement is deterministic: equal views give equal results.
struct PlacementView
{
    const ClusterState &state;
    std::vector<InstanceView> instances;    ///< Responsive and not leaving.
    std::set<core::ServerName> unreachable; ///< Not answering their controller.
};

/// Placement strategy. Implementations are stateless.
class Placement
{
public:
    virtual ~Placement() = default;

    /// Chooses controllers and successors for all servers that have no controller.
    virtual std::vector<ControllerRecord> chooseControllers(const PlacementView &view) const = 0;

    /// Chooses a server of `self` to hand over to a less loaded instance, if `self` is above the
    /// load bound and the move reduces the imbalance.
    virtual std::optional<ControllerRecord> chooseControllerMove(
            const PlacementView &view, const core::InstanceId &self) const = 0;

    /// Chooses at most two successors of `controller`. Usable instances in `keep` are preferred.
    virtual std::vector<core::InstanceId> chooseSuccessors(
            const PlacementView &view, const ServerState &server,
            const core::InstanceId &controller,
            const std::vector<core::InstanceId> &keep) const = 0;

    /// Chooses owners for the slots of the service that have none.
    virtual std::vector<SlotMove> assignUnownedSlots(const PlacementView &view,
                                                     const ServiceState &service) const = 0;

    /// Chooses new owners for all slots and hot keys of a server.
    virtual std::vector<SlotMove> evacuateServer(const PlacementView &view,
                                                 const ServiceState &service,
                                                 const core::ServerName &from) const = 0;

    /// Chooses new owners for up to `maxSlots` slots that a server owns above its share.
    virtual std::vector<SlotMove> rebalance(const PlacementView &view, const ServiceState &service,
                                            const core::ServerName &from,
                                            std::size_t maxSlots) const = 0;

    /// Chooses the least filled server other than `from` for a hot key; nothing if no other server
    /// is usable.
    virtual std::optional<core::ServerName> chooseHotKeyOwner(
            const PlacementView &view, const ServiceState &service,
            const core::ServerName &from) const = 0;
};

/// Rendezvous hashing with bounded load. The share of a server is proportional to its
/// `requestSlots`.
class RendezvousPlacement : public Placement
{
public:
    std::vector<ControllerRecord> chooseControllers(const PlacementView &view) const override;
    std::optional<ControllerRecord> chooseControllerMove(
            const PlacementView &view, const core::InstanceId &self) const override;
    std::vector<core::InstanceId> chooseSuccessors(
            const PlacementView &view, const ServerState &server,
            const core::InstanceId &controller,
            const std::vector<core::InstanceId> &keep) const override;
    std::vector<SlotMove> assignUnownedSlots(const PlacementView &view,
                                             const ServiceState &service) const override;
    std::vector<SlotMove> evacuateServer(const PlacementView &view, const ServiceState &service,
                                         const core::ServerName &from) const override;
    std::vector<SlotMove> rebalance(const PlacementView &view, const ServiceState &service,
                                    const core::ServerName &from,
                                    std::size_t maxSlots) const override;
    std::optional<core::ServerName> chooseHotKeyOwner(const PlacementView &view,
                                                      const ServiceState &service,
                                                      const core::ServerName &from) const override;
};

} // namespace amaranthdale::decisions
