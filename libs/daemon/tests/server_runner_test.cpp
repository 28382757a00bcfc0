// Tests of ServerRunner with the real dispatcher. They guard against running a payment twice,
// sending without authority, overloading a server and reporting a wrong outcome.
#include "daemon_fixtures.h"

#include "amaranthdale/clock/manual_clock.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::daemon;
using namespace amaranthdale::daemon::test;
using core::Error;
using core::ErrorKind;
using core::LogOffset;
using decisions::RunOutcome;

namespace {

constexpr core::SlotIndex ownedSlot = 3;

decisions::ServerDispatcher makeDispatcher(unsigned firstLimit, core::TimePoint now)
{
    decisions::DispatcherOptions options;
    options.server = core::ServerName("till-1");
    decisions::ServerDispatcher dispatcher(
            std::move(options),
            std::make_unique<decisions::AdaptiveLimit>(decisions::LimitBounds{firstLimit, 4}, now),
            std::make_shared<tables::Guarded<decisions::CrashFilter>>(tables::LockRank::Requests));
    dispatcher.replayed(LogOffset(5), now);
    dispatcher.startSlot(ownedSlot, LogOffset(5), true, now);
    return dispatcher;
}

// A runner with a fake server. It owns one slot, since offset 5.
struct Fixture
{
    clock::ManualClock clock;
    FakeSender server;
    FakeGate gate;
    std::shared_ptr<ServerRunner> runner;
    std::deque<std::optional<ForwardResult>> results; // In order of submission.

    explicit Fixture(unsigned firstLimit = 1)
        : runner(std::make_shared<ServerRunner>(
                RunnerContext{this->clock, this->server, this->gate}, core::ServerName("till-1"),
                core::Endpoint{"127.0.0.1", 1}, makeDispatcher(firstLimit, this->clock.now())))
    { }

    ForwardRequest request(const std::string &id, bool idempotent) const
    {
        ForwardRequest request;
        request.server = core::ServerName("till-1");
        request.info.id = core::RequestId(id);
        request.info.origin = decisions::IdOrigin::Caller;
        request.info.slot = ownedSlot;
        request.info.idempotent = idempotent;
        request.info.fingerprint = std::hash<std::string>()(id);
        request.info.deadline = this->clock.now() + seconds(2);
        request.ownerOnly = true;
        request.key = "ines";
        request.request = {idempotent ? "GET" : "POST", "/till/pay", {}, "amount=5"};
        return request;
    }

    std::shared_ptr<core::Exchange> submit(ForwardRequest request)
    {
        auto &result = this->results.emplace_back();
        return this->runner->submit(std::move(request), [&result](ForwardResult ended) {
            REQUIRE_FALSE(result.has_value()); // A request must not end twice.
            result = std::move(ended);
        });
    }
    std::shared_ptr<core::Exchange> pay(const std::string &id)
    {
        return this->submit(this->request(id, false));
    }
    std::shared_ptr<core::Exchange> get(const std::string &id)
    {
        return this->submit(this->request(id, true));
    }

    void respondTo(std::size_t index, core::Outcome<core::HttpResponse> response)
    {
        auto respond = std::exchange(this->server.sent.at(index).respond, nullptr);
        respond(std::move(response));
    }

    void checkOutcome(std::size_t index, RunOutcome outcome, ErrorKind kind) const
    {
        REQUIRE(this->results.at(index).has_value());
        CHECK(this->results[index]->outcome == outcome);
        CHECK(this->results[index]->refusal.outcome == outcome);
        CHECK(this->results[index]->refusal.kind == kind);
    }
};

} // namespace

TEST_CASE("a request that the gate refuses is not sent, and ends as not run")
{
    Fixture fixture;
    fixture.gate.granted = false;
    fixture.pay("p1");
    CHECK(fixture.server.sent.empty());
    fixture.checkOutcome(0, RunOutcome::NotRun, ErrorKind::Fenced);
}

TEST_CASE("a request is not sent if authority ends between admission and sending")
{
    Fixture fixture;
    fixture.gate.refuseFromQuery = 2; // Admission queries first, sending second.
    fixture.pay("p1");
    CHECK(fixture.server.sent.empty());
    fixture.checkOutcome(0, RunOutcome::NotRun, ErrorKind::Fenced);
    CHECK(fixture.runner->idle());
    fixture.gate.refuseFromQuery = 0;
    fixture.pay("p1"); // It certainly didn't run, so the same id may be sent.
    CHECK(fixture.server.count("POST") == 1);
}

TEST_CASE("if authority ends while requests are queued, all are refused and none is sent")
{
    Fixture fixture;
    fixture.pay("p1");
    fixture.pay("p2");
    fixture.pay("p3");
    REQUIRE(fixture.server.count("POST") == 1);
    fixture.gate.granted = false;
    fixture.respondTo(0, core::makeResponse(200, "paid"));
    CHECK(fixture.server.count("POST") == 1);
    CHECK(fixture.results[0]->outcome == RunOutcome::Answered);
    fixture.checkOutcome(1, RunOutcome::NotRun, ErrorKind::Fenced);
    fixture.checkOutcome(2, RunOutcome::NotRun, ErrorKind::Fenced);
}

TEST_CASE("a sent request carries fencing token, slot, id and remaining time for the server to "
          "check, and no header outside the protocol")
{
    Fixture fixture;
    fixture.pay("p1");
    REQUIRE(fixture.server.sent.size() == 1);
    const core::Headers &headers = fixture.server.sent[0].request.headers;
    CHECK(core::findHeader(headers, "X-Fence") == "5.2");
    CHECK(core::findHeader(headers, "X-Slot") == "3");
    CHECK_FALSE(core::findHeader(headers, "X-Key").has_value());
    CHECK(core::findHeader(headers, "X-Request-Id") == "p1");
    CHECK(core::findHeader(headers, "X-Deadline-Ms") == "2000");
    CHECK(fixture.server.sent[0].timeout == seconds(2));
}

TEST_CASE("a server's refusal with X-Not-Run ends as not run, and the same id may be sent again")
{
    Fixture fixture;
    fixture.pay("p1");
    fixture.respondTo(0, notRun(503));
    fixture.checkOutcome(0, RunOutcome::NotRun, ErrorKind::Overloaded);
    fixture.pay("p1");
    REQUIRE(fixture.server.count("POST") == 2);
    fixture.respondTo(1, notRun(409));
    fixture.checkOutcome(1, RunOutcome::NotRun, ErrorKind::Fenced);
    // A 503 without the header is the response to a request that ran.
    fixture.pay("p2");
    fixture.respondTo(2, core::makeResponse(503, "no stock"));
    CHECK(fixture.results[2]->outcome == RunOutcome::Answered);
}

TEST_CASE("a payment whose connection was lost has an unknown outcome and is never sent again")
{
    for (const ErrorKind kind :
         {ErrorKind::ConnectionLost, ErrorKind::Timeout, ErrorKind::Protocol}) {
        Fixture fixture;
        fixture.pay("p1");
        fixture.respondTo(0, Error{kind, "lost"});
        fixture.checkOutcome(0, RunOutcome::Unknown, kind);
        fixture.pay("p1");
        CHECK(fixture.server.count("POST") == 1);
        REQUIRE(fixture.results[1].has_value());
        CHECK(fixture.results[1]->outcome == RunOutcome::Unknown);
    }
}

TEST_CASE("an unreachable server ran nothing, so the payment may be sent again")
{
    Fixture fixture;
    fixture.pay("p1");
    fixture.respondTo(0, Error{ErrorKind::Unavailable, "refused"});
    fixture.checkOutcome(0, RunOutcome::NotRun, ErrorKind::Unavailable);
    fixture.pay("p1");
    CHECK(fixture.server.count("POST") == 2);
}

TEST_CASE("a resend gets the stored response of the first request")
{
    Fixture fixture;
    fixture.pay("p1");
    fixture.respondTo(0, core::makeResponse(201, "receipt 1"));
    fixture.pay("p1");
    CHECK(fixture.server.count("POST") == 1);
    for (const auto &result : fixture.results) {
        REQUIRE(result.has_value());
        CHECK(result->outcome == RunOutcome::Answered);
        CHECK(result->response.status == 201);
        CHECK(bodyOf(result->response) == "receipt 1");
    }
}

TEST_CASE("a resend while the first request is in flight waits for it and gets the same response")
{
    Fixture fixture(4);
    fixture.pay("p1");
    fixture.pay("p1");
    CHECK(fixture.server.count("POST") == 1);
    CHECK_FALSE(fixture.results[1].has_value());
    fixture.respondTo(0, core::makeResponse(200, "receipt 1"));
    REQUIRE(fixture.results[0].has_value());
    REQUIRE(fixture.results[1].has_value());
    CHECK(bodyOf(fixture.results[0]->response) == "receipt 1");
    CHECK(bodyOf(fixture.results[1]->response) == "receipt 1");
    CHECK(fixture.runner->idle());
}

TEST_CASE("a disconnect cancels a read and frees its place, but does not cancel a payment")
{
    Fixture fixture(2);
    const auto read = fixture.get("r1");
    const auto payment = fixture.pay("p1");
    read->cancel();
    CHECK(fixture.server.sent[0].exchange->cancelCount == 1);
    CHECK(fixture.server.count("DELETE") == 1);
    CHECK(fixture.server.sent.back().request.target == "/-/requests/r1");
    fixture.respondTo(0, Error{ErrorKind::ConnectionLost, "cancelled"});

    payment->cancel();
    CHECK(fixture.server.sent[1].exchange->cancelCount == 0);
    fixture.respondTo(1, core::makeResponse(200, "receipt 1"));
    fixture.pay("p1");
    REQUIRE(fixture.results[2].has_value());
    CHECK(bodyOf(fixture.results[2]->response) == "receipt 1");
    CHECK(fixture.runner->load().inFlight == 0);
}

TEST_CASE("a queued request whose caller disconnects is never sent")
{
    Fixture fixture;
    fixture.pay("p1");
    const auto queued = fixture.pay("p2");
    queued->cancel();
    fixture.respondTo(0, core::makeResponse(200, "paid"));
    CHECK(fixture.server.count("POST") == 1);
    CHECK(fixture.runner->idle());
}

TEST_CASE("a resend whose caller disconnects while it waits leaves no pending request")
{
    Fixture fixture(2);
    fixture.pay("p1");
    const auto resend = fixture.pay("p1");
    resend->cancel();
    fixture.respondTo(0, core::makeResponse(200, "receipt 1"));
    CHECK(fixture.runner->idle());
    REQUIRE(fixture.results[1].has_value());
    CHECK(fixture.results[1]->outcome == RunOutcome::Unknown);
}

TEST_CASE("a payment whose response body is truncated has an unknown outcome, is never a truncated "
          "success and is not sent again")
{
    Fixture fixture;
    fixture.pay("p1");
    auto body = std::make_shared<ManualBody>();
    fixture.respondTo(0, core::HttpResponse{200, {}, 10, body});
    body->deliver(core::BodyChunk{"rec", false});
    CHECK_FALSE(fixture.results[0].has_value());
    body->deliver(Error{ErrorKind::ConnectionLost, "body ended short"});
    fixture.checkOutcome(0, RunOutcome::Unknown, ErrorKind::ConnectionLost);
    fixture.pay("p1");
    CHECK(fixture.server.count("POST") == 1);
    CHECK(fixture.results[1]->outcome == RunOutcome::Unknown);
}

TEST_CASE("a truncated response to a read is passed on as an error and frees the place")
{
    Fixture fixture;
    fixture.get("r1");
    auto body = std::make_shared<ManualBody>();
    fixture.respondTo(0, core::HttpResponse{200, {}, 10, body});
    REQUIRE(fixture.results[0].has_value());
    bool failed = false;
    fixture.results[0]->response.body->read(
            [&](const core::Outcome<core::BodyChunk> &chunk) { failed = !chunk; });
    body->deliver(Error{ErrorKind::ConnectionLost, "body ended short"});
    CHECK(failed);
    CHECK(fixture.runner->load().inFlight == 0);
}

TEST_CASE("a response that is still being streamed occupies its place, so that the limit is never "
          "exceeded")
{
    Fixture fixture(2);
    for (const char *id : {"r1", "r2", "r3", "r4"})
        fixture.get(id);
    REQUIRE(fixture.server.sent.size() == 2);
    auto body = std::make_shared<ManualBody>();
    fixture.respondTo(0, core::HttpResponse{200, {}, std::nullopt, body});
    CHECK(fixture.server.sent.size() == 2);
    CHECK(fixture.runner->load().inFlight == 2);
    fixture.results[0]->response.body.reset(); // The caller disconnected during the response.
    CHECK(fixture.server.sent.size() >= 3);
    CHECK(fixture.runner->load().inFlight <= fixture.runner->load().limit);
}

TEST_CASE("a pause waits for the slot's requests and reports idle once, so that no request runs "
          "under two owners")
{
    Fixture fixture(2);
    fixture.pay("p1");
    int idle = 0;
    fixture.runner->pauseSlots({ownedSlot}, fixture.clock.now() + seconds(1), [&] { ++idle; });
    CHECK(idle == 0);
    fixture.pay("p2");
    CHECK(fixture.server.count("POST") == 1);
    REQUIRE(fixture.results[1].has_value());
    CHECK(fixture.results[1]->outcome == RunOutcome::NotRun);
    fixture.respondTo(0, core::makeResponse(200, "paid"));
    CHECK(idle == 1);
    fixture.clock.advance(seconds(2));
    CHECK(idle == 1);
    // With nothing in flight, a pause ends at once.
    fixture.runner->pauseSlots({ownedSlot}, fixture.clock.now() + seconds(1), [&] { ++idle; });
    CHECK(idle == 2);
}

TEST_CASE("requests in flight at the deadline of a pause are cancelled before idle is reported")
{
    Fixture fixture;
    fixture.get("r1");
    int cancelledAtIdle = -1;
    fixture.runner->pauseSlots({ownedSlot}, fixture.clock.now() + milliseconds(200), [&] {
        cancelledAtIdle = fixture.server.sent[0].exchange->cancelCount;
    });
    fixture.clock.advance(milliseconds(300));
    CHECK(cancelledAtIdle == 1);
}

TEST_CASE("the ledger of a retired slot is retained for the next controller, so that no id runs "
          "twice")
{
    Fixture fixture;
    fixture.pay("p1");
    fixture.respondTo(0, core::makeResponse(200, "receipt 1"));
    fixture.runner->retireSlot(ownedSlot);
    std::vector<decisions::SlotLedger> ledgers;
    fixture.runner->exportSlots({ownedSlot, 9}, ledgers);
    REQUIRE(ledgers.size() == 1);
    REQUIRE(ledgers[0].entries.size() == 1);
    CHECK(ledgers[0].entries[0].state == decisions::EntryState::Answered);
    fixture.pay("p1");
    CHECK(fixture.server.count("POST") == 1);
    CHECK(fixture.results[1]->refusal.kind == ErrorKind::Fenced);
}

TEST_CASE("a request in flight when its slot is retired is exported as unknown, and still ends")
{
    Fixture fixture;
    fixture.pay("p1");
    fixture.runner->retireSlot(ownedSlot);
    std::vector<decisions::SlotLedger> ledgers;
    fixture.runner->exportSlots({ownedSlot}, ledgers);
    REQUIRE(ledgers.size() == 1);
    // The next controller must assume that its outcome is unknown.
    REQUIRE(ledgers[0].entries.size() == 1);
    CHECK(ledgers[0].entries[0].state == decisions::EntryState::Unknown);
    fixture.respondTo(0, core::makeResponse(200, "receipt 1"));
    CHECK(fixture.results[0]->outcome == RunOutcome::Answered);
    CHECK(fixture.runner->idle());
}

TEST_CASE("cancelling all requests in flight leaves the queued ones alone")
{
    Fixture fixture(2);
    for (const char *id : {"p1", "p2", "p3"})
        fixture.pay(id);
    REQUIRE(fixture.server.sent.size() == 2);
    fixture.runner->cancelInFlight();
    CHECK(fixture.server.sent[0].exchange->cancelCount == 1);
    CHECK(fixture.server.sent[1].exchange->cancelCount == 1);
    CHECK_FALSE(fixture.results[2].has_value());
}

TEST_CASE("past its deadline, a request in flight is cancelled on the server, and a queued one is "
          "refused as not run")
{
    Fixture fixture;
    fixture.get("r1");
    fixture.pay("p1");
    fixture.clock.advance(milliseconds(2100));
    CHECK(fixture.server.sent[0].exchange->cancelCount == 1);
    REQUIRE(fixture.results[1].has_value());
    CHECK(fixture.results[1]->outcome == RunOutcome::NotRun);
    fixture.respondTo(0, Error{ErrorKind::Timeout, "cancelled"});
    CHECK(fixture.server.count("POST") == 0);
    CHECK(fixture.runner->idle());
}
