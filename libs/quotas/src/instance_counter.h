// Number of instances that quotas are divided by.
#pragma once

#include "amaranthdale/core/types.h"

#include <optional>

namespace amaranthdale::quotas {

/// Uses the count of the list of members from the start on: until that count has settled, it is the
/// size of the largest deployment, which would leave a twentieth of each quota to 73 instances.
/// Until the first list has not changed for a second, quotas are divided by twice the number of
/// listed instances, so that two groups of instances that don't know each other yet stay within the
/// limits together. Times are those of `Clock::uptime`. Not thread-safe.
class InstanceCounter
{
public:
    /// True if `count` would return the count of the list of members. To be called first when there
    /// is a list.
    bool isSettled(core::TimePoint now);

    /// `listed` is the number of listed instances, `count` that of `Members::count`.
    unsigned count(unsigned listed, unsigned count, core::TimePoint now);

private:
    std::optional<core::TimePoint> listedSince;
    unsigned lastListed = 0;
    core::TimePoint changedAt{};
};

} // namespace amaranthdale::quotas
