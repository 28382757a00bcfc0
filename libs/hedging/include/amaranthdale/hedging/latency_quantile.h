// Quantiles of recent latencies.
#pragma once

#include "amaranthdale/core/types.h"

#include <array>
#include <cstddef>
#include <optional>

namespace amaranthdale::hedging {

/// Histogram with fixed logarithmic buckets whose counts decay exponentially with time. Its size is
/// constant, and a quantile is exact to the width of a bucket, 10%. Not thread-safe.
class LatencyQuantile
{
public:
    void observe(core::Duration latency, core::TimePoint now);

    /// The upper bound of the bucket that contains the quantile `share`, or nothing while the
    /// decayed number of observations is below `minObservations`.
    std::optional<core::Duration> quantile(double share, core::TimePoint now) const;

    /// An observation counts 1/e after this time. An instance may see 10 requests of a route each
    /// second; a shorter time leaves too few of them for a high quantile.
    static constexpr core::Duration timeConstant = std::chrono::seconds(30);

    static constexpr double minObservations = 50;

private:
    static constexpr std::size_t bucketCount = 128; // From 1 ms to 3 min, each 10% wider.

    // Counts of later observations are scaled up instead of decaying all earlier ones.
    double scaleAt(core::TimePoint now) const;
    void rescale(core::TimePoint now);

    std::array<double, bucketCount> counts{};
    double total = 0;
    core::TimePoint origin{}; ///< Time at which an observation counts 1.
};

} // namespace amaranthdale::hedging
