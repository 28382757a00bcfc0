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

/// A controller of a backend server with its successors in order of preference.
struct ControllerChoice
{
    core::InstanceId controller;
    std::vector<core::InstanceId> successors;
};

/// The rules of placement. Implementations hold no state.
class Placement
{
public:
    virtual ~Placement() = default;

    /// Controller and successors for a server that has none; nothing without instances.
    virtual std::optional<ControllerChoice> chooseController(const PlacementView &view,
                                                             const ServerState &server) const = 0;

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
    std::optional<ControllerChoice> chooseController(const PlacementView &view,
                                                     const ServerState &server) const override;
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
