// Retry budget and retry policies.
#include "amaranthdale/decisions/retry_policy.h"

#include <algorithm>

namespace amaranthdale::decisions {

namespace {

constexpr core::Duration firstDelay = std::chrono::milliseconds(10);
// 10 ms doubled five times: late attempts fall after the 320 ms that a takeover needs.
constexpr unsigned maxDoublings = 5;
constexpr unsigned maxAttempts = 8;
// A request that crashes its server shows up as a lost connection; at most two servers may be lost
// to one request.
constexpr unsigned maxConnectionsLost = 2;

// Whether another attempt can succeed where work didn't begin because of `kind`.
bool mayPass(core::ErrorKind kind)
{
    switch (kind) {
    case core::ErrorKind::Unavailable:
    case core::ErrorKind::ConnectionLost:
    case core::ErrorKind::Timeout:
    case core::ErrorKind::Overloaded:
    case core::ErrorKind::Fenced:
        return true;
    case core::ErrorKind::InvalidArgument:
    case core::ErrorKind::InvalidDocument:
    case core::ErrorKind::NotFound:
    case core::ErrorKind::Conflict:
    case core::ErrorKind::Protocol:
    case core::ErrorKind::Internal:
        return false;
    }
    return false;
}

// Why the attempt can't be repeated, or an empty text.
std::string_view objection(const RequestInfo &request, const FailedAttempt &attempt)
{
    if (attempt.outcome == RunOutcome::Answered)
        return "answered";
    if (attempt.outcome == RunOutcome::Unknown && !request.idempotent)
        return "may have run";
    if (!mayPass(attempt.kind))
        return "would fail again";
    if (attempt.connectionsLost >= maxConnectionsLost)
        return "two connections lost";
    if (attempt.attempts >= maxAttempts)
        return "too many attempts";
    return {};
}

} // namespace

RetryBudget::RetryBudget(unsigned burst) : maxCredit(burst * costOfRetry) { }

void RetryBudget::firstAttempt()
{
    this->credit = std::min(this->credit + 1, this->maxCredit);
}

bool RetryBudget::take()
{
    if (this->credit < costOfRetry)
        return false;
    this->credit -= costOfRetry;
    return true;
}

void RetryBudget::giveBack()
{
    this->credit = std::min(this->credit + costOfRetry, this->maxCredit);
}

BudgetedRetry::BudgetedRetry(RetryBudget &retryBudget, RandomSource &randomSource)
    : budget(retryBudget), random(randomSource)
{ }

void BudgetedRetry::firstAttempt()
{
    this->budget.firstAttempt();
}

RetryDecision BudgetedRetry::decide(const RequestInfo &request, const FailedAttempt &attempt,
                                    core::TimePoint now)
{
    if (const std::string_view reason = objection(request, attempt); !reason.empty())
        return {false, {}, reason};
    const core::Duration delay = this->delayFor(attempt);
    if (now + delay >= request.deadline)
        return {false, {}, "deadline"};
    if (!this->budget.take())
        return {false, {}, "budget spent"};
    return {true, delay, "retried"};
}

core::Duration BudgetedRetry::delayFor(const FailedAttempt &attempt)
{
    const unsigned doublings = std::min(std::max(attempt.attempts, 1U) - 1, maxDoublings);
    const core::Duration full = firstDelay * (1 << doublings);
    const std::uint64_t half = static_cast<std::uint64_t>((full / 2).count());
    const core::Duration jitter(static_cast<core::Duration::rep>(randomBelow(this->random, half)));
    return std::max(attempt.retryAfter, full / 2) + jitter;
}

RetryDecision NoRetry::decide(const RequestInfo &, const FailedAttempt &, core::TimePoint)
{
    return {false, {}, "retries are off"};
}

} // namespace amaranthdale::decisions
