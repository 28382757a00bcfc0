// Estimates of load and speed from observed responses and the server's own reports.
#include "amaranthdale/balance/server_load.h"

#include <algorithm>
#include <cmath>

namespace amaranthdale::balance {

namespace {

using Seconds = std::chrono::duration<double>;

// A report loses its value once the requests that it counted have been answered.
constexpr Seconds reportTimeConstant{0.2};
constexpr double latencyFactorWeight = 0.1; // Of one response in the latency factor.
constexpr double othersWeight = 0.05;       // Of one report in the average of other senders' load.
constexpr double failureWeight = 0.2;       // Of one attempt in the failure rate.
constexpr Seconds failureTimeConstant{3.0};
constexpr double minLatencyFactor = 0.3;
constexpr double maxLatencyFactor = 8;

// Backoff after a failure to connect, doubled with each consecutive failure.
constexpr auto initialBackoff = std::chrono::milliseconds(400);
constexpr unsigned maxBackoffDoublings = 3;

double decay(core::Duration age, Seconds timeConstant)
{
    return std::exp(-Seconds(age).count() / timeConstant.count());
}

core::Duration scale(core::Duration duration, double factor)
{
    return std::chrono::duration_cast<core::Duration>(duration * factor);
}

core::Duration warmupInterval(double rate)
{
    return std::chrono::duration_cast<core::Duration>(Seconds(1 / rate));
}

} // namespace

ServerLoad::ServerLoad(catalog::BackendServer backendServer) : backend(std::move(backendServer)) { }

void ServerLoad::onEnd(AttemptResult result, core::Duration elapsed, core::Duration routeLatency,
                       core::TimePoint now)
{
    if (this->ownInFlight > 0)
        --this->ownInFlight;
    if (result == AttemptResult::Cancelled || result == AttemptResult::Misdirected)
        return;
    const bool failed = result != AttemptResult::Answered;
    this->failures = this->failureRate(now) * (1 - failureWeight) + (failed ? failureWeight : 0);
    this->failuresAt = now;
    if (result == AttemptResult::Unreachable) {
        const unsigned doublings = std::min(this->consecutiveUnreachable++, maxBackoffDoublings);
        this->unavailableUntil = now + initialBackoff * (1U << doublings);
        return;
    }
    this->consecutiveUnreachable = 0;
    if ((result == AttemptResult::Answered || result == AttemptResult::TimedOut)
        && routeLatency.count() > 0) {
        const double expected = Seconds(routeLatency).count() * this->queueFactor(now);
        const double observedFactor = Seconds(elapsed).count() / expected;
        this->latencyFactor += latencyFactorWeight * (observedFactor - this->latencyFactor);
        this->latencyFactor = std::clamp(this->latencyFactor, minLatencyFactor, maxLatencyFactor);
    }
}

void ServerLoad::onReport(const LoadReport &report, core::TimePoint now)
{
    const double total = report.running + report.waiting;
    this->reportedOthers = std::max(0.0, total - this->ownInFlight);
    this->averageOthers += othersWeight * (this->reportedOthers - this->averageOthers);
    this->slowdown = report.slowdown;
    this->reportedAt = now;
}

double ServerLoad::othersInFlight(core::TimePoint now) const
{
    const double freshness = decay(now - this->reportedAt, reportTimeConstant);
    return this->averageOthers + (this->reportedOthers - this->averageOthers) * freshness;
}

double ServerLoad::queueFactor(core::TimePoint now) const
{
    const double slots = std::max(1U, this->backend.slots);
    return std::max(1.0, (this->ownInFlight + this->othersInFlight(now) + 1) / slots);
}

core::Duration ServerLoad::expectedLatency(core::Duration routeLatency, core::TimePoint now) const
{
    const double freshness = decay(now - this->reportedAt, reportTimeConstant);
    const double currentSlowdown = 1 + (this->slowdown - 1) * freshness;
    return scale(routeLatency, this->latencyFactor * currentSlowdown * this->queueFactor(now));
}

double ServerLoad::failureRate(core::TimePoint now) const
{
    return this->failures * decay(now - this->failuresAt, failureTimeConstant);
}

bool ServerLoad::tryTakeWarmup(double rate, core::TimePoint now)
{
    if (!this->isCold(now) || rate <= 0)
        return true;
    if (now < this->earliestWarmup(rate, now))
        return false;
    this->nextWarmup = now + warmupInterval(rate);
    return true;
}

core::TimePoint ServerLoad::earliestWarmup(double rate, core::TimePoint now) const
{
    if (!this->isCold(now) || rate <= 0)
        return now;
    const core::TimePoint due = std::max(this->warmupStart, this->nextWarmup);
    return std::max(now, std::min(due, this->backend.coldUntil));
}

double ServerLoad::capacity() const
{
    return std::max(1U, this->backend.slots) / this->latencyFactor;
}

} // namespace amaranthdale::balance
