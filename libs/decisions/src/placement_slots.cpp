// Placement of slots and hot keys on the backend servers of one service.
#include "amaranthdale/decisions/placement.h"

#include "rendezvous.h"

#include <algorithm>
#include <functional>
#include <map>

namespace amaranthdale::decisions {

namespace {

// Number of slots that a server owns, and its weighted share of the service's slots.
struct Share
{
    std::size_t owned = 0;
    double target = 0;

    bool isBelowCeiling() const { return static_cast<double>(this->owned) < this->target; }
    bool isBelowFloor() const { return static_cast<double>(this->owned) + 1 <= this->target; }
    bool isAboveCeiling() const { return static_cast<double>(this->owned) >= this->target + 1; }
    double fillRatio() const
    {
        return static_cast<double>(this->owned) / std::max(this->target, 1e-9);
    }
};

using Shares = std::map<core::ServerName, Share>;

Shares computeShares(const PlacementView &view, const ServiceState &service,
                     const core::ServerName &except)
{
    Shares shares;
    double weights = 0;
    for (const BackendServer &server : service.document.servers) {
        const bool usable = view.state.acceptsSlots(server.name)
                && !view.unreachable.contains(server.name) && server.name != except;
        if (!usable)
            continue;
        shares[server.name].target = std::max(1U, server.requestSlots);
        weights += shares[server.name].target;
    }
    for (auto &[name, share] : shares)
        share.target *= static_cast<double>(service.slots.size()) / weights;
    for (const SlotOwner &owner : service.slots) {
        const auto found = shares.find(owner.server);
        if (found != shares.end())
            ++found->second.owned;
    }
    return shares;
}

// The server with the highest rendezvous weight among those whose share satisfies `condition`.
template<class Condition>
core::ServerName highestRanked(const Shares &shares, const std::string &entity, Condition condition)
{
    core::ServerName best;
    std::uint64_t bestWeight = 0;
    for (const auto &[name, share] : shares) {
        const std::uint64_t weight = rendezvousWeight(entity, name.value);
        if (condition(share) && (best.empty() || weight > bestWeight)) {
            best = name;
            bestWeight = weight;
        }
    }
    return best;
}

// Fills every server to the integer part of its share before any receives one more slot. Slots
// beyond all shares go to the server with the lowest fill ratio.
core::ServerName chooseReceiver(const Shares &shares, const ServiceState &service,
                                core::SlotIndex slot)
{
    if (shares.empty())
        return {};
    const std::string entity = service.document.service.value + "/" + std::to_string(slot);
    core::ServerName best = highestRanked(shares, entity, std::mem_fn(&Share::isBelowFloor));
    if (best.empty())
        best = highestRanked(shares, entity, std::mem_fn(&Share::isBelowCeiling));
    if (!best.empty())
        return best;
    return std::min_element(shares.begin(), shares.end(),
                            [](const auto &x, const auto &y) {
                                return x.second.fillRatio() < y.second.fillRatio();
                            })
            ->first;
}

void addSlot(std::vector<SlotMove> &moves, const core::ServerName &to, core::SlotIndex slot)
{
    const auto found = std::find_if(moves.begin(), moves.end(),
                                    [&to](const SlotMove &move) { return move.to == to; });
    if (found == moves.end())
        moves.push_back(SlotMove{to, {slot}, {}});
    else
        found->slots.push_back(slot);
}

// Assigns every slot that `from` owns to other servers; an empty name means unowned slots.
std::vector<SlotMove> distribute(const PlacementView &view, const ServiceState &service,
                                 const core::ServerName &from)
{
    std::vector<SlotMove> moves;
    Shares shares = computeShares(view, service, from);
    for (core::SlotIndex slot = 0; slot < service.slots.size(); ++slot) {
        if (service.slots[slot].server != from)
            continue;
        const core::ServerName to = chooseReceiver(shares, service, slot);
        if (to.empty())
            return {};
        ++shares[to].owned;
        addSlot(moves, to, slot);
    }
    return moves;
}

} // namespace

std::vector<SlotMove> RendezvousPlacement::assignUnownedSlots(const PlacementView &view,
                                                              const ServiceState &service) const
{
    return distribute(view, service, core::ServerName());
}

std::vector<SlotMove> RendezvousPlacement::evacuateServer(const PlacementView &view,
                                                          const ServiceState &service,
                                                          const core::ServerName &from) const
{
    std::vector<SlotMove> moves = distribute(view, service, from);
    const std::optional<core::ServerName> keyTarget = this->chooseHotKeyOwner(view, service, from);
    for (const auto &[key, owner] : service.hotKeys) {
        if (owner.server == from && keyTarget)
            moves.push_back(SlotMove{*keyTarget, {}, {key}});
    }
    return moves;
}

// Plans the moves of all servers and returns those of `from`, so that controllers that decide on
// the same state don't overfill one receiver.
std::vector<SlotMove> RendezvousPlacement::rebalance(const PlacementView &view,
                                                     const ServiceState &service,
                                                     const core::ServerName &from,
                                                     std::size_t maxSlots) const
{
    std::vector<SlotMove> moves;
    Shares shares = computeShares(view, service, core::ServerName());
    std::size_t chosen = 0;
    for (core::SlotIndex slot = 0; slot < service.slots.size() && chosen < maxSlots; ++slot) {
        const core::ServerName &owner = service.slots[slot].server;
        const auto source = shares.find(owner);
        if (source == shares.end() || !source->second.isAboveCeiling())
            continue;
        Shares underfilled = shares;
        std::erase_if(underfilled, [](const auto &entry) { return !entry.second.isBelowFloor(); });
        const core::ServerName to = chooseReceiver(underfilled, service, slot);
        if (to.empty())
            break;
        --source->second.owned;
        ++shares[to].owned;
        if (owner == from) {
            addSlot(moves, to, slot);
            ++chosen;
        }
    }
    return moves;
}

std::optional<core::ServerName> RendezvousPlacement::chooseHotKeyOwner(
        const PlacementView &view, const ServiceState &service, const core::ServerName &from) const
{
    Shares shares = computeShares(view, service, from);
    if (shares.empty())
        return std::nullopt;
    for (const auto &[key, owner] : service.hotKeys) {
        const auto found = shares.find(owner.server);
        // A hot key counts as a tenth of a server's slots.
        if (found != shares.end())
            found->second.owned += static_cast<std::size_t>(found->second.target / 10) + 1;
    }
    return std::min_element(shares.begin(), shares.end(),
                            [](const auto &a, const auto &b) {
                                return a.second.fillRatio() < b.second.fillRatio();
                            })
            ->first;
}

} // namespace amaranthdale::decisions
