// Authority policies; benchmarks/ownership_matrix.cpp compares them.
#include "amaranthdale/decisions/authority_policy.h"

#include <algorithm>

namespace amaranthdale::decisions {

std::optional<core::TimePoint> NamedSuccessorAuthority::authorityUntil(
        const AuthorityFacts &facts) const
{
    if (!facts.logReadBegan)
        return std::nullopt;
    const core::TimePoint byLog = *facts.logReadBegan + this->timings.logAuthority;
    if (facts.ownChangeOpen)
        return byLog;

    core::TimePoint byPromises = *facts.logReadBegan + this->timings.promiseLimit;
    for (const std::optional<core::TimePoint> &promise : facts.promisedUntil) {
        if (!promise)
            return byLog;
        byPromises = std::min(byPromises, *promise);
    }
    return std::max(byLog, byPromises);
}

// Longest time for which the former controller may still have authority. Unless the change was
// `abandoned`, promises to the former controller had expired when the record was appended.
core::Duration NamedSuccessorAuthority::formerAuthority(const TakeoverFacts &facts) const
{
    return facts.abandoned ? this->timings.promiseLimit : this->timings.logAuthority;
}

core::Duration NamedSuccessorAuthority::waitBeforeSending(const TakeoverFacts &facts) const
{
    if (facts.checksFence)
        return core::Duration::zero();
    return this->formerAuthority(facts) + facts.requestTimeout + this->timings.drift;
}

core::Duration NamedSuccessorAuthority::waitBeforeRelease(const TakeoverFacts &facts) const
{
    const core::Duration afterSending = facts.checksFence
            ? this->timings.lease
            : std::max(this->timings.lease, facts.requestTimeout);
    return this->formerAuthority(facts) + afterSending + this->timings.drift;
}

std::optional<core::TimePoint> LongWaitAuthority::authorityUntil(const AuthorityFacts &facts) const
{
    if (!facts.logReadBegan)
        return std::nullopt;
    return *facts.logReadBegan + this->wait;
}

core::Duration LongWaitAuthority::waitBeforeSending(const TakeoverFacts &facts) const
{
    if (facts.checksFence)
        return core::Duration::zero();
    return this->wait + facts.requestTimeout + this->timings.drift;
}

core::Duration LongWaitAuthority::waitBeforeRelease(const TakeoverFacts &facts) const
{
    const core::Duration afterSending = facts.checksFence
            ? this->timings.lease
            : std::max(this->timings.lease, facts.requestTimeout);
    return this->wait + afterSending + this->timings.drift;
}

} // namespace amaranthdale::decisions
