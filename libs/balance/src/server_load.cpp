// Estimates from observed responses and the server's own reports.
#include "amaranthdale/balance/server_load.h"

#include <algorithm>
#include <cmath>

namespace amaranthdale::balance {

namespace {

using Seconds = std::chrono::duration<double>;

// A report says little about other instances' requests once these have been answered.
constexpr Seconds reportLife{0.2};
constexpr double speedWeight = 0.1;   // Of one response in the moving average of the speed.
constexpr double othersWeight = 0.05; // Of one report in the average of other instances' load.
constexpr double failureWeight = 0.2; // Of one attempt in the failure rate.
constexpr Seconds failureLife{3.0};
constexpr double leastSpeedFactor = 0.3;
constexpr double mostSpeedFactor = 8;

// A server that can't be reached is tried again after this, doubled at each failure in a row.
constexpr auto firstAvoidance = std::chrono::milliseconds(400);
constexpr unsigned mostDoublings = 3;

double fade(core::Duration age, Seconds life)
{
    return std::exp(-Seconds(age).count() / life.count());
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

void ServerLoad::onEnd(AttemptResult result, core::Duration elapsed, core::Duration usual,
                       core::TimePoint now)
{
    if (this->sent > 0)
        --this->sent;
    if (result == AttemptResult::Cancelled || result == AttemptResult::Misdirected)
        return;
    const bool failed = result != AttemptResult::Answered;
    this->failures = this->failureRate(now) * (1 - failureWeight) + (failed ? failureWeight : 0);
    this->failuresAt = now;
    if (result == AttemptResult::Unreachable) {
        const unsigned doublings = std::min(this->unreachableInRow++, mostDoublings);
        this->avoidUntil = now + firstAvoidance * (1U << doublings);
        return;
    }
    this->unreachableInRow = 0;
    if ((result == AttemptResult::Answered || result == AttemptResult::TimedOut)
        && usual.count() > 0) {
        const double expected = Seconds(usual).count() * this->queueFactor(now);
        const double factor = Seconds(elapsed).count() / expected;
        this->speedFactor += speedWeight * (factor - this->speedFactor);
        this->speedFactor = std::clamp(this->speedFactor, leastSpeedFactor, mostSpeedFactor);
    }
}

void ServerLoad::onReport(const LoadReport &report, core::TimePoint now)
{
    const double total = report.running + report.waiting;
    this->reportedOthers = std::max(0.0, total - this->sent);
    this->usualOthers += othersWeight * (this->reportedOthers - this->usualOthers);
    this->slowdown = report.slowdown;
    this->reportedAt = now;
}

double ServerLoad::othersLoad(core::TimePoint now) const
{
    const double freshness = fade(now - this->reportedAt, reportLife);
    return this->usualOthers + (this->reportedOthers - this->usualOthers) * freshness;
}

double ServerLoad::queueFactor(core::TimePoint now) const
{
    const double slots = std::max(1U, this->backend.slots);
    return std::max(1.0, (this->sent + this->othersLoad(now) + 1) / slots);
}

core::Duration ServerLoad::estimate(core::Duration usual, core::TimePoint now) const
{
    const double freshness = fade(now - this->reportedAt, reportLife);
    const double momentary = 1 + (this->slowdown - 1) * freshness;
    return scale(usual, this->speedFactor * momentary * this->queueFactor(now));
}

double ServerLoad::failureRate(core::TimePoint now) const
{
    return this->failures * fade(now - this->failuresAt, failureLife);
}

bool ServerLoad::takeWarmup(double rate, core::TimePoint now)
{
    if (!this->isCold(now) || rate <= 0)
        return true;
    if (now < this->nextWarmup(rate, now))
        return false;
    this->nextWarmupAt = now + warmupInterval(rate);
    return true;
}

core::TimePoint ServerLoad::nextWarmup(double rate, core::TimePoint now) const
{
    if (!this->isCold(now) || rate <= 0)
        return now;
    const core::TimePoint due = std::max(this->firstWarmup, this->nextWarmupAt);
    return std::max(now, std::min(due, this->backend.coldUntil));
}

double ServerLoad::capacity() const
{
    return std::max(1U, this->backend.slots) / this->speedFactor;
}

} // namespace amaranthdale::balance
