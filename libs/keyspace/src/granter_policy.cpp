// When a granter hands its role over, and when another instance takes it.
#include "amaranthdale/keyspace/granter_policy.h"

#include <algorithm>

namespace amaranthdale::keyspace {

bool TakeoverPolicy::permits(bool elected, const std::optional<core::InstanceId> &granter,
                             core::TimePoint now)
{
    const std::optional<core::InstanceId> target = elected ? granter : std::nullopt;
    if (target != this->electedAgainst) {
        this->electedAgainst = target;
        this->electedAt = now;
        this->nextQuery = now;
        this->keptUntil = {};
        this->answered = false;
    }
    if (!target)
        return elected;
    return now >= this->keptUntil
            && (this->answered || now >= this->electedAt + this->options.statusWait);
}

bool TakeoverPolicy::isQueryDue(core::TimePoint now)
{
    if (!this->electedAgainst || now < this->nextQuery)
        return false;
    this->nextQuery = now + this->options.statusInterval;
    return true;
}

void TakeoverPolicy::onStatus(const core::InstanceId &granter, std::optional<bool> keepsRole,
                              core::TimePoint now)
{
    if (this->electedAgainst != granter)
        return;
    this->answered = true;
    // A missing answer doesn't end what the last one said.
    if (keepsRole)
        this->keptUntil = *keepsRole ? now + this->options.statusLifetime : core::TimePoint();
}

void HandoverPolicy::onStoreCall(bool succeeded, core::TimePoint now)
{
    if (!succeeded) {
        ++this->failures;
        return;
    }
    this->failures = 0;
    this->lastSuccess = now;
    this->requestInterval = this->options.requestInterval;
    this->nextRequest = {};
}

void HandoverPolicy::setCandidate(bool isCandidate, core::TimePoint now)
{
    if (isCandidate)
        this->lastCandidate = now;
}

bool HandoverPolicy::reachesStore(core::TimePoint now) const
{
    return this->failures < this->options.maxStoreFailures
            && now - this->lastSuccess <= this->options.storeSilence;
}

bool HandoverPolicy::keepsRole(core::TimePoint now) const
{
    return !this->leaving && this->reachesStore(now)
            && now < this->lastCandidate + this->options.candidacyGrace;
}

bool HandoverPolicy::isRequestDue(core::TimePoint now)
{
    const bool wanted = this->leaving || !this->reachesStore(now);
    if (!wanted || now < this->nextRequest)
        return false;
    this->requestInterval =
            std::max(this->requestInterval, core::Duration(this->options.requestInterval));
    this->nextRequest = now + this->requestInterval;
    this->requestInterval = std::min(2 * this->requestInterval, this->options.maxRequestInterval);
    return true;
}

} // namespace amaranthdale::keyspace
