// Tests of ControlLoop. They guard against losing or repeating an append, running an id twice after
// a change of owner, and sending requests after authority has ended.
#include "control_loop.h"
#include "daemon_fixtures.h"

#include "amaranthdale/clock/manual_clock.h"
#include "amaranthdale/decisions/authority_policy.h"
#include "amaranthdale/decisions/placement.h"
#include "amaranthdale/log/capturing_log.h"
#include "amaranthdale/records/record_codec.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::daemon;
using namespace amaranthdale::daemon::test;
using core::Error;
using core::ErrorKind;
using core::LogOffset;
using decisions::RunOutcome;

namespace {

const core::InstanceId self{core::InstanceName("i1"), core::Incarnation(11)};
const core::InstanceId other{core::InstanceName("i2"), core::Incarnation(22)};
const core::ServerName server("till-1");

// A single instance that controls one server. The log, the instance list and the server are fakes.
struct Fixture
{
    clock::ManualClock clock;
    FakeSender backends;
    FakeSender peers;
    FakeLog service;
    log::CapturingLog log;
    report::Recorder recorder{{}};
    Tables tables{
            decisions::OwnershipSettings{{self, core::DataCentreName("gasabo"), false}, 1, {}},
            std::make_unique<decisions::NamedSuccessorAuthority>(decisions::OwnershipTimings{}),
            std::make_unique<decisions::RendezvousPlacement>(), this->clock.now()};
    ControlLoop loop{ControlContext{this->tables, this->clock, this->backends, this->peers,
                                    this->service, this->log, this->recorder, self,
                                    milliseconds(300)}};
    decisions::ClusterState state;
    std::uint64_t incarnation = 7; // Of the server.

    Fixture()
    {
        decisions::ServiceDocument document;
        document.service = core::ServiceName("till");
        document.hashSlots = 4;
        // Longer than the wait after an abandoned change, so that tests can distinguish the two.
        document.idempotencyWindow = std::chrono::hours(1);
        decisions::BackendServer spec;
        spec.name = server;
        spec.dataCentre = core::DataCentreName("kicukiro");
        document.servers.push_back(spec);
        this->replay({{other, 1}, {}, decisions::DocumentRecord{document}});
        this->loop.start();
    }

    void replay(const decisions::LogRecord &record) { this->replay(std::vector{record}); }

    // Replays records that a single read of the log returned.
    void replay(const std::vector<decisions::LogRecord> &batch)
    {
        for (const decisions::LogRecord &record : batch) {
            const LogOffset offset(this->state.offset().value + 1);
            const decisions::ApplyResult applied = this->state.apply(offset, record);
            this->loop.recordApplied(offset, record, applied);
        }
        const auto pointer = std::make_shared<const decisions::ClusterState>(this->state);
        this->tables.configuration.with([&](StatePointer &current) { current = pointer; });
        this->loop.replayed(pointer);
    }

    void answerServerRequests()
    {
        while (!this->backends.sent.empty()) {
            auto sent = std::move(this->backends.sent.front());
            this->backends.sent.pop_front();
            if (sent.request.target.starts_with("/-/"))
                sent.respond(core::makeResponse(
                        200,
                        R"({"incarnation":)" + std::to_string(this->incarnation)
                                + R"(,"epoch":0,"nowMs":5000,"inFlight":0,"load":0})"));
            else
                this->requests.push_back(std::move(sent));
        }
    }

    // Advances time. Meanwhile the instance list and the log's tail are read, and the server
    // responds.
    void advance(core::Duration time, bool logReadable = true)
    {
        for (core::Duration passed{}; passed < time; passed += milliseconds(10)) {
            this->loop.instancesListed({{self, core::DataCentreName("gasabo"), {}, false}});
            if (logReadable)
                this->loop.tailReached(this->clock.now());
            this->clock.advance(milliseconds(10));
            this->answerServerRequests();
        }
    }

    decisions::LogRecord appendedRecord(std::size_t index) const
    {
        auto decoded = records::decodeRecord(this->service.appends.at(index).body);
        REQUIRE(decoded);
        return *decoded;
    }

    // Acknowledges and replays appends until the server's slots are granted.
    void runUntilGranted()
    {
        for (int round = 0; round < 200; ++round) {
            this->advance(milliseconds(10));
            while (!this->service.appends.empty()) {
                const decisions::LogRecord record = this->appendedRecord(0);
                auto append = std::move(this->service.appends.front());
                this->service.appends.pop_front();
                append.respond(LogOffset(this->state.offset().value + 1));
                this->replay(record);
            }
        }
        REQUIRE(this->loop.fenceForRequest(this->payment("probe")));
    }

    ForwardRequest payment(const std::string &id) const
    {
        ForwardRequest request;
        request.server = server;
        request.info.id = core::RequestId(id);
        request.info.origin = decisions::IdOrigin::Caller;
        request.info.slot = 2;
        request.info.fingerprint = 77;
        request.info.deadline = this->clock.now() + seconds(2);
        request.ownerOnly = true;
        request.request = {"POST", "/till/pay", {}, ""};
        return request;
    }

    std::optional<ForwardResult> result;
    std::deque<FakeSender::Sent> requests; // Requests that reached the server.

    void pay(const std::string &id)
    {
        const auto runner = this->tables.runner(server);
        REQUIRE(runner);
        runner->submit(this->payment(id),
                       [this](ForwardResult ended) { this->result = std::move(ended); });
        this->answerServerRequests();
    }
};

} // namespace

TEST_CASE("an append that certainly failed may be replaced, one with an unknown outcome is "
          "repeated under the same id, and an acknowledged one is not repeated")
{
    Fixture fixture;
    fixture.advance(seconds(1));
    REQUIRE(fixture.service.appends.size() == 1);
    const decisions::LogRecord first = fixture.appendedRecord(0);
    fixture.service.appends[0].respond(Error{ErrorKind::Timeout, "lost"});
    CHECK(fixture.log.count("append-failed") == 1);
    fixture.advance(seconds(1));
    REQUIRE(fixture.service.appends.size() == 2);
    CHECK(fixture.appendedRecord(1) == first);
    fixture.service.appends[1].respond(LogOffset(2));
    fixture.advance(seconds(1));
    CHECK(fixture.service.appends.size() == 2);

    Fixture failing;
    failing.advance(seconds(1));
    REQUIRE(failing.service.appends.size() == 1);
    failing.service.appends[0].respond(Error{ErrorKind::Unavailable, "down"});
    failing.advance(seconds(1));
    REQUIRE(failing.service.appends.size() == 2);
    CHECK(failing.appendedRecord(1).id != failing.appendedRecord(0).id);
}

TEST_CASE("an id chosen by a caller is new after an initial assignment, and unknown after a "
          "takeover, when an earlier controller may have run it")
{
    Fixture fresh;
    fresh.runUntilGranted();
    fresh.pay("mine");
    CHECK(fresh.requests.size() == 1);

    Fixture takenOver;
    takenOver.replay(
            {{other, 2}, LogOffset(1), decisions::ControllerRecord{server, other, {self}}});
    takenOver.replay({{other, 3},
                      LogOffset(2),
                      decisions::SlotRecord{core::ServiceName("till"),
                                            {},
                                            {},
                                            decisions::ReassignmentReason::Initial,
                                            {{server, {0, 1, 2, 3}, {}}}}});
    takenOver.runUntilGranted();
    takenOver.pay("mine");
    CHECK(takenOver.requests.empty());
    REQUIRE(takenOver.result.has_value());
    CHECK(takenOver.result->outcome == RunOutcome::Unknown);
}

TEST_CASE("loss of control refuses queued requests and sends no more")
{
    Fixture fixture;
    fixture.runUntilGranted();
    fixture.pay("p1");
    fixture.pay("p2"); // A cold server runs one request at a time.
    REQUIRE(fixture.requests.size() == 1);
    CHECK_FALSE(fixture.result.has_value());
    const LogOffset offset = fixture.state.offset();
    fixture.replay({{other, 9}, offset, decisions::ControllerRecord{server, other, {self}, true}});
    REQUIRE(fixture.result.has_value());
    CHECK(fixture.result->outcome == RunOutcome::NotRun);
    CHECK(fixture.result->refusal.kind == ErrorKind::Fenced);
    CHECK_FALSE(fixture.loop.fenceForServer(server));
}

TEST_CASE("control by another instance in between, seen in a single read, makes its ids unknown")
{
    Fixture fixture;
    fixture.runUntilGranted();
    const LogOffset offset = fixture.state.offset();
    fixture.replay(std::vector<decisions::LogRecord>{
            {{other, 9}, offset, decisions::ControllerRecord{server, other, {self}, true}},
            {{other, 10},
             LogOffset(offset.value + 1),
             decisions::ControllerRecord{server, self, {other}}}});
    fixture.runUntilGranted();
    fixture.advance(decisions::OwnershipTimings().maxPromiseAuthority + seconds(1));
    fixture.pay("run by the other instance");
    CHECK(fixture.requests.empty());
    REQUIRE(fixture.result.has_value());
    CHECK(fixture.result->outcome == RunOutcome::Unknown);
}

TEST_CASE("a ledger is final only when the change is replayed and no more requests may be sent")
{
    Fixture fixture;
    fixture.runUntilGranted();
    const LogOffset offset = fixture.state.offset();
    CHECK_FALSE(fixture.loop.ledgerIsFinal(server, {0}, offset));
    const LogOffset next(offset.value + 1);
    CHECK_FALSE(fixture.loop.ledgerIsFinal(server, {0}, next));
    fixture.replay({{other, 9}, offset, decisions::ControllerRecord{server, other, {self}, true}});
    CHECK(fixture.loop.ledgerIsFinal(server, {0}, next));
}

TEST_CASE("authority from promises alone expires, and requests that arrive later are not sent")
{
    Fixture fixture;
    fixture.runUntilGranted();
    // No successor is named, so only an abandoned change, which waits for this limit, can follow.
    fixture.advance(decisions::OwnershipTimings().maxPromiseAuthority + seconds(1), false);
    fixture.pay("p1");
    CHECK(fixture.requests.empty());
    REQUIRE(fixture.result.has_value());
    CHECK(fixture.result->outcome == RunOutcome::NotRun);
}

TEST_CASE("a server's reply with a new incarnation adds a strike to the requests in flight")
{
    Fixture fixture;
    fixture.runUntilGranted();
    fixture.pay("p1");
    fixture.incarnation = 8;
    fixture.advance(milliseconds(300));
    const auto strikes =
            fixture.tables.crashFilter->with([&](const decisions::CrashFilter &filter) {
                return filter.strikes(fixture.clock.now());
            });
    REQUIRE(strikes.size() == 1);
    CHECK(strikes[0].fingerprint == 77);
    CHECK(strikes[0].incarnation == core::Incarnation(7));
}

TEST_CASE("a server that lost a request's connection and stays unreachable adds a strike to that "
          "request")
{
    Fixture fixture;
    fixture.runUntilGranted();
    fixture.pay("p1");
    REQUIRE(fixture.requests.size() == 1);
    fixture.requests.front().respond(core::Error{ErrorKind::ConnectionLost, "reset"});
    while (!fixture.backends.sent.empty())
        fixture.backends.sent.pop_front();
    fixture.clock.advance(milliseconds(150)); // A renewal is due.
    REQUIRE_FALSE(fixture.backends.sent.empty());
    fixture.backends.sent.front().respond(core::Error{ErrorKind::Unavailable, "refused"});
    const auto strikes =
            fixture.tables.crashFilter->with([&](const decisions::CrashFilter &filter) {
                return filter.strikes(fixture.clock.now());
            });
    REQUIRE(strikes.size() == 1);
    CHECK(strikes[0].fingerprint == 77);
}

TEST_CASE("a ledger that can't evict entries because the log doesn't advance gets a new offset")
{
    Fixture fixture;
    fixture.runUntilGranted();
    const std::string offset = std::to_string(fixture.state.offset().value);
    decisions::SlotLedger ledger;
    ledger.slot = 2;
    ledger.knownSince = LogOffset(1);
    for (std::size_t count = 0; count <= decisions::LedgerOptions().maxEntries / 2; ++count) {
        const std::string digits = std::to_string(count);
        ledger.entries.push_back(
                {"amd-" + offset + "-" + std::string(32 - digits.size(), '0') + digits,
                 decisions::EntryState::Unknown, 1, std::chrono::minutes(3), nullptr});
    }
    fixture.tables.runner(server)->updateDispatcher(
            [&](decisions::ServerDispatcher &dispatcher, core::TimePoint now) {
                REQUIRE(dispatcher.importSlot(ledger, now));
                return decisions::Actions();
            });
    fixture.advance(milliseconds(1100));
    REQUIRE(fixture.service.appends.size() >= 1);
    CHECK(fixture.service.appends.size() <= 2);
    const decisions::LogRecord record = fixture.appendedRecord(0);
    fixture.replay(record);
    CHECK(std::to_string(fixture.state.offset().value) != offset);
    CHECK(fixture.tables.crashFilter->with([&](const decisions::CrashFilter &filter) {
        return filter.bans(fixture.clock.now()).empty();
    }));
}

TEST_CASE("a ban on the log applies on this instance too, so that a request crashes no further "
          "server")
{
    Fixture fixture;
    fixture.runUntilGranted();
    fixture.replay({{other, 9}, fixture.state.offset(), decisions::CrashRecord{77, seconds(60)}});
    fixture.pay("p1");
    CHECK(fixture.requests.empty());
    REQUIRE(fixture.result.has_value());
    CHECK(fixture.result->refusal.kind == ErrorKind::Conflict);
}
