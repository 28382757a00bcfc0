// Order of the pools that a slot is requested from.
#include "slot_steps.h"

namespace amaranthdale::slots {

// A server that owns keys has a pool of its own, and a hedge may use one pool only. Otherwise: a
// free slot in the local data centre, then a free slot in another one, then the queue of the local
// one.
std::vector<Step> planSteps(const core::ServiceName &service,
                            const std::optional<core::ServerName> &server,
                            const balance::Demand &demand, const core::DataCentreName &own,
                            std::vector<core::DataCentreName> others, std::uint64_t rotation)
{
    if (server)
        return {Step{PoolKey{service, server, {}}, true}};
    if (demand.hedgePool)
        return {Step{PoolKey{service, std::nullopt, *demand.hedgePool}, false}};
    std::erase(others, own);
    std::vector<Step> steps{Step{PoolKey{service, std::nullopt, own}, true}};
    for (std::size_t index = 0; index < others.size(); ++index) {
        const auto &other = others[(index + rotation) % others.size()];
        steps.push_back(Step{PoolKey{service, std::nullopt, other}, false});
    }
    if (!others.empty())
        steps.push_back(Step{PoolKey{service, std::nullopt, own}, false});
    return steps;
}

} // namespace amaranthdale::slots
