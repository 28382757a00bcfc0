// Limits hedged requests to a share of a route's requests.
#pragma once

namespace amaranthdale::hedging {

/// Token bucket: requests add tokens, hedges take them. It starts empty, so the hedges of all
/// instances together never exceed their share of the requests. Not thread-safe.
class HedgeBudget
{
public:
    /// `ratio`: hedges per request. `burst`: capacity of all instances' buckets together.
    HedgeBudget(double ratio, double burst, unsigned instances);

    void setInstances(unsigned instances);

    /// Adds the tokens of one request.
    void onRequest();

    /// Takes the token of one hedge. Returns false if there is none.
    bool tryTake();

private:
    double hedgesPerRequest;
    double totalBurst;
    double maxTokens = 1;
    double tokens = 0; ///< Invariant: at most `maxTokens`.
};

} // namespace amaranthdale::hedging
