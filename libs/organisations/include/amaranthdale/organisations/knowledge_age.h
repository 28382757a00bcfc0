// Age of what an instance knows of the configuration.
//
// A key that was withdrawn must not be accepted later than a bound after the store acknowledged its
// withdrawal, also by an instance that is cut off or was suspended. An instance can't know what it
// has not heard, but it knows as of when it has heard everything. Let `bound` be the time from the
// acknowledgement to the moment from which callers that still use the key must be refused. A
// request that was sent later is checked later still, so if the knowledge is younger than `bound`
// at the check, it includes the withdrawal.
#pragma once

#include "amaranthdale/core/types.h"

#include <atomic>
#include <optional>

namespace amaranthdale::organisations {

/// Time as of which the configuration was certainly the newest one. Times are those of
/// `Clock::uptime`, which counts suspension. Thread-safe.
class KnowledgeAge
{
public:
    /// Knowledge older than `maxKnowledgeAge` is outdated; zero: it never is.
    explicit KnowledgeAge(core::Duration maxKnowledgeAge) : maxAge(maxKnowledgeAge) { }

    /// Everything that was acknowledged before `asOf` is known. Earlier times change nothing.
    void confirm(core::TimePoint asOf);

    /// Age of the knowledge, or nothing if it has never been confirmed.
    std::optional<core::Duration> age(core::TimePoint now) const;

    /// False if something may have been withdrawn without this instance knowing.
    bool isCurrent(core::TimePoint now) const;

private:
    const core::Duration maxAge;
    std::atomic<core::TimePoint> confirmedAt{core::TimePoint::min()}; ///< Never decreases.
};

} // namespace amaranthdale::organisations
