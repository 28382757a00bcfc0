// Token bucket of retries.
#include "amaranthdale/balance/retry_budget.h"

#include <algorithm>

namespace amaranthdale::balance {

namespace {

// A bucket of less than one token would never allow a retry.
constexpr double minBurst = 1;

double maxTokensFor(const RetryLimits &limits, unsigned instances)
{
    return std::max(minBurst, limits.reserve / std::max(1U, instances));
}

} // namespace

RetryBudget::RetryBudget(RetryLimits retryLimits, unsigned instances)
    : limits(retryLimits), maxTokens(maxTokensFor(retryLimits, instances)),
      tokens(this->maxTokens / 2)
{ }

void RetryBudget::setInstances(unsigned instances)
{
    this->maxTokens = maxTokensFor(this->limits, instances);
    this->tokens = std::min(this->tokens, this->maxTokens);
}

void RetryBudget::onRequest()
{
    this->tokens = std::min(this->maxTokens, this->tokens + this->limits.ratio);
}

bool RetryBudget::tryTake()
{
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

} // namespace amaranthdale::balance
