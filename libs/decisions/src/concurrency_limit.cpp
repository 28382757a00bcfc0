// AdaptiveLimit and FixedRamp.
#include "amaranthdale/decisions/concurrency_limit.h"

#include <algorithm>

namespace amaranthdale::decisions {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// A cold server warms up over seconds, so a limit has to hold this long before it is raised. The
// interval doubles when a reset follows soon after an increase, and returns to the minimum after a
// later reset or when the limit reaches the request slots.
constexpr core::Duration minGrowthInterval = std::chrono::seconds(1);
constexpr core::Duration maxGrowthInterval = std::chrono::seconds(4);
constexpr unsigned responsesPerSlot = 16;

// With exponentially distributed latencies, four of five samples exceed four times the mean by
// chance about once in two million responses.
constexpr double stepFactor = 4;
constexpr int minStepSamples = 4;
// A single pending request needs a higher threshold, since no other samples confirm it.
constexpr double overdueFactor = 16;
constexpr Milliseconds minOverdue{20};
// Above this factor, well below a latency step, the limit stops growing and the baseline adapts
// only very slowly. A baseline that followed the rising latency would classify a server that
// sustains one request as healthy at four.
constexpr double normalFactor = 1.5;
// A fast average this high for this many consecutive responses also resets the limit.
constexpr double elevatedFactor = 2;
constexpr unsigned minElevatedResponses = 12;

constexpr double recentWeight = 1.0 / 8;
constexpr unsigned baselineWeight = 128;
// Used while latency is elevated, so that a straggler's latency doesn't become the baseline.
constexpr unsigned elevatedBaselineWeight = 4096;
constexpr unsigned minBaselineSamples = 16;

// Load reports older than this are ignored.
constexpr core::Duration reportLifetime = std::chrono::seconds(3);
constexpr double fullLoad = 1.0;

LimitBounds clampBounds(LimitBounds bounds)
{
    bounds.requestSlots = std::max(bounds.requestSlots, 1U);
    bounds.coldSlots = std::clamp(bounds.coldSlots, 1U, bounds.requestSlots);
    return bounds;
}

} // namespace

AdaptiveLimit::AdaptiveLimit(LimitBounds limitBounds, core::TimePoint now)
    : bounds(clampBounds(limitBounds)), limit(this->bounds.coldSlots), limitChangedAt(now),
      growthInterval(minGrowthInterval)
{ }

unsigned AdaptiveLimit::current(core::TimePoint now) const
{
    return this->reportedLimitApplies(now) ? std::min(this->limit, *this->reportedLimit)
                                           : this->limit;
}

std::string AdaptiveLimit::reason(core::TimePoint now) const
{
    const std::string slots = " of " + std::to_string(this->bounds.requestSlots) + " slots: ";
    if (this->current(now) < this->limit)
        return std::to_string(this->current(now)) + slots + "the server reports full load";
    return std::to_string(this->limit) + slots + this->reasonText;
}

LimitReason AdaptiveLimit::reasonCode(core::TimePoint now) const
{
    if (this->current(now) < this->limit)
        return LimitReason::ServerReport;
    return this->limit == this->bounds.requestSlots ? LimitReason::RequestSlots : this->lastReason;
}

void AdaptiveLimit::answered(core::Duration latency, unsigned inFlight, core::TimePoint now)
{
    this->recordLatency(latency);
    if (this->hasLatencyStep())
        this->resetToColdSlots(LimitReason::LatencyStep, "latency step", now);
    else if (this->elevatedCount >= minElevatedResponses)
        this->resetToColdSlots(LimitReason::LatencyStep, "latency above normal", now);
    else
        this->growIfStable(inFlight, now);
}

void AdaptiveLimit::recordLatency(Milliseconds latency)
{
    this->recent[this->recentNext] = latency;
    this->recentNext = (this->recentNext + 1) % recentSize;
    this->recentCount = std::min(this->recentCount + 1, recentSize);

    const bool baselineReady = this->baselineSamples >= minBaselineSamples;
    const Milliseconds capped =
            baselineReady ? std::min(latency, this->baseline * stepFactor) : latency;
    if (this->baselineSamples < baselineWeight)
        ++this->baselineSamples;
    if (this->baselineSamples == 1)
        this->recentAverage = latency;
    this->recentAverage += (capped - this->recentAverage) * recentWeight;
    const unsigned weight = baselineReady && !this->latencyIsNormal() ? elevatedBaselineWeight
                                                                      : this->baselineSamples;
    this->baseline += (capped - this->baseline) / weight;
    const bool isElevated = baselineReady && this->recentAverage > this->baseline * elevatedFactor;
    this->elevatedCount = isElevated ? this->elevatedCount + 1 : 0;
}

bool AdaptiveLimit::latencyIsNormal() const
{
    return this->recentAverage <= this->baseline * normalFactor;
}

bool AdaptiveLimit::hasLatencyStep() const
{
    if (this->baselineSamples < minBaselineSamples || this->recentCount < recentSize)
        return false;
    const Milliseconds threshold = this->baseline * stepFactor;
    return std::count_if(this->recent.begin(), this->recent.end(),
                         [&](Milliseconds latency) { return latency > threshold; })
            >= minStepSamples;
}

void AdaptiveLimit::growIfStable(unsigned inFlight, core::TimePoint now)
{
    // A limit that isn't used gives no evidence that a higher one is safe.
    const bool limitUsed = 2 * inFlight >= this->limit;
    if (!limitUsed || !this->latencyIsNormal())
        return;
    ++this->responsesAtLimit;
    const bool stable = this->responsesAtLimit >= responsesPerSlot * this->limit
            && now - this->limitChangedAt >= this->growthInterval;
    if (!stable || this->limit >= this->bounds.requestSlots || this->reportedLimitApplies(now))
        return;
    ++this->limit;
    this->limitChangedAt = now;
    this->responsesAtLimit = 0;
    this->lastReason = LimitReason::Growth;
    this->reasonText = "raised after responses at normal latency";
    if (this->limit == this->bounds.requestSlots)
        this->growthInterval = minGrowthInterval;
}

void AdaptiveLimit::resetToColdSlots(LimitReason reason, const char *text, core::TimePoint now)
{
    const bool soonAfterIncrease = now - this->limitChangedAt < this->growthInterval;
    if (this->limit > this->bounds.coldSlots)
        this->growthInterval = soonAfterIncrease
                ? std::min(this->growthInterval * 2, maxGrowthInterval)
                : minGrowthInterval;
    this->limit = this->bounds.coldSlots;
    this->lastReason = reason;
    this->reasonText = text;
    this->limitChangedAt = now;
    this->responsesAtLimit = 0;
    this->elevatedCount = 0;
}

void AdaptiveLimit::refused(core::TimePoint now)
{
    this->resetToColdSlots(LimitReason::Refusals, "the server refused a request", now);
}

void AdaptiveLimit::connectionLost(core::TimePoint now)
{
    this->resetToColdSlots(LimitReason::ConnectionLost, "a connection was lost", now);
}

void AdaptiveLimit::requestPending(core::Duration age, core::TimePoint now)
{
    const Milliseconds overdueAfter = std::max(this->baseline * overdueFactor, minOverdue);
    if (this->baselineSamples >= minBaselineSamples && age > overdueAfter)
        this->resetToColdSlots(LimitReason::LatencyStep, "a response is overdue", now);
}

void AdaptiveLimit::reported(const LoadReport &report, core::TimePoint now)
{
    const bool known = this->incarnation != core::Incarnation();
    if (known && report.incarnation != this->incarnation)
        this->restarted(now);
    this->incarnation = report.incarnation;
    this->reportedLimit.reset();
    if (report.load < fullLoad)
        return;
    const auto scaledLimit = static_cast<unsigned>(this->limit / report.load);
    this->reportedLimit = std::max(scaledLimit, 1U);
    this->reportedLimitAt = now;
}

void AdaptiveLimit::restarted(core::TimePoint now)
{
    this->resetToColdSlots(LimitReason::Start, "cold start", now);
    this->growthInterval = minGrowthInterval;
    this->recentCount = 0;
}

bool AdaptiveLimit::reportedLimitApplies(core::TimePoint now) const
{
    return this->reportedLimit && now - this->reportedLimitAt < reportLifetime;
}

FixedRamp::FixedRamp(LimitBounds limitBounds, core::Duration stepInterval, core::TimePoint now)
    : bounds(clampBounds(limitBounds)), interval(stepInterval), startedAt(now)
{ }

unsigned FixedRamp::current(core::TimePoint now) const
{
    const auto steps = (now - this->startedAt) / this->interval;
    const auto growthRange = this->bounds.requestSlots - this->bounds.coldSlots;
    return this->bounds.coldSlots
            + static_cast<unsigned>(std::min<std::int64_t>(steps, growthRange));
}

std::string FixedRamp::reason(core::TimePoint now) const
{
    return std::to_string(this->current(now)) + " of " + std::to_string(this->bounds.requestSlots)
            + " slots: fixed ramp since the start";
}

LimitReason FixedRamp::reasonCode(core::TimePoint now) const
{
    const unsigned limit = this->current(now);
    if (limit == this->bounds.requestSlots)
        return LimitReason::RequestSlots;
    return limit > this->bounds.coldSlots ? LimitReason::Growth : LimitReason::Start;
}

void FixedRamp::reported(const LoadReport &report, core::TimePoint now)
{
    const bool known = this->incarnation != core::Incarnation();
    if (known && report.incarnation != this->incarnation)
        this->restarted(now);
    this->incarnation = report.incarnation;
}

void FixedRamp::restarted(core::TimePoint now)
{
    this->startedAt = now;
}

} // namespace amaranthdale::decisions
