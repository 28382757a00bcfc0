// Tests of the dispatcher: each guards a way to overload a server, lose a request or mislead its
// caller.
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

// Owns slot 0 since offset 5 and has authority; one request in flight at first.
struct Fixture
{
    std::shared_ptr<tables::Guarded<CrashFilter>> crashFilter = makeCrashFilter();
    ServerDispatcher dispatcher{
            smallOptions(), std::make_unique<AdaptiveLimit>(LimitBounds{1, 4}, start), crashFilter};

    Fixture()
    {
        this->dispatcher.replayed(LogOffset(5), start);
        this->dispatcher.startSlot(0, LogOffset(5), true, start);
        this->dispatcher.authorityHeld(start);
    }

    Arrival arrive(const RequestInfo &request) { return this->dispatcher.arrive(request, start); }
};

const RequestInfo first = payment(issuedId(5, 1), IdOrigin::Issued);
const RequestInfo second = payment(issuedId(5, 2), IdOrigin::Issued);

} // namespace

TEST_CASE("nothing is sent without authority, and what was queued is refused as not run")
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
    // The response of what was sent before still frees its place, but sends nothing.
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
    REQUIRE(findAction<GiveResponse>(done));
    CHECK(findAction<GiveResponse>(done)->ticket == resent.ticket);
    CHECK(findAction<GiveResponse>(done)->response->body == "paid");
    CHECK(findAction<GiveResponse>(fixture.arrive(first).actions));
}

TEST_CASE("a resend whose own deadline passes doesn't wait for ever, and isn't told not run")
{
    Fixture fixture;
    fixture.arrive(first);
    RequestInfo impatient = first;
    impatient.deadline = start + milliseconds(50);
    const Arrival resent = fixture.arrive(impatient);
    const Actions late = fixture.dispatcher.tick(start + milliseconds(50));
    REQUIRE(findAction<RefuseRequest>(late));
    CHECK(findAction<RefuseRequest>(late)->ticket == resent.ticket);
    CHECK(findAction<RefuseRequest>(late)->refusal.outcome == RunOutcome::Unknown);
}

TEST_CASE("a request that expires in the queue is reported as not run and may be sent again")
{
    Fixture fixture;
    const Arrival sent = fixture.arrive(first);
    RequestInfo hurried = second;
    hurried.deadline = start + milliseconds(100);
    fixture.arrive(hurried);
    const core::TimePoint later = start + milliseconds(100);
    const Actions expired = fixture.dispatcher.tick(later);
    REQUIRE(findAction<RefuseRequest>(expired));
    CHECK(findAction<RefuseRequest>(expired)->refusal.outcome == RunOutcome::NotRun);
    fixture.dispatcher.completed(sent.ticket, answeredWith("paid"), later);
    CHECK(findAction<SendRequest>(fixture.dispatcher.arrive(second, later).actions));
}

TEST_CASE("a full queue refuses with the time to wait, and doesn't queue what can't be in time")
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
    RequestInfo hurried = stockRead("r1");
    hurried.deadline = start + milliseconds(1);
    CHECK(findAction<RefuseRequest>(other.arrive(hurried).actions));
}

TEST_CASE("a request past its deadline is cancelled once and holds its place until it has ended")
{
    Fixture fixture;
    fixture.arrive(first);
    CHECK(countActions<CancelRequest>(fixture.dispatcher.tick(start + seconds(2))) == 1);
    CHECK(countActions<CancelRequest>(fixture.dispatcher.tick(start + seconds(3))) == 0);
    CHECK(fixture.dispatcher.load(start).inFlight == 1);
}

TEST_CASE("a caller that goes away cancels a read but not a payment, whose response is kept")
{
    Fixture fixture;
    const Arrival read = fixture.arrive(stockRead("r"));
    CHECK(findAction<CancelRequest>(fixture.dispatcher.callerGone(read.ticket, start)));
    fixture.dispatcher.completed(read.ticket, failedWith(RunOutcome::Unknown, ErrorKind::Timeout),
                                 start);
    const Arrival paid = fixture.arrive(first);
    CHECK(fixture.dispatcher.callerGone(paid.ticket, start).empty());
    fixture.dispatcher.completed(paid.ticket, answeredWith("paid"), start);
    CHECK(findAction<GiveResponse>(fixture.arrive(first).actions));
}

TEST_CASE("a planned move: a paused slot admits nothing, and its memory answers resends elsewhere")
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
    CHECK(findAction<GiveResponse>(target.arrive(first).actions));
    CHECK(findAction<SendRequest>(target.arrive(second).actions));
    CHECK(findAction<RefuseRequest>(source.arrive(second).actions));
}

TEST_CASE("a drained server gets no new work, and what is in flight ends normally")
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

TEST_CASE("a request that crashed two runs of a server is refused, also when it was queued")
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

TEST_CASE("a lost connection alone doesn't count as a crash of a server that lives on")
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
