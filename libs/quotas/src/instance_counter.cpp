// The count while the list of members is new.
#include "instance_counter.h"

#include "amaranthdale/membership/members.h"

#include <algorithm>
#include <utility>

namespace amaranthdale::quotas {

namespace {

constexpr core::Duration listSettleTime = std::chrono::seconds(1);
constexpr unsigned unsettledFactor = 2;

} // namespace

bool InstanceCounter::isSettled(core::TimePoint now)
{
    if (!this->listedSince)
        this->listedSince = now;
    return now - *this->listedSince > membership::MembersLimits().countSettleTime;
}

unsigned InstanceCounter::count(unsigned listed, unsigned count, core::TimePoint now)
{
    if (this->isSettled(now))
        return count;
    if (std::exchange(this->lastListed, listed) != listed)
        this->changedAt = now;
    const bool unchanged = now - this->changedAt >= listSettleTime;
    return std::min(count, unchanged ? listed : unsettledFactor * listed);
}

} // namespace amaranthdale::quotas
