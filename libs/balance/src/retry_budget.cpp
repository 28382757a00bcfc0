// Token bucket of repeats.
#include "amaranthdale/balance/retry_budget.h"

#include <algorithm>

namespace amaranthdale::balance {

namespace {

// Below one, no repeat could ever be saved up.
constexpr double leastKept = 1;

double keptShare(const RetryLimits &limits, unsigned instances)
{
    return std::max(leastKept, limits.reserve / std::max(1U, instances));
}

} // namespace

RetryBudget::RetryBudget(RetryLimits retryLimits, unsigned instances)
    : limits(retryLimits), most(keptShare(retryLimits, instances)), tokens(this->most / 2)
{ }

void RetryBudget::setInstances(unsigned instances)
{
    this->most = keptShare(this->limits, instances);
    this->tokens = std::min(this->tokens, this->most);
}

void RetryBudget::onRequest()
{
    this->tokens = std::min(this->most, this->tokens + this->limits.ratio);
}

bool RetryBudget::take()
{
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

} // namespace amaranthdale::balance
