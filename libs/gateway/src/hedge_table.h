// The hedging policy that all requests of a gateway share.
#pragma once

#include "amaranthdale/hedging/hedge_policy.h"
#include "amaranthdale/tables/guarded.h"

#include <utility>

namespace amaranthdale::gateway {

/// Guards the policy. May be locked while the balancers are, not the other way round.
class HedgeTable
{
public:
    explicit HedgeTable(double ratio) : policy(tables::LockRank::Requests, ratio) { }

    template<class Function>
    decltype(auto) with(Function &&function)
    {
        return this->policy.with(std::forward<Function>(function));
    }

private:
    tables::Guarded<hedging::HedgePolicy> policy;
};

} // namespace amaranthdale::gateway
