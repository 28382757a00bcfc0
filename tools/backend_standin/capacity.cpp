// Simulated warm-up and collapse under overload.
#include "backend_standin/capacity.h"

#include <algorithm>

namespace amaranthdale::tools {

namespace {

constexpr unsigned collapseSlowdown = 20;

} // namespace

Capacity::Capacity(const BackendSettings &backend, core::TimePoint now)
    : settings(backend), coldSince(now), collapsedUntil(now)
{ }

unsigned Capacity::limitAt(core::TimePoint now) const
{
    const core::Duration age = now - this->coldSince;
    if (age >= this->settings.warmUp)
        return this->settings.requestSlots;
    const double share = std::chrono::duration<double>(age) / this->settings.warmUp;
    const unsigned warmingSlots = this->settings.requestSlots - this->settings.coldSlots;
    return this->settings.coldSlots + static_cast<unsigned>(share * warmingSlots);
}

void Capacity::observe(unsigned running, core::TimePoint now)
{
    if (running <= this->limitAt(now))
        return;
    this->coldSince = now;
    this->collapsedUntil = now + this->settings.collapse;
}

unsigned Capacity::slowdownAt(core::TimePoint now) const
{
    return now < this->collapsedUntil ? collapseSlowdown : 1;
}

} // namespace amaranthdale::tools
