// Whether a pool is short of capacity.
#pragma once

#include "amaranthdale/core/types.h"

namespace amaranthdale::admission {

/// A pool is short from the moment at which a request can't be expected in time, until none has
/// been for the hold time. Not thread-safe.
class Shortage
{
public:
    explicit Shortage(core::Duration holdTime) : hold(holdTime) { }

    /// Reports a request that can't be expected within its target latency.
    void onLateRequest(core::TimePoint now) { this->until = now + this->hold; }

    bool isOver(core::TimePoint now) const { return now >= this->until; }

private:
    core::Duration hold;
    core::TimePoint until{};
};

} // namespace amaranthdale::admission
