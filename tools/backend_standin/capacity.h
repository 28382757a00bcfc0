// Simulated capacity: a linear warm-up, and a collapse on overload while cold.
#pragma once

#include "backend_standin/settings.h"

namespace amaranthdale::tools {

class Capacity
{
public:
    Capacity(const BackendSettings &settings, core::TimePoint now);

    /// Number of concurrent requests above which capacity collapses; all request slots once warm.
    unsigned limitAt(core::TimePoint now) const;

    /// Records that `running` requests are in progress. Above the limit, service times grow by a
    /// factor of 20 for the collapse time and the warm-up restarts.
    void observe(unsigned running, core::TimePoint now);

    void restartWarmUp(core::TimePoint now) { this->coldSince = now; }

    unsigned slowdownAt(core::TimePoint now) const;

private:
    const BackendSettings &settings;
    core::TimePoint coldSince;
    core::TimePoint collapsedUntil;
};

} // namespace amaranthdale::tools
