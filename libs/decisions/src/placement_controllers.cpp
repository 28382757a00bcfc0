// Placement of controllers and their successors.
#include "amaranthdale/decisions/placement.h"

#include "rendezvous.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace amaranthdale::decisions {

namespace {

constexpr std::size_t successorsPerServer = 2;

using ControllerCounts = std::map<core::InstanceId, std::size_t>;

ControllerCounts countControlled(const PlacementView &view)
{
    ControllerCounts counts;
    for (const InstanceView &instance : view.instances)
        counts[instance.id] = 0;
    for (const auto &[name, server] : view.state.servers()) {
        if (server.controller && counts.contains(server.controller->instance))
            ++counts[server.controller->instance];
    }
    return counts;
}

// Bounded load: 1.25 times the mean, rounded up. Among instances in equally suitable data centres,
// one at the bound receives no server while another is below it.
std::size_t loadBound(const PlacementView &view)
{
    const std::size_t servers = view.state.servers().size();
    const std::size_t instances = std::max<std::size_t>(1, view.instances.size());
    return (servers * 5 + instances * 4 - 1) / (instances * 4);
}

const InstanceView *bestController(const PlacementView &view, const ServerState &server,
                                   const ControllerCounts &counts)
{
    const std::size_t bound = loadBound(view);
    const auto rank = [&](const InstanceView &instance) {
        const bool inOtherDataCentre = instance.dataCentre != server.spec.dataCentre;
        const bool inService = !view.state.isDrained(instance.dataCentre);
        const bool isBelowBound = counts.at(instance.id) < bound;
        return std::tuple(inService, inOtherDataCentre, isBelowBound,
                          rendezvousWeight(server.spec.name.value, instance.id.name.value));
    };
    const auto best = std::max_element(
            view.instances.begin(), view.instances.end(),
            [&](const InstanceView &a, const InstanceView &b) { return rank(a) < rank(b); });
    return best == view.instances.end() ? nullptr : &*best;
}

core::DataCentreName dataCentreOf(const PlacementView &view, const core::InstanceId &id)
{
    for (const InstanceView &instance : view.instances) {
        if (instance.id == id)
            return instance.dataCentre;
    }
    return {};
}

} // namespace

std::vector<ControllerRecord> RendezvousPlacement::chooseControllers(
        const PlacementView &view) const
{
    std::vector<ControllerRecord> result;
    ControllerCounts counts = countControlled(view);
    for (const auto &[name, server] : view.state.servers()) {
        if (server.controller)
            continue;
        const InstanceView *best = bestController(view, server, counts);
        if (!best)
            break;
        ++counts[best->id];
        result.push_back({name, best->id, this->chooseSuccessors(view, server, best->id, {})});
    }
    return result;
}

std::vector<core::InstanceId> RendezvousPlacement::chooseSuccessors(
        const PlacementView &view, const ServerState &server, const core::InstanceId &controller,
        const std::vector<core::InstanceId> &keep) const
{
    const core::DataCentreName own = dataCentreOf(view, controller);
    const auto rank = [&](const InstanceView &instance) {
        const bool kept = std::find(keep.begin(), keep.end(), instance.id) != keep.end();
        return std::tuple(kept, !view.state.isDrained(instance.dataCentre),
                          instance.dataCentre != own, instance.dataCentre != server.spec.dataCentre,
                          rendezvousWeight(server.spec.name.value, instance.id.name.value));
    };
    std::vector<InstanceView> candidates = view.instances;
    std::erase_if(candidates, [&](const InstanceView &each) { return each.id == controller; });
    std::sort(candidates.begin(), candidates.end(),
              [&](const InstanceView &a, const InstanceView &b) { return rank(a) > rank(b); });
    std::vector<core::InstanceId> result;
    for (const InstanceView &candidate : candidates) {
        if (result.size() < successorsPerServer)
            result.push_back(candidate.id);
    }
    return result;
}

std::optional<ControllerRecord> RendezvousPlacement::chooseControllerMove(
        const PlacementView &view, const core::InstanceId &self) const
{
    const ControllerCounts counts = countControlled(view);
    const auto own = counts.find(self);
    if (own == counts.end() || own->second <= loadBound(view))
        return std::nullopt;
    for (const auto &[name, server] : view.state.servers()) {
        if (!server.controller || server.controller->instance != self)
            continue;
        const InstanceView *best = bestController(view, server, counts);
        if (best && best->id != self && counts.at(best->id) + 1 < own->second)
            return ControllerRecord{name, best->id,
                                    this->chooseSuccessors(view, server, best->id, {})};
    }
    return std::nullopt;
}

} // namespace amaranthdale::decisions
