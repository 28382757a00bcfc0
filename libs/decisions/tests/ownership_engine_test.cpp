// Tests of engine rules that random fault schedules rarely exercise. Each guards against two owners
// of a slot.
#include "amaranthdale/decisions/ownership_engine.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::decisions;
using core::LogOffset;
using std::chrono::milliseconds;

namespace {

const core::DataCentreName here("dc0");
const core::ServerName serverA("a");
const core::ServerName serverB("b");

InstanceView instanceOf(const char *name)
{
    return {core::InstanceId{core::InstanceName(name), core::Incarnation(1)}, here, false};
}

const InstanceView self = instanceOf("i1");
const InstanceView second = instanceOf("i2");
const InstanceView third = instanceOf("i3");
const InstanceView fourth = instanceOf("i4");

// One engine; the test simulates the log, the peers and the servers.
struct EngineFixture
{
    core::TimePoint now{std::chrono::hours(1)};
    OwnershipEngine engine{OwnershipSettings{self, 1, {}},
                           std::make_unique<NamedSuccessorAuthority>(OwnershipTimings()),
                           std::make_unique<RendezvousPlacement>(), now};
    std::shared_ptr<ClusterState> state = std::make_shared<ClusterState>();
    std::vector<OwnershipAction> actions;
    std::uint64_t sequence = 0;
    bool logReadable = true;
    std::set<core::InstanceName> respondingPeers{second.id.name, third.id.name, fourth.id.name};

    ApplyResult replay(core::InstanceId proposer, RecordBody body)
    {
        return this->replay(LogRecord{RecordId{std::move(proposer), 1000 + ++this->sequence},
                                      this->state->offset(), std::move(body)});
    }

    ApplyResult replay(const LogRecord &record)
    {
        const LogOffset offset(this->state->offset().value + 1);
        this->state = std::make_shared<ClusterState>(*this->state);
        const ApplyResult applied = this->state->apply(offset, record);
        if (record.id.proposer == self.id)
            this->engine.ownRecordApplied(record.id, offset, applied, this->now);
        this->engine.replayed(this->state, this->now);
        return applied;
    }

    // Declares servers a and b and assigns all four slots to a.
    void declareServers(const core::InstanceId &controller,
                        std::vector<core::InstanceId> successors)
    {
        ServiceDocument document;
        document.service = core::ServiceName("stockroom");
        document.hashSlots = 4;
        for (const core::ServerName &name : {serverA, serverB}) {
            BackendServer server;
            server.name = name;
            document.servers.push_back(server);
        }
        this->replay(second.id, DocumentRecord{document});
        this->replay(controller, ControllerRecord{serverA, controller, std::move(successors)});
        this->replay(fourth.id, ControllerRecord{serverB, fourth.id, {third.id}});
        this->replay(second.id,
                     SlotRecord{document.service,
                                {},
                                {},
                                ReassignmentReason::Initial,
                                {SlotMove{serverA, {0, 1, 2, 3}, {}}}});
    }

    // Advances time. The log, the peers and server a answer within a millisecond, if at all.
    void advance(milliseconds time, bool serverResponds = true)
    {
        for (milliseconds passed(0); passed < time; passed += milliseconds(10)) {
            this->now += milliseconds(10);
            this->engine.instancesListed({self, second, third, fourth}, this->now);
            for (const InstanceView &peer : {second, third, fourth}) {
                if (this->respondingPeers.contains(peer.id.name))
                    this->engine.heartbeatReceived(Heartbeat{peer, {}, {}, {}}, this->now);
            }
            if (this->logReadable)
                this->engine.logRead(this->now - milliseconds(1), this->now);
            this->engine.tick(this->now);
            this->respond(serverResponds);
        }
    }

    void respond(bool serverResponds)
    {
        for (OwnershipAction &action : this->engine.takeActions()) {
            if (const auto *sendHeartbeat = std::get_if<SendHeartbeat>(&action)) {
                if (this->respondingPeers.contains(sendHeartbeat->to.name))
                    this->engine.heartbeatReplyReceived(
                            {sendHeartbeat->to, sendHeartbeat->heartbeat.requested, {}}, this->now,
                            this->now);
                continue;
            }
            ServerReply reply;
            reply.server = serverA;
            reply.kind = serverResponds ? ServerReply::Kind::Accepted : ServerReply::Kind::NoAnswer;
            reply.sentAt = this->now;
            reply.incarnation = core::Incarnation(7);
            if (const auto *grant = std::get_if<SendGrant>(&action)) {
                reply.fence = grant->fence;
                reply.epoch = grant->fence.epoch;
            }
            if (std::holds_alternative<SendGrant>(action)
                || std::holds_alternative<ProbeServer>(action))
                this->engine.serverReplyReceived(reply, this->now);
            this->actions.push_back(std::move(action));
        }
    }

    // The newest appended record with a body of this type.
    template<class Body>
    std::optional<LogRecord> appended() const
    {
        std::optional<LogRecord> found;
        for (const OwnershipAction &action : this->actions) {
            const auto *append = std::get_if<AppendRecord>(&action);
            if (append && std::holds_alternative<Body>(append->record.body))
                found = append->record;
        }
        return found;
    }

    bool serves() const { return this->engine.fenceForSlot(serverA, 0, this->now).has_value(); }
};

} // namespace

TEST_CASE("promises extend authority during a log outage, and one missing promise ends it")
{
    EngineFixture fixture;
    fixture.declareServers(self.id, {second.id, third.id});
    fixture.advance(milliseconds(600));
    REQUIRE(fixture.serves());
    fixture.logReadable = false;
    fixture.advance(milliseconds(5000));
    CHECK(fixture.serves());
    fixture.respondingPeers.erase(third.id.name);
    fixture.advance(milliseconds(400));
    CHECK_FALSE(fixture.serves());
}

TEST_CASE("a pending controller change ends the authority by promises")
{
    // The change may name a successor that promised nothing and takes over without this instance
    // noticing.
    EngineFixture fixture;
    fixture.declareServers(self.id, {second.id, third.id});
    fixture.advance(milliseconds(600));
    fixture.respondingPeers.erase(third.id.name);
    fixture.advance(milliseconds(700));
    const std::optional<LogRecord> change = fixture.appended<ControllerRecord>();
    REQUIRE(change);
    fixture.engine.appendOutcomeUnknown(change->id, fixture.now);
    fixture.respondingPeers.insert(third.id.name);
    CHECK(fixture.serves());
    fixture.logReadable = false;
    fixture.advance(milliseconds(300));
    CHECK_FALSE(fixture.serves());
}

TEST_CASE("a successor gives no promise while its own takeover may still take effect")
{
    EngineFixture fixture;
    fixture.declareServers(second.id, {self.id, third.id});
    fixture.respondingPeers.erase(second.id.name);
    fixture.advance(milliseconds(500));
    const std::optional<LogRecord> takeover = fixture.appended<ControllerRecord>();
    REQUIRE(takeover);
    fixture.engine.appendOutcomeUnknown(takeover->id, fixture.now);
    const core::Epoch epoch = fixture.state->findServer(serverA)->controller->epoch;
    const Heartbeat request{second, {}, {{serverA, epoch}}, {}};
    CHECK(fixture.engine.heartbeatReceived(request, fixture.now).promised.empty());
    // Under a later epoch, the takeover can no longer take effect.
    const Heartbeat later{second, {}, {{serverA, core::Epoch(epoch.value + 50)}}, {}};
    CHECK(fixture.engine.heartbeatReceived(later, fixture.now).promised.size() == 1);
}

TEST_CASE("a successor doesn't take over before its promise expires")
{
    EngineFixture fixture;
    fixture.declareServers(second.id, {self.id, third.id});
    fixture.advance(milliseconds(500));
    const core::Epoch epoch = fixture.state->findServer(serverA)->controller->epoch;
    REQUIRE(fixture.engine.heartbeatReceived({second, {}, {{serverA, epoch}}, {}}, fixture.now)
                    .promised.size()
            == 1);
    fixture.respondingPeers.erase(second.id.name);
    fixture.advance(milliseconds(310));
    CHECK_FALSE(fixture.appended<ControllerRecord>());
    fixture.advance(milliseconds(100));
    CHECK(fixture.appended<ControllerRecord>());
}

TEST_CASE("after a stall, a controller sends nothing until it has read the log again")
{
    EngineFixture fixture;
    fixture.declareServers(self.id, {second.id, third.id});
    fixture.advance(milliseconds(600));
    REQUIRE(fixture.serves());
    fixture.now += milliseconds(1000);
    CHECK_FALSE(fixture.serves());
    fixture.engine.tick(fixture.now);
    for (const OwnershipAction &action : fixture.engine.takeActions()) {
        CHECK_FALSE(std::holds_alternative<SendGrant>(action));
        CHECK_FALSE(std::holds_alternative<AppendRecord>(action));
    }
}

TEST_CASE("a restarted server gets its first grant only after a log read, not by promises")
{
    // The new process has no fence, and promises don't show which epoch the old process was fenced
    // with.
    EngineFixture fixture;
    fixture.declareServers(self.id, {second.id, third.id});
    fixture.advance(milliseconds(600));
    fixture.logReadable = false;
    fixture.advance(milliseconds(600));
    REQUIRE(fixture.serves());
    ServerReply restarted;
    restarted.server = serverA;
    restarted.kind = ServerReply::Kind::IncarnationMismatch;
    restarted.incarnation = core::Incarnation(8);
    fixture.engine.serverReplyReceived(restarted, fixture.now);
    for (const OwnershipAction &action : fixture.engine.takeActions())
        CHECK_FALSE(std::holds_alternative<SendGrant>(action));
}

TEST_CASE("a new epoch invalidates a dropped move, of which a second copy could still take effect")
{
    EngineFixture fixture;
    fixture.declareServers(self.id, {second.id, third.id});
    fixture.advance(milliseconds(600));
    fixture.advance(milliseconds(500), false); // Server a fails; its slots are to move to b.
    // Server b's controller hasn't reported it as reachable, so no server can receive the slots
    // yet.
    CHECK_FALSE(fixture.appended<SlotRecord>());
    fixture.engine.heartbeatReceived({fourth, {}, {}, {serverB}}, fixture.now);
    fixture.engine.tick(fixture.now);
    fixture.respond(false);
    const std::optional<LogRecord> move = fixture.appended<SlotRecord>();
    REQUIRE(move);
    CHECK(std::get<SlotRecord>(move->body).release == ReassignmentReason::LeaseExpired);

    ServiceDocument withoutB = fixture.state->services().begin()->second.document;
    withoutB.servers.pop_back();
    fixture.replay(second.id, DocumentRecord{withoutB});
    CHECK_FALSE(fixture.replay(*move).accepted);
    fixture.advance(milliseconds(50));
    CHECK_FALSE(fixture.serves());
    const std::optional<LogRecord> renewal = fixture.appended<ControllerRecord>();
    REQUIRE(renewal);
    REQUIRE(fixture.replay(*renewal).accepted);
    fixture.advance(milliseconds(200));
    CHECK(fixture.serves());
    CHECK_FALSE(fixture.replay(*move).accepted);
}

TEST_CASE("the wait after an abandoned change covers the longest authority by promises")
{
    const OwnershipTimings timings;
    const NamedSuccessorAuthority policy(timings);
    const core::TimePoint read{std::chrono::hours(1)};
    AuthorityInputs inputs;
    inputs.logReadStartedAt = read;
    inputs.promisedUntil = {core::TimePoint::max(), core::TimePoint::max()};
    const core::TimePoint end = policy.authorityUntil(inputs).value();
    const TakeoverInputs abandoned{true, true, std::chrono::seconds(2)};
    CHECK(read + policy.waitBeforeRelease(abandoned) >= end + timings.lease + timings.drift);
}
