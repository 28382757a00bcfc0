// Latency quantile and hedge policies.
#include "amaranthdale/decisions/retry_policy.h"

#include <algorithm>

namespace amaranthdale::decisions {

namespace {

constexpr double hedgeQuantile = 0.95;
// A 95th percentile of fewer samples is too noisy to use.
constexpr std::size_t minSamples = 40;
// Selecting the quantile takes microseconds, so it is recomputed once per this many samples.
constexpr std::size_t samplesPerRefresh = 32;

} // namespace

LatencyQuantile::LatencyQuantile(double quantileLevel, std::size_t windowSize)
    : level(quantileLevel), capacity(windowSize)
{ }

void LatencyQuantile::add(core::Duration latency)
{
    if (this->window.size() < this->capacity)
        this->window.push_back(latency);
    else
        this->window[this->next] = latency;
    this->next = (this->next + 1) % this->capacity;
    ++this->samplesSinceRefresh;
    const bool due = !this->cachedQuantile || this->samplesSinceRefresh >= samplesPerRefresh;
    if (due && this->window.size() >= minSamples)
        this->refresh();
}

std::optional<core::Duration> LatencyQuantile::value() const
{
    return this->cachedQuantile;
}

void LatencyQuantile::refresh()
{
    this->sortBuffer = this->window;
    const double position = this->level * static_cast<double>(this->sortBuffer.size() - 1);
    const auto nth = this->sortBuffer.begin() + static_cast<std::ptrdiff_t>(position);
    std::nth_element(this->sortBuffer.begin(), nth, this->sortBuffer.end());
    this->cachedQuantile = *nth;
    this->samplesSinceRefresh = 0;
}

QuantileHedge::QuantileHedge(RetryBudget &retryBudget)
    : budget(retryBudget), quantile(hedgeQuantile)
{ }

void QuantileHedge::recordLatency(core::Duration latency)
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

bool QuantileHedge::tryHedge()
{
    return this->budget.tryTake();
}

std::optional<core::Duration> NoHedge::delayFor(const RequestInfo &, bool, core::TimePoint) const
{
    return std::nullopt;
}

} // namespace amaranthdale::decisions
