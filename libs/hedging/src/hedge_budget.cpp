// Token bucket of hedges.
#include "amaranthdale/hedging/hedge_budget.h"

#include <algorithm>

namespace amaranthdale::hedging {

namespace {

// A bucket of less than one token would never allow a hedge.
constexpr double minTokens = 1;

} // namespace

HedgeBudget::HedgeBudget(double ratio, double burst, unsigned instances)
    : hedgesPerRequest(ratio), totalBurst(burst)
{
    this->setInstances(instances);
}

void HedgeBudget::setInstances(unsigned instances)
{
    this->maxTokens = std::max(minTokens, this->totalBurst / std::max(1U, instances));
    this->tokens = std::min(this->tokens, this->maxTokens);
}

void HedgeBudget::onRequest()
{
    this->tokens = std::min(this->maxTokens, this->tokens + this->hedgesPerRequest);
}

bool HedgeBudget::tryTake()
{
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

} // namespace amaranthdale::hedging
