// Authority policies; benchmarks/ownership_matrix.cpp compares them.
#include "amaranthdale/decisions/authority_policy.h"

#include <algorithm>

namespace amaranthdale::decisions {

std::optional<core::TimePoint> NamedSuccessorAuthority::authorityUntil(
        const AuthorityInputs &inputs) const
{
    if (!inputs.logReadStartedAt)
        return std::nullopt;
    const core::TimePoint byLog = *inputs.logReadStartedAt + this->timings.logAuthority;
    if (inputs.ownChangePending)
        return byLog;

    core::TimePoint byPromises = *inputs.logReadStartedAt + this->timings.maxPromiseAuthority;
    for (const std::optional<core::TimePoint> &promise : inputs.promisedUntil) {
        if (!promise)
            return byLog;
        byPromises = std::min(byPromises, *promise);
    }
    return std::max(byLog, byPromises);
}

// Longest time for which the former controller may still have authority. Unless the change was
// `abandoned`, promises to the former controller had expired when the record was appended.
core::Duration NamedSuccessorAuthority::maxFormerAuthority(const TakeoverInputs &inputs) const
{
    return inputs.abandoned ? this->timings.maxPromiseAuthority : this->timings.logAuthority;
}

core::Duration NamedSuccessorAuthority::waitBeforeSending(const TakeoverInputs &inputs) const
{
    if (inputs.checksFence)
        return core::Duration::zero();
    return this->maxFormerAuthority(inputs) + inputs.requestTimeout + this->timings.drift;
}

core::Duration NamedSuccessorAuthority::waitBeforeRelease(const TakeoverInputs &inputs) const
{
    const core::Duration afterSending = inputs.checksFence
            ? this->timings.lease
            : std::max(this->timings.lease, inputs.requestTimeout);
    return this->maxFormerAuthority(inputs) + afterSending + this->timings.drift;
}

std::optional<core::TimePoint> LongWaitAuthority::authorityUntil(
        const AuthorityInputs &inputs) const
{
    if (!inputs.logReadStartedAt)
        return std::nullopt;
    return *inputs.logReadStartedAt + this->authorityDuration;
}

core::Duration LongWaitAuthority::waitBeforeSending(const TakeoverInputs &inputs) const
{
    if (inputs.checksFence)
        return core::Duration::zero();
    return this->authorityDuration + inputs.requestTimeout + this->timings.drift;
}

core::Duration LongWaitAuthority::waitBeforeRelease(const TakeoverInputs &inputs) const
{
    const core::Duration afterSending = inputs.checksFence
            ? this->timings.lease
            : std::max(this->timings.lease, inputs.requestTimeout);
    return this->authorityDuration + afterSending + this->timings.drift;
}

} // namespace amaranthdale::decisions
