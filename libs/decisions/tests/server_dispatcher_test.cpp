// Tests of the dispatcher. They guard against overloading a server, losing a request and reporting
// a wrong outcome to its caller.
#include "request_fixtures.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::decisions;
using namespace amaranthdale::decisions::test;
using core::ErrorKind;
using core::LogOffset;

namespace {

DispatcherOptions smallOptions()
{
    DispatcherOptions options;
    options.server = core::ServerName("till-1");
    options.maxQueued = 2;
    return options;
}

// Owns slot 0 since offset 5 and has authority. The limit starts at one request in flight.
struct Fixture
{
    std::shared_ptr<tables::Guarded<CrashFilter>> crashFilter = makeCrashFilter();
    ServerDispatcher dispatcher{
            smallOptions(), std::make_unique<AdaptiveLimit>(LimitBounds{1, 4}, start), crashFilter};

    Fixture()
    {
        this->dispatcher.replayed(LogOffset(5), start);
        this->dispatcher.startSlot(0, LogOffset(5), true, start);
        this->dispatcher.authorityGained(start);
    }

    Arrival arrive(const RequestInfo &request) { return this->dispatcher.arrive(request, start); }
};

const RequestInfo first = payment(issuedId(5, 1), IdOrigin::Issued);
const RequestInfo second = payment(issuedId(5, 2), IdOrigin::Issued);

} // namespace

TEST_CASE("nothing is sent without authority, and queued requests are refused as not run")
{
    Fixture fixture;
    const Arrival sent = fixture.arrive(first);
    CHECK(findAction<SendRequest>(sent.actions));
    const Arrival queued = fixture.arrive(second);
    CHECK(queued.actions.empty());
    const Actions lost = fixture.dispatcher.authorityLost(start);
    REQUIRE(findAction<RefuseRequest>(lost));
    CHECK(findAction<RefuseRequest>(lost)->ticket == queued.ticket);
    CHECK(findAction<RefuseRequest>(lost)->refusal.outcome == RunOutcome::NotRun);
    // Completing the request that was sent before frees its place, but sends nothing.
    CHECK(fixture.dispatcher.completed(sent.ticket, answeredWith("paid"), start).empty());
    CHECK(findAction<RefuseRequest>(fixture.arrive(second).actions));
    CHECK(fixture.dispatcher.idle());
}

TEST_CASE("a resend while the first is in flight gets the first one's response")
{
    Fixture fixture;
    const Arrival sent = fixture.arrive(first);
    const Arrival resent = fixture.arrive(first);
    REQUIRE(findAction<AttachRequest>(resent.actions));
    CHECK(findAction<AttachRequest>(resent.actions)->owner == sent.ticket);
    const Actions done = fixture.dispatcher.completed(sent.ticket, answeredWith("paid"), start);
    REQUIRE(findAction<ReturnStoredResponse>(done));
    CHECK(findAction<ReturnStoredResponse>(done)->ticket == resent.ticket);
    CHECK(findAction<ReturnStoredResponse>(done)->response->body == "paid");
    CHECK(findAction<ReturnStoredResponse>(fixture.arrive(first).actions));
}

TEST_CASE("a resend is refused as unknown, not as not run, when its own deadline passes")
{
    Fixture fixture;
    fixture.arrive(first);
    RequestInfo shortDeadline = first;
    shortDeadline.deadline = start + milliseconds(50);
    const Arrival resent = fixture.arrive(shortDeadline);
    const Actions expired = fixture.dispatcher.tick(start + milliseconds(50));
    REQUIRE(findAction<RefuseRequest>(expired));
    CHECK(findAction<RefuseRequest>(expired)->ticket == resent.ticket);
    CHECK(findAction<RefuseRequest>(expired)->refusal.outcome == RunOutcome::Unknown);
}

TEST_CASE("a request that expires in the queue is reported as not run and may be sent again")
{
    Fixture fixture;
    const Arrival sent = fixture.arrive(first);
    RequestInfo shortDeadline = second;
    shortDeadline.deadline = start + milliseconds(100);
    fixture.arrive(shortDeadline);
    const core::TimePoint later = start + milliseconds(100);
    const Actions expired = fixture.dispatcher.tick(later);
    REQUIRE(findAction<RefuseRequest>(expired));
    CHECK(findAction<RefuseRequest>(expired)->refusal.outcome == RunOutcome::NotRun);
    fixture.dispatcher.completed(sent.ticket, answeredWith("paid"), later);
    CHECK(findAction<SendRequest>(fixture.dispatcher.arrive(second, later).actions));
}

TEST_CASE("a full queue refuses with a retry time, and requests that can't meet their deadline are "
          "refused")
{
    Fixture fixture;
    for (int number = 0; number < 3; ++number)
        fixture.arrive(stockRead("r" + std::to_string(number)));
    const Arrival full = fixture.arrive(stockRead("r3"));
    REQUIRE(findAction<RefuseRequest>(full.actions));
    CHECK(findAction<RefuseRequest>(full.actions)->refusal.kind == ErrorKind::Overloaded);
    CHECK(findAction<RefuseRequest>(full.actions)->refusal.retryAfter >= milliseconds(10));

    Fixture other;
    other.arrive(stockRead("r0"));
    RequestInfo shortDeadline = stockRead("r1");
    shortDeadline.deadline = start + milliseconds(1);
    CHECK(findAction<RefuseRequest>(other.arrive(shortDeadline).actions));
}

TEST_CASE("a request past its deadline is cancelled once and counts as in flight until it ends")
{
    Fixture fixture;
    fixture.arrive(first);
    CHECK(countActions<CancelRequest>(fixture.dispatcher.tick(start + seconds(2))) == 1);
    CHECK(countActions<CancelRequest>(fixture.dispatcher.tick(start + seconds(3))) == 0);
    CHECK(fixture.dispatcher.load(start).inFlight == 1);
}

TEST_CASE("a disconnected caller cancels a read but not a payment, whose response is stored")
{
    Fixture fixture;
    const Arrival read = fixture.arrive(stockRead("r"));
    CHECK(findAction<CancelRequest>(fixture.dispatcher.callerDisconnected(read.ticket, start)));
    fixture.dispatcher.completed(read.ticket, failedWith(RunOutcome::Unknown, ErrorKind::Timeout),
                                 start);
    const Arrival paid = fixture.arrive(first);
    CHECK(fixture.dispatcher.callerDisconnected(paid.ticket, start).empty());
    fixture.dispatcher.completed(paid.ticket, answeredWith("paid"), start);
    CHECK(findAction<ReturnStoredResponse>(fixture.arrive(first).actions));
}

TEST_CASE("a planned move: a paused slot admits nothing, and resends get the response at its new "
          "owner")
{
    Fixture source;
    const Arrival sent = source.arrive(first);
    CHECK(source.dispatcher.slotInFlight(0) == 1);
    source.dispatcher.pauseSlot(0, start);
    const Arrival refused = source.arrive(second);
    REQUIRE(findAction<RefuseRequest>(refused.actions));
    CHECK(findAction<RefuseRequest>(refused.actions)->refusal.outcome == RunOutcome::NotRun);
    source.dispatcher.completed(sent.ticket, answeredWith("paid"), start);
    CHECK(source.dispatcher.slotInFlight(0) == 0);

    Fixture target;
    target.dispatcher.replayed(LogOffset(9), start);
    target.dispatcher.startSlot(0, LogOffset(9), false, start);
    REQUIRE(target.dispatcher.importSlot(source.dispatcher.exportSlot(0, start), start));
    source.dispatcher.dropSlot(0, start);
    CHECK(findAction<ReturnStoredResponse>(target.arrive(first).actions));
    CHECK(findAction<SendRequest>(target.arrive(second).actions));
    CHECK(findAction<RefuseRequest>(source.arrive(second).actions));
}

TEST_CASE("a drained server gets no new requests, and requests in flight end normally")
{
    Fixture fixture;
    const Arrival sent = fixture.arrive(first);
    fixture.arrive(second);
    CHECK(countActions<RefuseRequest>(fixture.dispatcher.drain(start)) == 1);
    CHECK(findAction<RefuseRequest>(fixture.arrive(second).actions));
    CHECK_FALSE(fixture.dispatcher.idle());
    CHECK(fixture.dispatcher.completed(sent.ticket, answeredWith("paid"), start).empty());
    CHECK(fixture.dispatcher.idle());
}

TEST_CASE(
        "a request that crashed two incarnations of a server is refused, even when already queued")
{
    Fixture fixture;
    for (std::uint64_t incarnation = 1; incarnation <= 2; ++incarnation) {
        fixture.dispatcher.reportReceived(LoadReport{core::Incarnation(incarnation), 0, 0}, start);
        const Arrival sent =
                fixture.arrive(payment(issuedId(5, 10 + incarnation), IdOrigin::Issued));
        REQUIRE(findAction<SendRequest>(sent.actions));
        fixture.dispatcher.completed(
                sent.ticket, failedWith(RunOutcome::Unknown, ErrorKind::ConnectionLost), start);
    }
    RequestInfo other = stockRead("r");
    other.fingerprint = 78;
    const Arrival running = fixture.arrive(other);
    fixture.arrive(second);
    fixture.dispatcher.reportReceived(LoadReport{core::Incarnation(3), 0, 0}, start);
    const Actions done = fixture.dispatcher.completed(running.ticket, answeredWith("r"), start);
    REQUIRE(findAction<RefuseRequest>(done));
    CHECK(findAction<RefuseRequest>(done)->refusal.kind == ErrorKind::Conflict);
    CHECK(findAction<RefuseRequest>(fixture.arrive(second).actions));
}

TEST_CASE("a lost connection isn't a crash if the server keeps reporting")
{
    Fixture fixture;
    fixture.dispatcher.reportReceived(LoadReport{core::Incarnation(1), 0, 0}, start);
    const Arrival sent = fixture.arrive(first);
    fixture.dispatcher.completed(sent.ticket,
                                 failedWith(RunOutcome::Unknown, ErrorKind::ConnectionLost), start);
    fixture.dispatcher.reportReceived(LoadReport{core::Incarnation(1), 0, 0}, start + seconds(2));
    fixture.dispatcher.serverCrashed(start + seconds(3));
    fixture.crashFilter->with(
            [](CrashFilter &filter) { CHECK(filter.strikes(start + seconds(3)).empty()); });
}
