// Tests of the event recorder.
#include "amaranthdale/report/recorder.h"

#include <doctest/doctest.h>

#include <random>
#include <thread>

using namespace amaranthdale;
using namespace amaranthdale::report;
using namespace std::chrono_literals;

namespace {

const core::ServiceName stockroom("stockroom");
const core::TimePoint start{1h};

RequestFinished finished(RequestOutcome outcome, core::Duration latency = 1ms)
{
    RequestFinished event;
    event.service = stockroom;
    event.dataCentre = core::DataCentreName("gasabo");
    event.server = core::ServerName("s1");
    event.outcome = outcome;
    event.latency = latency;
    if (outcome == RequestOutcome::NotRun)
        event.reason = NotRunReason::Overloaded;
    return event;
}

struct RecorderFixture
{
    RecorderFixture()
    {
        decisions::Objective objective;
        objective.availability = 0.9;
        objective.latency = 10ms;
        objective.latencyShare = 0.5;
        recorder.documentApplied(stockroom, objective, core::LogOffset(7));
    }

    Recorder recorder{{core::InstanceName("i1"), core::DataCentreName("kicukiro")}};
};

} // namespace

TEST_CASE_FIXTURE(RecorderFixture, "outcomes and reasons of refusals are counted separately")
{
    RequestFinished retried = finished(RequestOutcome::Answered);
    retried.retried = true;
    recorder.requestFinished(retried, start);
    recorder.requestFinished(finished(RequestOutcome::NotRun), start);
    recorder.requestFinished(finished(RequestOutcome::Unknown), start);
    const ReportPart part = recorder.snapshot(start);
    REQUIRE(part.requests.size() == 1);
    CHECK(part.requests[0].answered == 1);
    CHECK(part.requests[0].notRun == 1);
    CHECK(part.requests[0].unknown == 1);
    CHECK(part.requests[0].retried == 1);
    REQUIRE(part.refusals.size() == 1);
    CHECK(part.refusals[0].reason == NotRunReason::Overloaded);
    CHECK(part.configuration[0].version == core::LogOffset(7));
}

TEST_CASE_FIXTURE(RecorderFixture,
                  "requests for unknown services share one row, so that they don't grow the report")
{
    for (int number = 0; number < 100; ++number) {
        RequestFinished event = finished(RequestOutcome::NotRun);
        event.service = core::ServiceName("invented" + std::to_string(number));
        recorder.requestFinished(event, start);
    }
    const ReportPart part = recorder.snapshot(start);
    CHECK(part.requests.size() == 1);
    CHECK(part.requests[0].notRun == 100);
    CHECK(part.burn.size() == 2);
}

TEST_CASE_FIXTURE(RecorderFixture, "quantiles of a known distribution are within 5 percent")
{
    std::mt19937 random(20260101);
    std::uniform_int_distribution<int> latency(1, 10000);
    for (int count = 0; count < 20000; ++count)
        recorder.requestFinished(finished(RequestOutcome::Answered, latency(random) * 1us), start);
    const RequestRow row = recorder.snapshot(start).requests[0];
    CHECK(std::chrono::duration<double>(row.latency50).count()
          == doctest::Approx(5e-3).epsilon(0.05));
    CHECK(std::chrono::duration<double>(row.latency95).count()
          == doctest::Approx(9.5e-3).epsilon(0.05));
    CHECK(std::chrono::duration<double>(row.latency99).count()
          == doctest::Approx(9.9e-3).epsilon(0.05));
}

TEST_CASE_FIXTURE(RecorderFixture, "quantiles of few samples are exact, since P-square gives none")
{
    for (int count = 1; count <= 20; ++count)
        recorder.requestFinished(finished(RequestOutcome::Answered, count * 1ms), start);
    const RequestRow row = recorder.snapshot(start).requests[0];
    CHECK(row.latency50 == 10ms);
    CHECK(row.latency95 == 19ms);
    CHECK(row.latency99 == 20ms);
}

TEST_CASE_FIXTURE(RecorderFixture, "quantiles exclude samples of past intervals")
{
    for (int count = 0; count < 200; ++count)
        recorder.requestFinished(finished(RequestOutcome::Answered, 900ms), start);
    for (int count = 0; count < 200; ++count)
        recorder.requestFinished(finished(RequestOutcome::Answered, 1ms), start + 6min);
    CHECK(recorder.snapshot(start + 6min).requests[0].latency99 == 1ms);
}

TEST_CASE_FIXTURE(RecorderFixture, "the burn names the outcome that consumed most of the budget")
{
    for (int count = 0; count < 80; ++count)
        recorder.requestFinished(finished(RequestOutcome::Answered), start);
    for (int count = 0; count < 5; ++count)
        recorder.requestFinished(finished(RequestOutcome::NotRun), start);
    for (int count = 0; count < 15; ++count)
        recorder.requestFinished(finished(RequestOutcome::Unknown), start);
    const BurnRow burn = recorder.snapshot(start).burn[0];
    CHECK(burn.requests == 100);
    CHECK(burn.budget == doctest::Approx(10));
    CHECK(burn.burnRate == doctest::Approx(2));
    CHECK(burn.spender == Spender::Unknown);
}

TEST_CASE_FIXTURE(RecorderFixture, "slow responses consume the latency budget")
{
    recorder.requestFinished(finished(RequestOutcome::Answered, 11ms), start);
    const BurnRow burn = recorder.snapshot(start).burn[0];
    CHECK(burn.burnRate == 0);
    CHECK(burn.latencyBurnRate == doctest::Approx(2));
    CHECK(burn.spender == Spender::Slow);
}

TEST_CASE_FIXTURE(RecorderFixture, "errors caused by the caller don't consume the budget")
{
    RequestFinished event = finished(RequestOutcome::NotRun);
    event.reason = NotRunReason::InvalidRequest;
    recorder.requestFinished(event, start);
    CHECK(recorder.snapshot(start).burn[0].requests == 0);
}

TEST_CASE_FIXTURE(RecorderFixture,
                  "requests leave the short window after 5 min and the long one after 1 h")
{
    recorder.requestFinished(finished(RequestOutcome::NotRun), start);
    const auto requestsAt = [this](core::Duration later, std::size_t window) {
        return recorder.snapshot(start + later).burn.at(window).requests;
    };
    CHECK(requestsAt(4min + 50s, 0) == 1);
    CHECK(requestsAt(5min, 0) == 0);
    CHECK(requestsAt(59min, 1) == 1);
    CHECK(requestsAt(1h, 1) == 0);
    // A reused bucket starts at zero.
    recorder.requestFinished(finished(RequestOutcome::NotRun), start + 1h);
    CHECK(requestsAt(1h, 1) == 1);
}

TEST_CASE_FIXTURE(RecorderFixture, "unavailable time is weighted by the number of slots")
{
    const core::ServerName server("s1");
    recorder.slotsUnavailable({stockroom, server, 10, start, start + 300ms});
    recorder.slotsUnavailable({stockroom, server, 1, start, start + 100ms});
    const UnavailableRow row = recorder.snapshot(start).unavailable[0];
    CHECK(row.intervals == 2);
    CHECK(row.longest == 300ms);
    CHECK(row.slotTime == 3100ms);
}

TEST_CASE_FIXTURE(RecorderFixture, "load is replaced or removed, ownership changes accumulate")
{
    const core::ServerName server("s1");
    recorder.serverLoad({stockroom, server, 1, 0, 1, LimitReason::Start});
    recorder.serverLoad({stockroom, server, 4, 2, 4, LimitReason::RequestSlots});
    recorder.ownershipChanged({stockroom, server, 10, OwnershipCause::ServerLost});
    recorder.ownershipChanged({stockroom, server, 5, OwnershipCause::ServerLost});
    const ReportPart part = recorder.snapshot(start);
    REQUIRE(part.loads.size() == 1);
    CHECK(part.loads[0].limit == 4);
    REQUIRE(part.ownership.size() == 1);
    CHECK(part.ownership[0].slots == 15);
    recorder.removeLoad(server);
    CHECK(recorder.snapshot(start).loads.empty());
}

TEST_CASE_FIXTURE(RecorderFixture, "concurrent events are all counted")
{
    std::vector<std::thread> workers;
    for (int worker = 0; worker < 4; ++worker) {
        workers.emplace_back([this] {
            for (int count = 0; count < 5000; ++count)
                recorder.requestFinished(finished(RequestOutcome::Answered), start);
        });
    }
    for (std::thread &worker : workers)
        worker.join();
    CHECK(recorder.snapshot(start).requests[0].answered == 20000);
}
