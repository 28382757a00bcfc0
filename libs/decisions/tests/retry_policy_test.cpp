// Tests of retries, hedges and the crash filter. They guard against a second run of a request,
// retry storms, and one request crashing more than two servers.
#include "amaranthdale/decisions/retry_policy.h"
#include "request_fixtures.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::decisions;
using namespace amaranthdale::decisions::test;
using core::ErrorKind;

namespace {

const RequestInfo paymentRequest = payment("p", IdOrigin::Instance);
const RequestInfo readRequest = stockRead("r");

struct Fixture
{
    RetryBudget budget;
    RandomSource random{1};
    BudgetedRetry policy{budget, random};

    explicit Fixture(int firstAttempts = 1000)
    {
        for (int attempt = 0; attempt < firstAttempts; ++attempt)
            this->policy.firstAttempt();
    }

    bool isRetried(const RequestInfo &request, RunOutcome outcome, ErrorKind kind,
                   unsigned connectionsLost = 0)
    {
        FailedAttempt attempt;
        attempt.outcome = outcome;
        attempt.kind = kind;
        attempt.connectionsLost = connectionsLost;
        return this->policy.decide(request, attempt, start).shouldRetry;
    }
};

const core::ServerName serverOne("one");
const core::ServerName serverTwo("two");
const core::Incarnation firstIncarnation(1);

} // namespace

TEST_CASE("a payment that may have run is not retried, one that did not run is")
{
    Fixture fixture;
    for (ErrorKind kind : {ErrorKind::ConnectionLost, ErrorKind::Timeout, ErrorKind::Unavailable}) {
        CHECK_FALSE(fixture.isRetried(paymentRequest, RunOutcome::Unknown, kind));
        CHECK(fixture.isRetried(paymentRequest, RunOutcome::NotRun, kind));
        CHECK(fixture.isRetried(readRequest, RunOutcome::Unknown, kind));
    }
    CHECK_FALSE(fixture.isRetried(readRequest, RunOutcome::Answered, ErrorKind::Internal));
}

TEST_CASE("a permanent refusal, such as a ban, is not retried")
{
    Fixture fixture;
    CHECK_FALSE(fixture.isRetried(readRequest, RunOutcome::NotRun, ErrorKind::Conflict));
    CHECK_FALSE(fixture.isRetried(readRequest, RunOutcome::NotRun, ErrorKind::InvalidArgument));
}

TEST_CASE("a read that lost two servers isn't tried on a third")
{
    Fixture fixture;
    CHECK(fixture.isRetried(readRequest, RunOutcome::Unknown, ErrorKind::ConnectionLost, 1));
    CHECK_FALSE(fixture.isRetried(readRequest, RunOutcome::Unknown, ErrorKind::ConnectionLost, 2));
}

TEST_CASE("retries stay within a tenth of first attempts when everything fails")
{
    Fixture fixture(0);
    int retries = 0;
    for (int attempt = 0; attempt < 10'000; ++attempt) {
        fixture.policy.firstAttempt();
        while (fixture.isRetried(readRequest, RunOutcome::NotRun, ErrorKind::Overloaded))
            ++retries;
    }
    CHECK(retries == 1000);
}

TEST_CASE("a retry waits for the refusal's Retry-After, and isn't made after the deadline")
{
    Fixture fixture;
    FailedAttempt attempt{RunOutcome::NotRun, ErrorKind::Overloaded, milliseconds(300), 1, 0};
    const RetryDecision decision = fixture.policy.decide(readRequest, attempt, start);
    CHECK(decision.shouldRetry);
    CHECK(decision.delay >= milliseconds(300));
    CHECK(decision.delay < milliseconds(310));
    attempt.retryAfter = seconds(2);
    CHECK_FALSE(fixture.policy.decide(readRequest, attempt, start).shouldRetry);
    CHECK_FALSE(NoRetry().decide(readRequest, attempt, start).shouldRetry);
}

TEST_CASE("hedges start after the observed 95th percentile, for reads without keys only")
{
    RetryBudget budget;
    QuantileHedge hedge(budget);
    CHECK_FALSE(hedge.delayFor(readRequest, false, start));
    for (int sample = 1; sample <= 480; ++sample)
        hedge.recordLatency(milliseconds(sample % 100));
    const auto delay = hedge.delayFor(readRequest, false, start);
    REQUIRE(delay);
    CHECK(*delay >= milliseconds(92));
    CHECK(*delay <= milliseconds(97));
    CHECK_FALSE(hedge.delayFor(readRequest, true, start));
    CHECK_FALSE(hedge.delayFor(paymentRequest, false, start));
    CHECK_FALSE(hedge.delayFor(readRequest, false, start + milliseconds(1950)));
    CHECK_FALSE(NoHedge().delayFor(readRequest, false, start));
}

TEST_CASE("hedges and retries share one budget, so that a slow service isn't overloaded")
{
    Fixture fixture(10);
    QuantileHedge hedge(fixture.budget);
    CHECK(hedge.tryHedge());
    CHECK_FALSE(hedge.tryHedge());
    CHECK_FALSE(fixture.isRetried(readRequest, RunOutcome::NotRun, ErrorKind::Overloaded));
    fixture.budget.refund();
    CHECK(fixture.isRetried(readRequest, RunOutcome::NotRun, ErrorKind::Overloaded));
}

TEST_CASE("a fingerprint is banned after crashes of two servers or two incarnations, not after one")
{
    CrashFilter filter;
    filter.crashed({1, 2}, serverOne, firstIncarnation, start);
    filter.crashed({1, 2}, serverOne, firstIncarnation, start);
    CHECK_FALSE(filter.banned(1, start));
    filter.answered(2);
    filter.crashed({1, 2}, serverTwo, firstIncarnation, start + seconds(1));
    CHECK(filter.banned(1, start + seconds(1)) == CrashFilter::banDuration);
    CHECK_FALSE(filter.banned(2, start + seconds(1)));
    CHECK_FALSE(filter.banned(1, start + seconds(1) + CrashFilter::banDuration));
    filter.crashed({2}, serverTwo, core::Incarnation(2), start + seconds(2));
    CHECK(filter.banned(2, start + seconds(2)));
}

TEST_CASE("strikes at two controllers add up, and merging a ban at a peer doesn't extend it")
{
    CrashFilter here;
    CrashFilter there;
    here.crashed({1}, serverOne, firstIncarnation, start);
    there.crashed({1}, serverTwo, firstIncarnation, start);
    for (const Strike &strike : here.strikes(start))
        there.mergeStrike(strike, start);
    REQUIRE(there.banned(1, start));
    const core::TimePoint later = start + minutes(4);
    for (const Ban &ban : there.bans(later))
        here.mergeBan(ban, later);
    CHECK(here.banned(1, later) == minutes(6));
    here.mergeStrike(Strike{1, serverOne, firstIncarnation, minutes(4)}, later);
    there.mergeStrike(Strike{1, serverOne, firstIncarnation, minutes(4)}, later);
    CHECK(there.banned(1, later) == minutes(6));
}

TEST_CASE("the crash filter is bounded and old strikes expire")
{
    CrashFilter filter(4);
    for (std::uint64_t fingerprint = 1; fingerprint <= 10; ++fingerprint) {
        const core::TimePoint now = start + seconds(static_cast<int>(fingerprint));
        filter.crashed({fingerprint}, serverOne, firstIncarnation, now);
        filter.mergeBan(Ban{100 + fingerprint, CrashFilter::banDuration}, now);
    }
    const core::TimePoint lastStrikeAt = start + seconds(10);
    CHECK(filter.strikes(lastStrikeAt).size() == 4);
    CHECK(filter.bans(lastStrikeAt).size() == 4);
    CHECK(filter.banned(110, lastStrikeAt));
    filter.expire(lastStrikeAt + CrashFilter::banDuration);
    CHECK(filter.strikes(lastStrikeAt).empty());
}
