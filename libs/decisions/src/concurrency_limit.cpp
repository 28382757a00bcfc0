// Adaptive limit and fixed ramp.
#include "amaranthdale/decisions/concurrency_limit.h"

#include <algorithm>

namespace amaranthdale::decisions {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// A cold server warms over seconds, so a value has to hold this long before the next step up. It
// doubles up to the maximum when a cut follows soon after a step, and falls back at the top.
constexpr core::Duration firstDwell = std::chrono::seconds(1);
constexpr core::Duration maxDwell = std::chrono::seconds(4);
constexpr unsigned answersPerSlot = 16;

// With exponentially distributed latencies, four of five samples above four times the mean happen
// by chance about once in two million answers.
constexpr double stepFactor = 4;
constexpr int stepVotes = 4;
// One request alone has to be much later than that before it counts as a sign by itself.
constexpr double overdueFactor = 16;
constexpr Milliseconds minOverdue{20};
// Growth stops, and the baseline all but stops, well below a step. An earlier version let the
// baseline follow: a server that bore one request was taken for healthy at four.
constexpr double usualFactor = 1.5;
// A fast average this high for so many answers is a step as well, if a smaller one.
constexpr double elevatedFactor = 2;
constexpr unsigned elevatedAnswers = 12;

constexpr double recentWeight = 1.0 / 8;
constexpr unsigned baselineWeight = 128;
// At unusual latency the baseline follows so slowly that a straggler isn't taken for the usual
// state.
constexpr unsigned baselineWeightUnusual = 4096;
constexpr unsigned minBaselineSamples = 16;

// A report that the server has not repeated for this long says nothing.
constexpr core::Duration reportLifetime = std::chrono::seconds(3);
constexpr double fullLoad = 1.0;

LimitBounds saneBounds(LimitBounds bounds)
{
    bounds.requestSlots = std::max(bounds.requestSlots, 1U);
    bounds.coldSlots = std::clamp(bounds.coldSlots, 1U, bounds.requestSlots);
    return bounds;
}

} // namespace

AdaptiveLimit::AdaptiveLimit(LimitBounds limitBounds, core::TimePoint now)
    : bounds(saneBounds(limitBounds)), limit(this->bounds.coldSlots), changedAt(now),
      dwell(firstDwell)
{ }

unsigned AdaptiveLimit::current(core::TimePoint now) const
{
    return this->ceilingInForce(now) ? std::min(this->limit, *this->ceiling) : this->limit;
}

std::string AdaptiveLimit::reason(core::TimePoint now) const
{
    const std::string slots = " of " + std::to_string(this->bounds.requestSlots) + " slots: ";
    if (this->current(now) < this->limit)
        return std::to_string(this->current(now)) + slots + "the server reports that it is full";
    return std::to_string(this->limit) + slots + this->cause;
}

LimitReason AdaptiveLimit::reasonKind(core::TimePoint now) const
{
    if (this->current(now) < this->limit)
        return LimitReason::ServerReport;
    return this->limit == this->bounds.requestSlots ? LimitReason::RequestSlots : this->kind;
}

void AdaptiveLimit::answered(core::Duration latency, unsigned inFlight, core::TimePoint now)
{
    this->noteLatency(latency);
    if (this->latencyStepped())
        this->cut(LimitReason::LatencyStep, "latency step", now);
    else if (this->elevated >= elevatedAnswers)
        this->cut(LimitReason::LatencyStep, "latency above the usual", now);
    else
        this->growIfProven(inFlight, now);
}

void AdaptiveLimit::noteLatency(Milliseconds latency)
{
    this->recent[this->recentNext] = latency;
    this->recentNext = (this->recentNext + 1) % recentSize;
    this->recentCount = std::min(this->recentCount + 1, recentSize);

    const bool known = this->baselineSamples >= minBaselineSamples;
    const Milliseconds capped = known ? std::min(latency, this->baseline * stepFactor) : latency;
    if (this->baselineSamples < baselineWeight)
        ++this->baselineSamples;
    if (this->baselineSamples == 1)
        this->recentAverage = latency;
    this->recentAverage += (capped - this->recentAverage) * recentWeight;
    const unsigned weight =
            known && !this->latencyUsual() ? baselineWeightUnusual : this->baselineSamples;
    this->baseline += (capped - this->baseline) / weight;
    const bool high = known && this->recentAverage > this->baseline * elevatedFactor;
    this->elevated = high ? this->elevated + 1 : 0;
}

bool AdaptiveLimit::latencyUsual() const
{
    return this->recentAverage <= this->baseline * usualFactor;
}

bool AdaptiveLimit::latencyStepped() const
{
    if (this->baselineSamples < minBaselineSamples || this->recentCount < recentSize)
        return false;
    const Milliseconds threshold = this->baseline * stepFactor;
    return std::count_if(this->recent.begin(), this->recent.end(),
                         [&](Milliseconds latency) { return latency > threshold; })
            >= stepVotes;
}

void AdaptiveLimit::growIfProven(unsigned inFlight, core::TimePoint now)
{
    // A value that is not used shows nothing about the next one.
    const bool used = 2 * inFlight >= this->limit;
    if (!used || !this->latencyUsual())
        return;
    ++this->answersAtValue;
    const bool proven = this->answersAtValue >= answersPerSlot * this->limit
            && now - this->changedAt >= this->dwell;
    if (!proven || this->limit >= this->bounds.requestSlots || this->ceilingInForce(now))
        return;
    ++this->limit;
    this->changedAt = now;
    this->answersAtValue = 0;
    this->kind = LimitReason::Growth;
    this->cause = "grown with answers at the usual latency";
    if (this->limit == this->bounds.requestSlots)
        this->dwell = firstDwell;
}

void AdaptiveLimit::cut(LimitReason reason, const char *text, core::TimePoint now)
{
    const bool soonAfterStep = now - this->changedAt < this->dwell;
    if (this->limit > this->bounds.coldSlots)
        this->dwell = soonAfterStep ? std::min(this->dwell * 2, maxDwell) : firstDwell;
    this->limit = this->bounds.coldSlots;
    this->kind = reason;
    this->cause = text;
    this->changedAt = now;
    this->answersAtValue = 0;
    this->elevated = 0;
}

void AdaptiveLimit::refused(core::TimePoint now)
{
    this->cut(LimitReason::Refusals, "the server refused a request", now);
}

void AdaptiveLimit::connectionLost(core::TimePoint now)
{
    this->cut(LimitReason::ConnectionLost, "a connection was lost", now);
}

void AdaptiveLimit::waiting(core::Duration age, core::TimePoint now)
{
    const Milliseconds bound = std::max(this->baseline * overdueFactor, minOverdue);
    if (this->baselineSamples >= minBaselineSamples && age > bound)
        this->cut(LimitReason::LatencyStep, "a response is overdue", now);
}

void AdaptiveLimit::reported(const LoadReport &report, core::TimePoint now)
{
    const bool known = this->incarnation != core::Incarnation();
    if (known && report.incarnation != this->incarnation)
        this->restarted(now);
    this->incarnation = report.incarnation;
    this->ceiling.reset();
    if (report.load < fullLoad)
        return;
    const auto sustained = static_cast<unsigned>(this->limit / report.load);
    this->ceiling = std::max(sustained, 1U);
    this->ceilingAt = now;
}

void AdaptiveLimit::restarted(core::TimePoint now)
{
    this->cut(LimitReason::Start, "cold start", now);
    this->dwell = firstDwell;
    this->recentCount = 0;
}

bool AdaptiveLimit::ceilingInForce(core::TimePoint now) const
{
    return this->ceiling && now - this->ceilingAt < reportLifetime;
}

FixedRamp::FixedRamp(LimitBounds limitBounds, core::Duration stepInterval, core::TimePoint now)
    : bounds(saneBounds(limitBounds)), interval(stepInterval), startedAt(now)
{ }

unsigned FixedRamp::current(core::TimePoint now) const
{
    const auto steps = (now - this->startedAt) / this->interval;
    const auto room = this->bounds.requestSlots - this->bounds.coldSlots;
    return this->bounds.coldSlots + static_cast<unsigned>(std::min<std::int64_t>(steps, room));
}

std::string FixedRamp::reason(core::TimePoint now) const
{
    return std::to_string(this->current(now)) + " of " + std::to_string(this->bounds.requestSlots)
            + " slots: fixed ramp since the start";
}

LimitReason FixedRamp::reasonKind(core::TimePoint now) const
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
