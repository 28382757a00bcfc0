// Limits retries to a share of the incoming requests.
#pragma once

#include "amaranthdale/core/types.h"

namespace amaranthdale::balance {

/// Retries that all instances together may send to one service.
struct RetryLimits
{
    double ratio = 0.1;  ///< Retries per request.
    double reserve = 40; ///< Additional retries in a window, divided by the number of instances.
};

/// Token bucket: requests add tokens, retries take them. Not thread-safe.
class RetryBudget
{
public:
    /// The bucket starts half full.
    RetryBudget(RetryLimits retryLimits, unsigned instances);

    /// Updates the number of instances that the reserve is divided by.
    void setInstances(unsigned instances);

    /// Adds the tokens of one request.
    void onRequest();

    /// Takes the token of one retry. Returns false if there is none.
    bool tryTake();

    double available() const { return this->tokens; }

    /// Capacity of the bucket.
    double capacity() const { return this->maxTokens; }

private:
    RetryLimits limits;
    double maxTokens; ///< Capacity of the bucket.
    double tokens;    ///< Invariant: at most `maxTokens`.
};

} // namespace amaranthdale::balance
