// Observed quantile of latencies and the hedge policies.
#include "amaranthdale/decisions/retry_policy.h"

#include <algorithm>

namespace amaranthdale::decisions {

namespace {

constexpr double hedgeQuantile = 0.95;
// Fewer samples than this give no usable 95th percentile.
constexpr std::size_t minSamples = 40;
// Sorting costs microseconds, so the quantile is refreshed once per this many samples.
constexpr std::size_t refreshEvery = 32;

} // namespace

LatencyQuantile::LatencyQuantile(double quantileShare, std::size_t windowSize)
    : share(quantileShare), capacity(windowSize)
{ }

void LatencyQuantile::add(core::Duration latency)
{
    if (this->window.size() < this->capacity)
        this->window.push_back(latency);
    else
        this->window[this->next] = latency;
    this->next = (this->next + 1) % this->capacity;
    ++this->sinceRefresh;
    const bool due = !this->cached || this->sinceRefresh >= refreshEvery;
    if (due && this->window.size() >= minSamples)
        this->refresh();
}

std::optional<core::Duration> LatencyQuantile::value() const
{
    return this->cached;
}

void LatencyQuantile::refresh()
{
    this->scratch = this->window;
    const double position = this->share * static_cast<double>(this->scratch.size() - 1);
    const auto middle = this->scratch.begin() + static_cast<std::ptrdiff_t>(position);
    std::nth_element(this->scratch.begin(), middle, this->scratch.end());
    this->cached = *middle;
    this->sinceRefresh = 0;
}

QuantileHedge::QuantileHedge(RetryBudget &retryBudget)
    : budget(retryBudget), quantile(hedgeQuantile)
{ }

void QuantileHedge::observed(core::Duration latency)
{
    this->quantile.add(latency);
}

std::optional<core::Duration> QuantileHedge::delayFor(const RequestInfo &request, bool keyed,
                                                      core::TimePoint now) const
{
    if (keyed || !request.idempotent)
        return std::nullopt;
    const std::optional<core::Duration> delay = this->quantile.value();
    if (!delay || now + *delay >= request.deadline)
        return std::nullopt;
    return delay;
}

bool QuantileHedge::mayHedge()
{
    return this->budget.take();
}

std::optional<core::Duration> NoHedge::delayFor(const RequestInfo &, bool, core::TimePoint) const
{
    return std::nullopt;
}

} // namespace amaranthdale::decisions
