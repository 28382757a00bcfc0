// RetryBudget and the retry policies.
#include "amaranthdale/decisions/retry_policy.h"

#include <algorithm>

namespace amaranthdale::decisions {

namespace {

constexpr core::Duration initialDelay = std::chrono::milliseconds(10);
// Caps the delay at 10 ms * 2^5 = 320 ms, the duration of a takeover, so that late attempts are
// made after it.
constexpr unsigned maxDoublings = 5;
constexpr unsigned maxAttempts = 8;
// A request that crashes its server ends with a lost connection. At most two servers may be lost to
// the same request.
constexpr unsigned maxConnectionsLost = 2;

// Whether a retry can succeed after an error of this kind.
bool isRetryable(core::ErrorKind kind)
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

// Reason why the attempt must not be retried, or an empty string.
std::string_view reasonNotToRetry(const RequestInfo &request, const FailedAttempt &attempt)
{
    if (attempt.outcome == RunOutcome::Answered)
        return "answered";
    if (attempt.outcome == RunOutcome::Unknown && !request.idempotent)
        return "may have run";
    if (!isRetryable(attempt.kind))
        return "not retryable";
    if (attempt.connectionsLost >= maxConnectionsLost)
        return "two connections lost";
    if (attempt.attempts >= maxAttempts)
        return "too many attempts";
    return {};
}

} // namespace

RetryBudget::RetryBudget(unsigned burst) : maxCredit(burst * creditPerRetry) { }

void RetryBudget::firstAttempt()
{
    this->credit = std::min(this->credit + 1, this->maxCredit);
}

bool RetryBudget::tryTake()
{
    if (this->credit < creditPerRetry)
        return false;
    this->credit -= creditPerRetry;
    return true;
}

void RetryBudget::refund()
{
    this->credit = std::min(this->credit + creditPerRetry, this->maxCredit);
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
    if (const std::string_view reason = reasonNotToRetry(request, attempt); !reason.empty())
        return {false, {}, reason};
    const core::Duration delay = this->delayFor(attempt);
    if (now + delay >= request.deadline)
        return {false, {}, "deadline"};
    if (!this->budget.tryTake())
        return {false, {}, "retry budget exhausted"};
    return {true, delay, "retried"};
}

core::Duration BudgetedRetry::delayFor(const FailedAttempt &attempt)
{
    const unsigned doublings = std::min(std::max(attempt.attempts, 1U) - 1, maxDoublings);
    const core::Duration nominalDelay = initialDelay * (1 << doublings);
    const std::uint64_t jitterBound = static_cast<std::uint64_t>((nominalDelay / 2).count());
    const core::Duration jitter(
            static_cast<core::Duration::rep>(randomBelow(this->random, jitterBound)));
    return std::max(attempt.retryAfter, nominalDelay / 2) + jitter;
}

RetryDecision NoRetry::decide(const RequestInfo &, const FailedAttempt &, core::TimePoint)
{
    return {false, {}, "retries are disabled"};
}

} // namespace amaranthdale::decisions
