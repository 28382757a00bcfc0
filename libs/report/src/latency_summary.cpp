// Quantiles by the P-square algorithm of Boost.Accumulators.
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

// Below this number of samples a new interval says less than the one before.
constexpr std::size_t enoughSamples = 100;

// P-square has two markers for each quantile and three more; with fewer samples than this many it
// has no estimate, so the first samples are kept and ranked exactly.
constexpr std::size_t exactSamples = 32;

constexpr std::array<double, 3> shares = {0.5, 0.95, 0.99};

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
        : end(intervalEnd), accumulator(accumulators::extended_p_square_probabilities = shares)
    { }

    void add(core::Duration latency)
    {
        if (this->samples() < exactSamples)
            this->first[this->samples()] = latency;
        this->accumulator(static_cast<double>(latency.count()));
    }

    std::size_t samples() const { return accumulators::count(this->accumulator); }

    core::Duration quantile(double share) const
    {
        const std::size_t count = this->samples();
        if (count > exactSamples)
            return toDuration(accumulators::quantile(this->accumulator,
                                                     accumulators::quantile_probability = share));
        if (count == 0)
            return {};
        auto sorted = this->first;
        std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(count));
        const double rank = std::ceil(share * static_cast<double>(count));
        return sorted[static_cast<std::size_t>(rank) - 1];
    }

    LatencyFigures figures() const
    {
        LatencyFigures figures;
        if (this->samples() == 0)
            return figures;
        figures.mean = toDuration(accumulators::mean(this->accumulator));
        figures.most = toDuration(accumulators::max(this->accumulator));
        // Neighbouring estimates can cross while P-square settles; they are put in order.
        figures.median = std::min(this->quantile(shares[0]), figures.most);
        figures.share95 = std::clamp(this->quantile(shares[1]), figures.median, figures.most);
        figures.share99 = std::clamp(this->quantile(shares[2]), figures.share95, figures.most);
        return figures;
    }

    core::TimePoint end;
    Accumulator accumulator;
    std::array<core::Duration, exactSamples> first{};
};

LatencySummary::LatencySummary() = default;
LatencySummary::~LatencySummary() = default;
LatencySummary::LatencySummary(LatencySummary &&) noexcept = default;
LatencySummary &LatencySummary::operator=(LatencySummary &&) noexcept = default;

void LatencySummary::add(core::Duration latency, core::TimePoint now)
{
    if (this->running && now >= this->running->end) {
        this->last = this->running->figures();
        this->hasLast = true;
        this->running.reset();
    }
    if (!this->running)
        this->running = std::make_unique<Interval>(now + quantileInterval);
    this->running->add(latency);
}

LatencyFigures LatencySummary::figures() const
{
    const bool enough = this->running && this->running->samples() >= enoughSamples;
    if (this->hasLast && !enough)
        return this->last;
    return this->running ? this->running->figures() : LatencyFigures{};
}

} // namespace amaranthdale::report
