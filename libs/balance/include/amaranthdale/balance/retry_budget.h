// Bounds how many requests are sent again, as a share of the requests that arrive.
#pragma once

#include "amaranthdale/core/types.h"

namespace amaranthdale::balance {

/// What all instances together may send again to one service.
struct RetryLimits
{
    double ratio = 0.1;  ///< Repeats for each request.
    double reserve = 40; ///< Repeats in a window besides, divided by the number of instances.
};

/// A token bucket that requests fill and repeats empty. Not thread-safe.
class RetryBudget
{
public:
    /// Starts with half of the most that is kept for later.
    RetryBudget(RetryLimits retryLimits, unsigned instances);

    /// Divides the reserve by another number of instances.
    void setInstances(unsigned instances);

    void onRequest();

    /// Takes one repeat. False when none is left.
    bool take();

    double left() const { return this->tokens; }

private:
    RetryLimits limits;
    double most;   ///< Unused repeats kept for later.
    double tokens; ///< Invariant: at most `most`.
};

} // namespace amaranthdale::balance
