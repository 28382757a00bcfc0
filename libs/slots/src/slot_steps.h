// Pools that a slot is requested from, one after another.
#pragma once

#include "slot_pool_manager.h"

#include <vector>

namespace amaranthdale::slots {

/// A pool to request a slot from, and whether the request may be queued there.
struct Step
{
    PoolKey pool;
    bool mayWait = false;
};

/// The steps of a request from data centre `own`; the last one is tried first. `rotation` varies
/// the order of the `others`.
std::vector<Step> planSteps(const core::ServiceName &service,
                            const std::optional<core::ServerName> &server,
                            const balance::Demand &demand, const core::DataCentreName &own,
                            std::vector<core::DataCentreName> others, std::uint64_t rotation);

} // namespace amaranthdale::slots
