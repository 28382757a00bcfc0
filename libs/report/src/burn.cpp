// Use of error budgets.
#include "burn.h"

#include <algorithm>

namespace amaranthdale::report {

namespace {

// An objective of 1 allows nothing; this floor keeps burn rates finite.
constexpr double leastBudgetShare = 1e-9;

double rate(std::uint64_t spent, double budget)
{
    return spent == 0 ? 0 : static_cast<double>(spent) / budget;
}

bool causedByCaller(NotRunReason reason)
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

std::int64_t BurnCounter::numberOf(core::TimePoint time)
{
    return time.time_since_epoch() / bucketLength;
}

void BurnCounter::add(const RequestFinished &event, core::TimePoint now)
{
    if (event.outcome == RequestOutcome::NotRun && causedByCaller(event.reason))
        return;
    const std::int64_t number = numberOf(now);
    Bucket &bucket = this->buckets[static_cast<std::size_t>(number) % bucketCount];
    if (bucket.number > number)
        return; // Older than the long window.
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
    const std::int64_t newest = numberOf(now);
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
    finishBurn(row);
    return row;
}

void finishBurn(BurnRow &row)
{
    const auto requests = static_cast<double>(row.requests);
    const auto answered = static_cast<double>(row.requests - row.notRun - row.unknown);
    row.budget = requests * std::max(1 - row.availability, leastBudgetShare);
    row.burnRate = rate(row.notRun + row.unknown, row.budget);
    row.latencyBurnRate =
            rate(row.slow, answered * std::max(1 - row.latencyShare, leastBudgetShare));
    row.spender = largestSpender(row);
}

} // namespace amaranthdale::report
