// Histogram of latencies with exponential decay.
#include "amaranthdale/hedging/latency_quantile.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace amaranthdale::hedging {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr double bucketGrowth = 1.1;

// Counts are rescaled well before a double loses the precision of an observation.
constexpr double maxScale = 1e6;

} // namespace

double LatencyQuantile::scaleAt(core::TimePoint now) const
{
    return std::exp(std::chrono::duration<double>(now - this->origin)
                    / std::chrono::duration<double>(timeConstant));
}

void LatencyQuantile::rescale(core::TimePoint now)
{
    const double factor = this->total > 0 ? 1 / this->scaleAt(now) : 0;
    for (double &count : this->counts)
        count *= factor;
    this->total = std::accumulate(this->counts.begin(), this->counts.end(), 0.0);
    this->origin = now;
}

void LatencyQuantile::observe(core::Duration latency, core::TimePoint now)
{
    if (this->total == 0 || this->scaleAt(now) > maxScale)
        this->rescale(now);
    const double milliseconds = std::max(1.0, Milliseconds(latency).count());
    const auto bucket =
            static_cast<std::size_t>(std::ceil(std::log(milliseconds) / std::log(bucketGrowth)));
    const double weight = this->scaleAt(now);
    this->counts[std::min(bucket, bucketCount - 1)] += weight;
    this->total += weight;
}

std::optional<core::Duration> LatencyQuantile::quantile(double share, core::TimePoint now) const
{
    if (this->total < minObservations * this->scaleAt(now))
        return std::nullopt;
    double sum = 0;
    std::size_t bucket = 0;
    while (bucket + 1 < bucketCount && (sum += this->counts[bucket]) < share * this->total)
        ++bucket;
    return std::chrono::duration_cast<core::Duration>(
            Milliseconds(std::pow(bucketGrowth, static_cast<double>(bucket))));
}

} // namespace amaranthdale::hedging
