// Token bucket of an allocator's hedges.
#include "amaranthdale/hedging/pool_hedge_budget.h"

#include <algorithm>

namespace amaranthdale::hedging {

namespace {

// Retries use 0.75 of the shared limit. Of the other quarter, two allocators that don't know of
// each other need twice the burst but not twice the ratio (docs/design/hedging.md).
constexpr double ratioShare = 0.2;
constexpr double burstShare = 0.1;

} // namespace

SharedHedgeLimits shareOfRepeats(double hedgeRatio, double repeatRatio, double repeatReserve)
{
    return {std::min(hedgeRatio, ratioShare * repeatRatio), burstShare * repeatReserve};
}

void PoolHedgeBudget::setDataCentres(unsigned count)
{
    this->dataCentres = std::max(this->dataCentres, count);
    this->tokens = std::min(this->tokens, this->maxTokens());
}

void PoolHedgeBudget::onFirstAttempt(core::TimePoint now)
{
    if (now - this->lastAttemptAt > expiry)
        this->tokens = 0;
    this->lastAttemptAt = now;
    this->tokens = std::min(this->maxTokens(), this->tokens + this->limits.ratio);
}

bool PoolHedgeBudget::hasToken(core::TimePoint now) const
{
    return this->tokens >= 1 && now - this->lastAttemptAt <= expiry;
}

bool PoolHedgeBudget::tryTake(core::TimePoint now)
{
    if (!this->hasToken(now))
        return false;
    this->tokens -= 1;
    return true;
}

} // namespace amaranthdale::hedging
