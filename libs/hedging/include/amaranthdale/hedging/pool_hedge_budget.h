// Limits the hedges of all instances together at the allocator of a pool of servers.
#pragma once

#include "amaranthdale/core/types.h"

namespace amaranthdale::hedging {

/// Hedges that all instances together may send to one service.
struct SharedHedgeLimits
{
    double ratio = 0; ///< Hedges per request; zero: none.
    double burst = 0; ///< Additional hedges in a window, divided by the number of data centres.
};

/// The part of the shared limit for repeated requests (`repeatRatio` per request, `repeatReserve`
/// besides in a window) that hedges may use without taking any from retries. `ratio` is at most a
/// fifth of `repeatRatio`, so a larger `hedgeRatio` is bounded.
SharedHedgeLimits shareOfRepeats(double hedgeRatio, double repeatRatio, double repeatReserve);

/// Token bucket of one allocator: first attempts that it grants add tokens, hedges take them. It
/// starts empty, so an allocator that has just taken over a pool grants no burst. Tokens that were
/// saved up by an allocator that lost its pool expire. Not thread-safe.
class PoolHedgeBudget
{
public:
    explicit PoolHedgeBudget(SharedHedgeLimits sharedLimits) : limits(sharedLimits) { }

    /// Updates the number that the burst is divided by. It never decreases: an instance that is cut
    /// off knows fewer data centres, while all of them continue to grant hedges.
    void setDataCentres(unsigned count);

    /// Adds the tokens of a first attempt that was granted a slot.
    void onFirstAttempt(core::TimePoint now);

    bool hasToken(core::TimePoint now) const;

    /// Takes the token of one hedge. Returns false if there is none.
    bool tryTake(core::TimePoint now);

    /// Saved tokens expire when no first attempt was granted for this long: the window of the
    /// shared limit.
    static constexpr core::Duration expiry = std::chrono::seconds(10);

private:
    double maxTokens() const { return this->limits.burst / this->dataCentres; }

    SharedHedgeLimits limits;
    unsigned dataCentres = 1;
    double tokens = 0; ///< Invariant: at most `maxTokens()`.
    core::TimePoint lastAttemptAt{};
};

} // namespace amaranthdale::hedging
