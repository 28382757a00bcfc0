// Tests of LogFollower. They guard against acting on a state that the log doesn't contain, and
// against taking an old read as proof that no newer controller exists.
#include "daemon_fixtures.h"
#include "log_follower.h"

#include "amaranthdale/clock/manual_clock.h"
#include "amaranthdale/decisions/authority_policy.h"
#include "amaranthdale/decisions/placement.h"
#include "amaranthdale/log/capturing_log.h"
#include "amaranthdale/records/record_codec.h"
#include "amaranthdale/records/state_codec.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::daemon;
using namespace amaranthdale::daemon::test;
using core::Error;
using core::ErrorKind;
using core::LogOffset;

namespace {

const core::InstanceId proposer{core::InstanceName("i1"), core::Incarnation(11)};

decisions::LogRecord recordAt(std::uint64_t offset, decisions::RecordBody body)
{
    return {{proposer, offset}, LogOffset(offset - 1), std::move(body)};
}

// A record that drains a different data centre at each offset.
decisions::LogRecord drainAt(std::uint64_t offset)
{
    const core::DataCentreName name("dc-" + std::to_string(offset));
    return recordAt(offset, decisions::DataCentreRecord{name, true});
}

decisions::ClusterState stateUpTo(std::uint64_t last)
{
    decisions::ClusterState state;
    for (std::uint64_t offset = 1; offset <= last; ++offset)
        REQUIRE(state.apply(LogOffset(offset), drainAt(offset)).accepted);
    return state;
}

logclient::LogEntry entryAt(std::uint64_t offset)
{
    return {LogOffset(offset), records::encodeRecord(drainAt(offset))};
}

class FakeListener : public ReplayListener
{
public:
    void recordApplied(LogOffset offset, const decisions::LogRecord &,
                       const decisions::ApplyResult &) override
    {
        this->applied.push_back(offset.value);
    }
    void replayed(const StatePointer &state) override
    {
        this->published.push_back(state->offset().value);
    }
    void tailReached(core::TimePoint began) override { this->tailReads.push_back(began); }

    std::vector<std::uint64_t> applied;
    std::vector<std::uint64_t> published;
    std::vector<core::TimePoint> tailReads;
};

class FakePeers : public StateSource
{
public:
    using Handler = std::function<void(core::Outcome<decisions::ClusterState>)>;

    void fetchState(Handler handler) override
    {
        ++this->fetchCount;
        handler(this->result);
    }

    core::Outcome<decisions::ClusterState> result = Error{ErrorKind::Unavailable, "no peer"};
    int fetchCount = 0;
};

struct Fixture
{
    clock::ManualClock clock;
    FakeLog service;
    log::CapturingLog log;
    FakeListener listener;
    FakePeers peers;
    Tables tables{
            decisions::OwnershipSettings{},
            std::make_unique<decisions::NamedSuccessorAuthority>(decisions::OwnershipTimings{}),
            std::make_unique<decisions::RendezvousPlacement>(), this->clock.now()};
    LogFollower follower{this->service, this->clock,    this->tables,
                         this->log,     this->listener, this->peers};

    Fixture() { this->follower.start(); }

    void respondToRead(core::Outcome<logclient::LogPage> page)
    {
        REQUIRE(this->service.reads.size() == 1); // One read is in flight at a time.
        auto read = std::move(this->service.reads.front());
        this->service.reads.pop_front();
        read.respond(std::move(page));
    }

    void respondWithPage(std::uint64_t first, std::uint64_t next,
                         std::vector<logclient::LogEntry> entries)
    {
        this->respondToRead(
                logclient::LogPage{LogOffset(first), LogOffset(next), std::move(entries)});
    }

    std::uint64_t nextFrom() const { return this->service.reads.front().from.value; }
    std::uint64_t offset() const { return this->tables.state()->offset().value; }
};

using Offsets = std::vector<std::uint64_t>;

} // namespace

TEST_CASE("a record that can't be decoded is skipped and logged, and replay continues")
{
    Fixture fixture;
    fixture.respondWithPage(1, 4, {entryAt(1), {LogOffset(2), "{broken"}, entryAt(3)});
    CHECK(fixture.listener.applied == Offsets{1, 3});
    CHECK(fixture.offset() == 3);
    CHECK(fixture.nextFrom() == 4);
    CHECK(fixture.log.count("record-undecodable") == 1);
}

TEST_CASE("only a read that reaches the tail counts as proof, from the time at which it started")
{
    Fixture fixture;
    const core::TimePoint began = fixture.clock.now();
    fixture.clock.advance(milliseconds(40));
    fixture.respondWithPage(1, 4, {entryAt(1), entryAt(2)});
    CHECK(fixture.listener.tailReads.empty());
    CHECK_FALSE(fixture.follower.ready());
    const core::TimePoint second = fixture.clock.now();
    fixture.clock.advance(milliseconds(40));
    fixture.respondWithPage(1, 4, {entryAt(3)});
    REQUIRE(fixture.listener.tailReads.size() == 1);
    CHECK(fixture.listener.tailReads[0] == second);
    CHECK(second > began);
    CHECK(fixture.follower.ready());
    CHECK(fixture.follower.readAge() == milliseconds(40));
}

TEST_CASE("records that are read again are not replayed again")
{
    Fixture fixture;
    fixture.respondWithPage(1, 3, {entryAt(1), entryAt(2)});
    fixture.respondWithPage(1, 4, {entryAt(1), entryAt(2), entryAt(3)});
    CHECK(fixture.listener.applied == Offsets{1, 2, 3});
    CHECK(fixture.offset() == 3);
}

TEST_CASE("when the first records are truncated, the state starts from a snapshot and later "
          "records are replayed once, so that no assignment is lost or applied twice")
{
    Fixture fixture;
    const std::string whole = records::encodeState(stateUpTo(4));
    const auto pieces = records::splitState(LogOffset(4), whole);
    std::vector<logclient::LogEntry> entries = {entryAt(3), entryAt(4), entryAt(5)};
    std::uint64_t offset = 6;
    for (const decisions::SnapshotRecord &piece : pieces) {
        entries.push_back({LogOffset(offset), records::encodeRecord(recordAt(offset, piece))});
        ++offset;
    }
    // Nothing is published and no tail read counts before the snapshot is complete.
    fixture.respondWithPage(3, offset, {entries[0], entries[1]});
    CHECK(fixture.listener.published.empty());
    CHECK(fixture.listener.tailReads.empty());
    fixture.respondWithPage(3, offset, {entries.begin() + 2, entries.end()});
    CHECK(fixture.log.count("log-truncated") == 1);
    REQUIRE_FALSE(fixture.listener.applied.empty());
    CHECK(fixture.listener.applied.front() == 5);
    CHECK(fixture.listener.applied.size() == 1 + pieces.size());
    CHECK(fixture.offset() == offset - 1);
    CHECK(fixture.tables.state()->isDrained(core::DataCentreName("dc-1")));
    CHECK(fixture.tables.state()->isDrained(core::DataCentreName("dc-5")));
    CHECK(fixture.follower.ready());
    fixture.respondWithPage(3, offset + 1, {entryAt(offset)});
    CHECK(fixture.offset() == offset);
    CHECK(fixture.listener.applied.size() == 2 + pieces.size());
}

TEST_CASE("a gap found by a running instance needs a snapshot that covers it, and the state never "
          "goes back")
{
    Fixture fixture;
    fixture.respondWithPage(1, 3, {entryAt(1), entryAt(2)});
    const auto old = records::splitState(LogOffset(1), records::encodeState(stateUpTo(1)));
    std::vector<logclient::LogEntry> entries;
    std::uint64_t offset = 10;
    for (const decisions::SnapshotRecord &piece : old) {
        entries.push_back({LogOffset(offset), records::encodeRecord(recordAt(offset, piece))});
        ++offset;
    }
    // The snapshot covers less than the missing records, so it can't close the gap.
    fixture.respondWithPage(10, offset, entries);
    for (std::size_t index = 1; index < fixture.listener.published.size(); ++index)
        CHECK(fixture.listener.published[index - 1] <= fixture.listener.published[index]);
    CHECK(fixture.offset() == 2);
    CHECK(fixture.listener.tailReads.size() == 1);
}

TEST_CASE("a snapshot with a duplicate piece on the log is still used")
{
    Fixture fixture;
    const auto pieces = records::splitState(LogOffset(4), records::encodeState(stateUpTo(4)), 64);
    REQUIRE(pieces.size() > 1);
    std::vector<logclient::LogEntry> entries;
    std::uint64_t offset = 5;
    const auto add = [&](const decisions::SnapshotRecord &piece) {
        entries.push_back({LogOffset(offset), records::encodeRecord(recordAt(offset, piece))});
        ++offset;
    };
    add(pieces.front());
    for (const decisions::SnapshotRecord &piece : pieces)
        add(piece);
    fixture.respondWithPage(5, offset, entries);
    CHECK(fixture.offset() == offset - 1);
    CHECK(fixture.follower.ready());
}

TEST_CASE("while the log can't be read, a new instance starts from its peers' state, which gives "
          "it no authority")
{
    Fixture fixture;
    fixture.peers.result = stateUpTo(4);
    fixture.respondToRead(Error{ErrorKind::Unavailable, "log is down"});
    CHECK(fixture.service.reads.empty());
    fixture.clock.advance(milliseconds(50));
    CHECK(fixture.offset() == 4);
    CHECK(fixture.nextFrom() == 5);
    CHECK(fixture.listener.tailReads.empty());
    // An older state returned by a peer later changes nothing.
    fixture.peers.result = stateUpTo(2);
    fixture.respondToRead(Error{ErrorKind::Unavailable, "log is down"});
    fixture.clock.advance(milliseconds(50));
    CHECK(fixture.offset() == 4);
    CHECK(fixture.listener.published == Offsets{4});
    fixture.respondWithPage(1, 6, {entryAt(5)});
    CHECK(fixture.offset() == 5);
    CHECK(fixture.listener.tailReads.size() == 1);
}

TEST_CASE("an instance that has replayed the log doesn't replace its state with a peer's")
{
    Fixture fixture;
    fixture.respondWithPage(1, 2, {entryAt(1)});
    fixture.peers.result = stateUpTo(4);
    fixture.respondToRead(Error{ErrorKind::Timeout, "log is slow"});
    fixture.clock.advance(milliseconds(50));
    CHECK(fixture.peers.fetchCount == 0);
    CHECK(fixture.nextFrom() == 2);
    CHECK(fixture.offset() == 1);
}

TEST_CASE("a stopped follower starts no more reads")
{
    Fixture fixture;
    fixture.follower.stop();
    fixture.respondWithPage(1, 2, {entryAt(1)});
    CHECK(fixture.service.reads.empty());
}
