// Error budget computation.
#include "burn.h"

#include <algorithm>

namespace amaranthdale::report {

namespace {

// An objective of 1 allows no failures; this minimum keeps burn rates finite.
constexpr double minBudgetFraction = 1e-9;

double rate(std::uint64_t failures, double budget)
{
    return failures == 0 ? 0 : static_cast<double>(failures) / budget;
}

bool isCausedByCaller(NotRunReason reason)
{
    return reason == NotRunReason::InvalidRequest || reason == NotRunReason::Cancelled;
}

Spender largestSpender(const BurnRow &row)
{
    if (row.burnRate == 0 && row.latencyBurnRate == 0)
        return Spender::Nothing;
    if (row.latencyBurnRate > row.burnRate)
        return Spender::Slow;
    return row.unknown > row.notRun ? Spender::Unknown : Spender::NotRun;
}

} // namespace

std::int64_t BurnCounter::bucketNumber(core::TimePoint time)
{
    return time.time_since_epoch() / bucketLength;
}

void BurnCounter::add(const RequestFinished &event, core::TimePoint now)
{
    if (event.outcome == RequestOutcome::NotRun && isCausedByCaller(event.reason))
        return;
    const std::int64_t number = bucketNumber(now);
    Bucket &bucket = this->buckets[static_cast<std::size_t>(number) % bucketCount];
    if (bucket.number > number)
        return; // The event is older than the long window, and its bucket has been reused.
    if (bucket.number < number)
        bucket = Bucket{number};
    switch (event.outcome) {
    case RequestOutcome::Answered:
        ++bucket.answered;
        bucket.slow += event.latency > this->objective.latency ? 1 : 0;
        break;
    case RequestOutcome::NotRun:
        ++bucket.notRun;
        break;
    case RequestOutcome::Unknown:
        ++bucket.unknown;
        break;
    }
}

BurnRow BurnCounter::burn(const core::ServiceName &service, core::Duration window,
                          core::TimePoint now) const
{
    const std::int64_t newest = bucketNumber(now);
    const std::int64_t oldest = newest - window / bucketLength + 1;
    BurnRow row;
    row.service = service;
    row.window = window;
    std::uint64_t answered = 0;
    for (const Bucket &bucket : this->buckets) {
        if (bucket.number < oldest || bucket.number > newest)
            continue;
        answered += bucket.answered;
        row.slow += bucket.slow;
        row.notRun += bucket.notRun;
        row.unknown += bucket.unknown;
    }
    row.requests = answered + row.notRun + row.unknown;
    row.availability = this->objective.availability;
    row.latency = this->objective.latency;
    row.latencyShare = this->objective.latencyShare;
    computeBurnRates(row);
    return row;
}

void computeBurnRates(BurnRow &row)
{
    const auto requests = static_cast<double>(row.requests);
    const auto answered = static_cast<double>(row.requests - row.notRun - row.unknown);
    row.budget = requests * std::max(1 - row.availability, minBudgetFraction);
    row.burnRate = rate(row.notRun + row.unknown, row.budget);
    row.latencyBurnRate =
            rate(row.slow, answered * std::max(1 - row.latencyShare, minBudgetFraction));
    row.spender = largestSpender(row);
}

} // namespace amaranthdale::report
