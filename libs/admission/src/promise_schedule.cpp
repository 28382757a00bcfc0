// Implementation of the ledger of promised returns.
#include "promise_schedule.h"

#include <algorithm>

namespace amaranthdale::admission {

namespace {

// Callers and networks delay a return by some milliseconds; after this time it is not expected.
constexpr auto returnTolerance = std::chrono::milliseconds(200);

} // namespace

core::Duration PromiseSchedule::book(core::Duration earliest, core::Duration interval,
                                     core::Duration honoured, const AdmissionOptions &options,
                                     core::TimePoint now)
{
    const core::TimePoint first = now + earliest;
    const core::TimePoint next =
            this->promised.empty() ? first : std::max(first, this->promised.back() + interval);
    const core::Duration delay = next - now;
    if (delay <= std::min(honoured, options.promiseHorizon)
        && this->promised.size() < options.maxPromises) {
        this->promised.push_back(next);
        return delay;
    }
    // Spreads the callers without a promise over the time after the promised ones.
    core::TimePoint named = std::max(next, this->lastUnpromised + interval);
    if (named - now > 2 * options.promiseHorizon)
        named = std::min(next, now + options.promiseHorizon);
    this->lastUnpromised = named;
    return named - now;
}

bool PromiseSchedule::takeDue(core::TimePoint now)
{
    while (!this->promised.empty() && this->promised.front() + returnTolerance < now)
        this->promised.pop_front();
    if (this->promised.empty() || this->promised.front() > now)
        return false;
    this->promised.pop_front();
    return true;
}

std::size_t PromiseSchedule::openUntil(core::TimePoint now, core::TimePoint until) const
{
    const auto first =
            std::lower_bound(this->promised.begin(), this->promised.end(), now - returnTolerance);
    const auto last = std::upper_bound(first, this->promised.end(), until);
    return static_cast<std::size_t>(last - first);
}

} // namespace amaranthdale::admission
