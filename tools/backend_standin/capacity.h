// What the stand-in can sustain: a linear warm-up, and a collapse when it is overloaded while cold.
#pragma once

#include "backend_standin/settings.h"

namespace amaranthdale::tools {

class Capacity
{
public:
    Capacity(const BackendSettings &settings, core::TimePoint now);

    /// Requests that can run at once without a collapse; all request slots once warm.
    unsigned limitAt(core::TimePoint now) const;

    /// Notes that `running` requests run. Above the limit, service times grow by a factor of 20 for
    /// the collapse time and the warm-up begins again.
    void observe(unsigned running, core::TimePoint now);

    /// Begins the warm-up again.
    void turnCold(core::TimePoint now) { this->coldSince = now; }

    unsigned slowdownAt(core::TimePoint now) const;

private:
    const BackendSettings &settings;
    core::TimePoint coldSince;
    core::TimePoint collapsedUntil;
};

} // namespace amaranthdale::tools
