// Tests of replay. Each guards against a race or a late append that would give a slot two owners.
#include "amaranthdale/decisions/cluster_state.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::decisions;
using core::LogOffset;

namespace {

const core::InstanceId first{core::InstanceName("i1"), core::Incarnation(11)};
const core::InstanceId second{core::InstanceName("i2"), core::Incarnation(22)};
const core::InstanceId third{core::InstanceName("i3"), core::Incarnation(33)};
const core::ServerName serverA("a");
const core::ServerName serverB("b");
const core::ServiceName stockroom("stockroom");

LogRecord recordOf(core::InstanceId proposer, std::uint64_t basedOn, RecordBody body)
{
    return LogRecord{RecordId{proposer, basedOn}, LogOffset(basedOn), std::move(body)};
}

ServiceDocument twoServers()
{
    ServiceDocument document;
    document.service = stockroom;
    document.hashSlots = 4;
    for (const core::ServerName &name : {serverA, serverB}) {
        BackendServer server;
        server.name = name;
        document.servers.push_back(server);
    }
    return document;
}

SlotRecord move(core::ServerName from, std::uint64_t epoch, core::ServerName to,
                ReassignmentReason release)
{
    return SlotRecord{stockroom, from, core::Epoch(epoch), release, {SlotMove{to, {0, 1}, {}}}};
}

// Offset 1: document. 2: `first` controls server a, with successor `second`. 3: server a owns slots
// 0 and 1.
ClusterState assignedState()
{
    ClusterState state;
    REQUIRE(state.apply(LogOffset(1), recordOf(first, 0, DocumentRecord{twoServers()})).accepted);
    REQUIRE(state.apply(LogOffset(2),
                        recordOf(first, 1, ControllerRecord{serverA, first, {second}}))
                    .accepted);
    REQUIRE(state.apply(LogOffset(3),
                        recordOf(first, 2, move({}, 0, serverA, ReassignmentReason::Initial)))
                    .accepted);
    return state;
}

const SlotOwner &slotZero(const ClusterState &state)
{
    return state.findService(stockroom)->slots[0];
}

} // namespace

TEST_CASE("of two moves based on the same state, only the first takes effect")
{
    ClusterState state = assignedState();
    const LogRecord record =
            recordOf(first, 3, move(serverA, 2, serverB, ReassignmentReason::Acknowledged));
    CHECK(state.apply(LogOffset(4), record).accepted);
    CHECK(slotZero(state).server == serverB);
    // A second copy of the append, sent because the response was lost, changes nothing.
    const ApplyResult again = state.apply(LogOffset(5), record);
    CHECK_FALSE(again.accepted);
    CHECK(slotZero(state).changedAt == LogOffset(4));
}

TEST_CASE("a move by a controller that has been replaced is dropped")
{
    ClusterState state = assignedState();
    REQUIRE(state.apply(LogOffset(4),
                        recordOf(second, 3, ControllerRecord{serverA, second, {third}}))
                    .accepted);
    CHECK_FALSE(state.apply(LogOffset(5),
                            recordOf(first, 3,
                                     move(serverA, 2, serverB, ReassignmentReason::LeaseExpired)))
                        .accepted);
    CHECK(slotZero(state).server == serverA);
}

TEST_CASE(
        "only the controller itself or a successor of the named incarnation replaces a controller")
{
    ClusterState state = assignedState();
    CHECK_FALSE(
            state.apply(LogOffset(4), recordOf(third, 3, ControllerRecord{serverA, third, {first}}))
                    .accepted);
    const core::InstanceId restarted{second.name, core::Incarnation(99)};
    CHECK_FALSE(state.apply(LogOffset(5),
                            recordOf(restarted, 4, ControllerRecord{serverA, restarted, {first}}))
                        .accepted);
    CHECK(state.apply(LogOffset(6), recordOf(first, 5, ControllerRecord{serverA, third, {second}}))
                  .accepted);
    CHECK(state.findServer(serverA)->controller->epoch == core::Epoch(6));
}

TEST_CASE("the second of two conflicting documents is dropped with the reason and the first stays")
{
    ClusterState state = assignedState();
    ServiceDocument winner = twoServers();
    winner.requestTimeout = std::chrono::seconds(1);
    ServiceDocument loser = twoServers();
    loser.requestTimeout = std::chrono::seconds(5);
    CHECK(state.apply(LogOffset(4), recordOf(first, 3, DocumentRecord{winner})).accepted);
    const ApplyResult result =
            state.apply(LogOffset(5), recordOf(second, 3, DocumentRecord{loser}));
    CHECK_FALSE(result.accepted);
    CHECK(result.reason.find("offset 4") != std::string::npos);
    CHECK(state.findService(stockroom)->document == winner);
}

TEST_CASE("a server removed from its document is kept until its slots have moved")
{
    ClusterState state = assignedState();
    ServiceDocument onlyB = twoServers();
    onlyB.servers.erase(onlyB.servers.begin());
    REQUIRE(state.apply(LogOffset(4), recordOf(first, 3, DocumentRecord{onlyB})).accepted);
    REQUIRE(state.findServer(serverA));
    CHECK(state.findServer(serverA)->removed);
    CHECK_FALSE(state.acceptsSlots(serverA));
    REQUIRE(state.apply(LogOffset(5),
                        recordOf(first, 4,
                                 move(serverA, 2, serverB, ReassignmentReason::Acknowledged)))
                    .accepted);
    CHECK(state.findServer(serverA) == nullptr);
}

TEST_CASE("a document can't change the number of slots, which would change the owners of keys")
{
    ClusterState state = assignedState();
    ServiceDocument changed = twoServers();
    changed.hashSlots = 8;
    CHECK_FALSE(state.apply(LogOffset(4), recordOf(first, 3, DocumentRecord{changed})).accepted);
}

TEST_CASE("crash bans and the offset of an abandoned change survive a snapshot")
{
    ClusterState state = assignedState();
    const CrashRecord ban{42, std::chrono::minutes(10)};
    REQUIRE(state.apply(LogOffset(4), recordOf(first, 3, ban)).accepted);
    const ControllerRecord abandoned{serverA, third, {second}, true};
    REQUIRE(state.apply(LogOffset(5), recordOf(third, 4, abandoned)).accepted);
    // Later controllers must still wait for the controller replaced by the abandoned change.
    REQUIRE(state.apply(LogOffset(6), recordOf(second, 5, ControllerRecord{serverA, second, {}}))
                    .accepted);
    CHECK(state.findServer(serverA)->controller->abandonedAt == LogOffset(5));

    ClusterState restored;
    restored.restore(state.offset(), state.services(), state.servers(), state.dataCentres(),
                     state.crashBans());
    CHECK(restored.crashBans().at(42).since == LogOffset(4));
    CHECK(restored.servers() == state.servers());
    CHECK(restored.snapshotOffset() == LogOffset(6));
}

TEST_CASE("a snapshot counts from its last piece, so that its pieces don't make the next one due")
{
    ClusterState state = assignedState();
    REQUIRE(state.apply(LogOffset(4), recordOf(first, 3, SnapshotRecord{LogOffset(3), 0, 2, "x"}))
                    .accepted);
    CHECK(state.snapshotOffset() == LogOffset());
    REQUIRE(state.apply(LogOffset(5), recordOf(first, 3, SnapshotRecord{LogOffset(3), 1, 2, "y"}))
                    .accepted);
    CHECK(state.snapshotOffset() == LogOffset(5));
}
