// Latency statistics; quantiles are estimated by the P-square algorithm of Boost.Accumulators.
#include "latency_summary.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace amaranthdale::report {

namespace accumulators = boost::accumulators;

namespace {

constexpr core::Duration quantileInterval = std::chrono::minutes(5);

// With fewer samples, a new interval is less representative than the previous one.
constexpr std::size_t minSamples = 100;

// P-square has two markers per quantile and three more, and gives no estimate with fewer samples
// than markers. Up to this number, samples are stored and their quantiles computed exactly.
constexpr std::size_t maxExactSamples = 32;

constexpr std::array<double, 3> quantileProbabilities = {0.5, 0.95, 0.99};

using Accumulator = accumulators::accumulator_set<
        double,
        accumulators::stats<accumulators::tag::count, accumulators::tag::mean,
                            accumulators::tag::max, accumulators::tag::extended_p_square_quantile>>;

core::Duration toDuration(double nanoseconds)
{
    return core::Duration(std::llround(std::max(nanoseconds, 0.0)));
}

} // namespace

struct LatencySummary::Interval
{
    explicit Interval(core::TimePoint intervalEnd)
        : end(intervalEnd),
          accumulator(accumulators::extended_p_square_probabilities = quantileProbabilities)
    { }

    void add(core::Duration latency)
    {
        if (this->samples() < maxExactSamples)
            this->firstSamples[this->samples()] = latency;
        this->accumulator(static_cast<double>(latency.count()));
    }

    std::size_t samples() const { return accumulators::count(this->accumulator); }

    core::Duration quantile(double probability) const
    {
        const std::size_t count = this->samples();
        if (count > maxExactSamples)
            return toDuration(accumulators::quantile(
                    this->accumulator, accumulators::quantile_probability = probability));
        if (count == 0)
            return {};
        auto sorted = this->firstSamples;
        std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(count));
        const double rank = std::ceil(probability * static_cast<double>(count));
        return sorted[static_cast<std::size_t>(rank) - 1];
    }

    LatencyStatistics statistics() const
    {
        LatencyStatistics statistics;
        if (this->samples() == 0)
            return statistics;
        statistics.mean = toDuration(accumulators::mean(this->accumulator));
        statistics.max = toDuration(accumulators::max(this->accumulator));
        // Adjacent estimates can cross while P-square converges; clamping keeps them ordered.
        statistics.median = std::min(this->quantile(quantileProbabilities[0]), statistics.max);
        statistics.percentile95 = std::clamp(this->quantile(quantileProbabilities[1]),
                                             statistics.median, statistics.max);
        statistics.percentile99 = std::clamp(this->quantile(quantileProbabilities[2]),
                                             statistics.percentile95, statistics.max);
        return statistics;
    }

    core::TimePoint end;
    Accumulator accumulator;
    std::array<core::Duration, maxExactSamples> firstSamples{};
};

LatencySummary::LatencySummary() = default;
LatencySummary::~LatencySummary() = default;
LatencySummary::LatencySummary(LatencySummary &&) noexcept = default;
LatencySummary &LatencySummary::operator=(LatencySummary &&) noexcept = default;

void LatencySummary::add(core::Duration latency, core::TimePoint now)
{
    if (this->current && now >= this->current->end) {
        this->previous = this->current->statistics();
        this->hasPrevious = true;
        this->current.reset();
    }
    if (!this->current)
        this->current = std::make_unique<Interval>(now + quantileInterval);
    this->current->add(latency);
}

LatencyStatistics LatencySummary::statistics() const
{
    const bool enough = this->current && this->current->samples() >= minSamples;
    if (this->hasPrevious && !enough)
        return this->previous;
    return this->current ? this->current->statistics() : LatencyStatistics{};
}

} // namespace amaranthdale::report
