// Token bucket of repeats.
#include "amaranthdale/balance/retry_budget.h"

#include <algorithm>

namespace amaranthdale::balance {

void RetryBudget::onRequest()
{
    this->tokens = std::min(this->limits.most, this->tokens + this->limits.ratio);
}

bool RetryBudget::take()
{
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

} // namespace amaranthdale::balance
