// Tests of CallerRequest. They guard against sending a payment twice, responding to a caller twice
// and reporting a wrong outcome.
#include "caller_request.h"
#include "daemon_fixtures.h"

#include "amaranthdale/clock/manual_clock.h"
#include "amaranthdale/core/hash.h"
#include "amaranthdale/decisions/authority_policy.h"
#include "amaranthdale/decisions/placement.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::daemon;
using namespace amaranthdale::daemon::test;
using core::ErrorKind;
using core::LogOffset;
using decisions::RunOutcome;

namespace {

const core::InstanceId controller{core::InstanceName("i1"), core::Incarnation(11)};
const core::ServiceName till("till");

decisions::ServiceDocument documentOf(bool keyed)
{
    decisions::ServiceDocument document;
    document.service = till;
    document.hashSlots = 4;
    if (keyed)
        document.key = {decisions::ValueSource::Kind::Header, "X-Customer", 0};
    for (const char *name : {"till-1", "till-2"}) {
        decisions::BackendServer server;
        server.name = core::ServerName(name);
        document.servers.push_back(server);
    }
    return document;
}

// An entry instance with a fake forwarder. Both servers have a controller; no slot has an owner
// until `assignSlots`.
struct Fixture
{
    clock::ManualClock clock;
    decisions::ClusterState state;
    Tables tables{
            decisions::OwnershipSettings{},
            std::make_unique<decisions::NamedSuccessorAuthority>(decisions::OwnershipTimings{}),
            std::make_unique<decisions::RendezvousPlacement>(), this->clock.now()};
    tables::Guarded<EntryTable> entry{tables::LockRank::Requests, 7U};
    FakeForwarder forwarder;
    report::Recorder recorder{{}};
    bool keyed;
    std::vector<core::HttpResponse> responses;

    explicit Fixture(bool keyedService) : keyed(keyedService)
    {
        this->append(decisions::DocumentRecord{documentOf(this->keyed)});
        for (const char *name : {"till-1", "till-2"})
            this->append(
                    decisions::ControllerRecord{core::ServerName(name), controller, {}, false});
        // Fills the retry budget for a few retries and hedges.
        this->entry.with([](EntryTable &table) {
            for (int count = 0; count < 100; ++count)
                table.retry->firstAttempt();
        });
    }

    void append(decisions::RecordBody body)
    {
        const LogOffset before = this->state.offset();
        const LogOffset next(before.value + 1);
        REQUIRE(this->state.apply(next, {{controller, next.value}, before, std::move(body)})
                        .accepted);
        auto pointer = std::make_shared<const decisions::ClusterState>(this->state);
        this->tables.configuration.with([&](StatePointer &current) { current = pointer; });
    }

    void assignSlots()
    {
        this->append(decisions::SlotRecord{till,
                                           {},
                                           {},
                                           decisions::ReassignmentReason::Initial,
                                           {{core::ServerName("till-1"), {0, 1, 2, 3}, {}}}});
    }

    std::shared_ptr<CallerRequest> start(const std::string &method, core::Headers headers = {})
    {
        headers.push_back({"X-Customer", "ines"});
        core::HttpRequest request{method, "/till/pay", std::move(headers), "amount=5"};
        auto routed = core::attempt([&] {
            return this->entry.with([&](EntryTable &table) {
                return decisions::routeRequest(*this->state.findService(till), request,
                                               this->state.offset(), table.random,
                                               this->clock.now());
            });
        });
        REQUIRE(routed);
        auto started =
                std::make_shared<CallerRequest>(EntryContext{this->tables, this->entry, this->clock,
                                                             this->forwarder, this->recorder},
                                                std::move(*routed), this->keyed, std::move(request),
                                                [this](core::Outcome<core::HttpResponse> response) {
                                                    REQUIRE(response);
                                                    this->responses.push_back(std::move(*response));
                                                });
        started->start();
        return started;
    }

    void completeAttempt(std::size_t index, ForwardResult result)
    {
        auto handler = std::exchange(this->forwarder.forwarded.at(index).handler, nullptr);
        handler(std::move(result));
    }

    const core::HttpResponse &onlyResponse() const
    {
        REQUIRE(this->responses.size() == 1);
        return this->responses.front();
    }
};

ForwardResult answered(const std::string &body)
{
    ForwardResult result;
    result.outcome = RunOutcome::Answered;
    result.response = core::makeResponse(200, body);
    return result;
}

std::string outcomeOf(const core::HttpResponse &response)
{
    return std::string(core::findHeader(response.headers, "X-Outcome").value_or(""));
}

} // namespace

TEST_CASE("a payment with an unknown outcome is not retried, and its caller is told that it is "
          "unknown")
{
    Fixture fixture(true);
    fixture.assignSlots();
    fixture.start("POST");
    fixture.completeAttempt(0, refuse(RunOutcome::Unknown, ErrorKind::ConnectionLost, "lost"));
    fixture.clock.advance(seconds(3));
    CHECK(fixture.forwarder.forwarded.size() == 1);
    CHECK(fixture.onlyResponse().status == 504);
    CHECK(outcomeOf(fixture.onlyResponse()) == "unknown");
    CHECK_FALSE(core::findHeader(fixture.onlyResponse().headers, "Retry-After"));
}

TEST_CASE("an earlier attempt that may have run makes the final outcome unknown, whatever the last "
          "attempt returns")
{
    Fixture fixture(true);
    fixture.assignSlots();
    fixture.start("GET");
    fixture.completeAttempt(0, refuse(RunOutcome::Unknown, ErrorKind::Timeout, "late"));
    fixture.clock.advance(milliseconds(100));
    REQUIRE(fixture.forwarder.forwarded.size() == 2);
    fixture.completeAttempt(1, refuse(RunOutcome::NotRun, ErrorKind::Conflict, "banned"));
    CHECK(outcomeOf(fixture.onlyResponse()) == "unknown");
}

TEST_CASE("a request that certainly did not run is retried within its deadline")
{
    Fixture fixture(true);
    fixture.assignSlots();
    fixture.start("POST");
    fixture.completeAttempt(
            0, refuse(RunOutcome::NotRun, ErrorKind::Overloaded, "busy", milliseconds(30)));
    fixture.clock.advance(milliseconds(29));
    CHECK(fixture.forwarder.forwarded.size() == 1);
    fixture.clock.advance(milliseconds(30));
    REQUIRE(fixture.forwarder.forwarded.size() == 2);
    fixture.completeAttempt(1, answered("paid"));
    CHECK(bodyOf(fixture.onlyResponse()) == "paid");
    CHECK(outcomeOf(fixture.onlyResponse()) == "answered");
}

TEST_CASE("a request waits for an owner during a takeover instead of being refused")
{
    Fixture fixture(true);
    fixture.start("GET");
    fixture.clock.advance(milliseconds(500));
    CHECK(fixture.forwarder.forwarded.empty());
    CHECK(fixture.responses.empty());
    fixture.assignSlots();
    fixture.clock.advance(milliseconds(20));
    REQUIRE(fixture.forwarder.forwarded.size() == 1);
    CHECK(fixture.forwarder.forwarded[0].request.server == core::ServerName("till-1"));
}

TEST_CASE("a request without an owner until its deadline is refused as not run, with Retry-After")
{
    Fixture fixture(true);
    fixture.start("GET", {{"X-Timeout-Ms", "300"}});
    fixture.clock.advance(milliseconds(300));
    CHECK(fixture.onlyResponse().status == 503);
    CHECK(outcomeOf(fixture.onlyResponse()) == "not-run");
    CHECK(core::findHeader(fixture.onlyResponse().headers, "Retry-After") == "1");
    CHECK(core::findHeader(fixture.onlyResponse().headers, "X-Request-Id").has_value());
    CHECK(fixture.entry.with([](const EntryTable &table) { return table.waiting; }) == 0);
}

TEST_CASE("a payment that may be a resend is not reported as not run when no controller has "
          "authority")
{
    Fixture fixture(true);
    fixture.start("POST", {{"X-Timeout-Ms", "100"}, {"Idempotency-Key", "mine"}});
    fixture.clock.advance(milliseconds(100));
    CHECK(outcomeOf(fixture.onlyResponse()) == "unknown");
    CHECK(fixture.onlyResponse().status == 504);
}

TEST_CASE("the first response to a hedged request is returned, and the other attempt is cancelled")
{
    for (const std::size_t winner : {0U, 1U}) {
        Fixture fixture(false);
        fixture.entry.with([](EntryTable &table) {
            for (int count = 0; count < 512; ++count)
                table.hedge->recordLatency(milliseconds(5));
        });
        fixture.start("GET");
        fixture.clock.advance(milliseconds(50));
        REQUIRE(fixture.forwarder.forwarded.size() == 2);
        const auto &attempts = fixture.forwarder.forwarded;
        CHECK(attempts[0].request.server != attempts[1].request.server);
        fixture.completeAttempt(winner, answered("winner"));
        CHECK(attempts[1 - winner].exchange->cancelCount == 1);
        CHECK(attempts[winner].exchange->cancelCount == 0);
        fixture.completeAttempt(1 - winner, answered("loser"));
        CHECK(bodyOf(fixture.onlyResponse()) == "winner");
    }
}

TEST_CASE("a payment is never hedged")
{
    Fixture fixture(false);
    fixture.assignSlots();
    fixture.entry.with([](EntryTable &table) {
        for (int count = 0; count < 512; ++count)
            table.hedge->recordLatency(milliseconds(5));
    });
    fixture.start("POST");
    fixture.clock.advance(seconds(1));
    CHECK(fixture.forwarder.forwarded.size() == 1);
}

TEST_CASE("a disconnected caller gets no response, and its attempt is cancelled")
{
    Fixture fixture(true);
    fixture.assignSlots();
    const auto request = fixture.start("GET");
    request->cancel();
    request->cancel();
    CHECK(fixture.forwarder.forwarded[0].exchange->cancelCount == 1);
    fixture.completeAttempt(0, refuse(RunOutcome::Unknown, ErrorKind::ConnectionLost, "cancelled"));
    fixture.clock.advance(seconds(3));
    CHECK(fixture.responses.empty());
    CHECK(fixture.forwarder.forwarded.size() == 1);
}

TEST_CASE(
        "a caller that disconnects while its request is being forwarded still cancels the attempt")
{
    Fixture fixture(true);
    std::shared_ptr<CallerRequest> request = fixture.start("GET"); // Waits for an owner.
    fixture.assignSlots();
    fixture.forwarder.onForward = [&] { request->cancel(); };
    fixture.clock.advance(milliseconds(20));
    REQUIRE(fixture.forwarder.forwarded.size() == 1);
    CHECK(fixture.forwarder.forwarded[0].exchange->cancelCount == 1);
}

TEST_CASE("an id generated here that predates the controller's ledger is regenerated, since no "
          "controller with that ledger would run it")
{
    for (const bool keyed : {true, false}) {
        Fixture fixture(keyed);
        fixture.assignSlots();
        fixture.start("POST");
        const auto firstId = fixture.forwarder.forwarded[0].request.info.id;
        CHECK(decisions::parseIssuedId(firstId.value) == LogOffset(4));
        fixture.append(decisions::DataCentreRecord{core::DataCentreName("gasabo"), true});
        fixture.completeAttempt(
                0, refuse(RunOutcome::NotRun, ErrorKind::Fenced, "older than the memory"));
        fixture.clock.advance(milliseconds(20));
        REQUIRE(fixture.forwarder.forwarded.size() == 2);
        const ForwardRequest &second = fixture.forwarder.forwarded[1].request;
        CHECK(decisions::parseIssuedId(second.info.id.value) == LogOffset(5));
        CHECK(second.key == (keyed ? std::string("ines") : second.info.id.value));
        CHECK(second.info.slot == core::slotForKey(*second.key, 0, 4));
        fixture.completeAttempt(1, answered("paid"));
        CHECK(core::findHeader(fixture.onlyResponse().headers, "X-Request-Id")
              == second.info.id.value);
    }
}

TEST_CASE("an id supplied by the caller is kept, since another instance may have run it")
{
    Fixture fixture(true);
    fixture.assignSlots();
    const std::string given = "amd-1-" + std::string(32, '0');
    fixture.start("POST", {{"Idempotency-Key", given}});
    fixture.append(decisions::DataCentreRecord{core::DataCentreName("gasabo"), true});
    fixture.completeAttempt(0, refuse(RunOutcome::NotRun, ErrorKind::Fenced, "moved"));
    fixture.clock.advance(milliseconds(20));
    REQUIRE(fixture.forwarder.forwarded.size() == 2);
    CHECK(fixture.forwarder.forwarded[1].request.info.id.value == given);
}
