// Bounds how many requests are sent again, as a share of the requests that arrive.
#pragma once

#include "amaranthdale/core/types.h"

namespace amaranthdale::balance {

/// What all instances together may send again to one service.
struct RetryLimits
{
    double ratio = 0.1; ///< Repeats for each request.
    double burst = 3;   ///< Repeats of this instance that need no requests before them.
    double most = 12;   ///< Unused repeats kept for later.
};

/// A token bucket that requests fill and repeats empty. Not thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(RetryLimits retryLimits) : limits(retryLimits), tokens(retryLimits.burst)
    { }

    void onRequest();

    /// Takes one repeat. False when none is left.
    bool take();

    double left() const { return this->tokens; }

private:
    RetryLimits limits;
    double tokens;
};

} // namespace amaranthdale::balance
