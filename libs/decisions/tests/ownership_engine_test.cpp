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
struct Rig
{
    core::TimePoint now{std::chrono::hours(1)};
    OwnershipEngine engine{OwnershipSettings{self, 1, {}},
                           std::make_unique<NamedSuccessorAuthority>(OwnershipTimings()),
                           std::make_unique<RendezvousPlacement>(), now};
    std::shared_ptr<ClusterState> state = std::make_shared<ClusterState>();
    std::vector<OwnershipAction> actions;
    std::uint64_t sequence = 0;
    bool logAnswers = true;
    std::set<core::InstanceName> answering{second.id.name, third.id.name, fourth.id.name};

    Applied replay(core::InstanceId proposer, RecordBody body)
    {
        return this->replay(LogRecord{RecordId{std::move(proposer), 1000 + ++this->sequence},
                                      this->state->offset(), std::move(body)});
    }

    Applied replay(const LogRecord &record)
    {
        const LogOffset offset(this->state->offset().value + 1);
        this->state = std::make_shared<ClusterState>(*this->state);
        const Applied applied = this->state->apply(offset, record);
        if (record.id.proposer == self.id)
            this->engine.ownRecordApplied(record.id, offset, applied, this->now);
        this->engine.replayed(this->state, this->now);
        return applied;
    }

    // Declares servers a and b and assigns all four slots to a.
    void declare(const core::InstanceId &controller, std::vector<core::InstanceId> successors)
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
                                Release::Initial,
                                {SlotMove{serverA, {0, 1, 2, 3}, {}}}});
    }

    // Advances time. The log, the peers and server a answer within a millisecond, if at all.
    void pass(milliseconds time, bool serverAnswers = true)
    {
        for (milliseconds passed(0); passed < time; passed += milliseconds(10)) {
            this->now += milliseconds(10);
            this->engine.instancesListed({self, second, third, fourth}, this->now);
            for (const InstanceView &peer : {second, third, fourth}) {
                if (this->answering.contains(peer.id.name))
                    this->engine.heartbeatReceived(Heartbeat{peer, {}, {}, {}}, this->now);
            }
            if (this->logAnswers)
                this->engine.logRead(this->now - milliseconds(1), this->now);
            this->engine.tick(this->now);
            this->answer(serverAnswers);
        }
    }

    void answer(bool serverAnswers)
    {
        for (OwnershipAction &action : this->engine.takeActions()) {
            if (const auto *beat = std::get_if<SendHeartbeat>(&action)) {
                if (this->answering.contains(beat->to.name))
                    this->engine.heartbeatAnswered({beat->to, beat->heartbeat.requested, {}},
                                                   this->now, this->now);
                continue;
            }
            ServerAnswer reply;
            reply.server = serverA;
            reply.kind =
                    serverAnswers ? ServerAnswer::Kind::Accepted : ServerAnswer::Kind::NoAnswer;
            reply.sentAt = this->now;
            reply.incarnation = core::Incarnation(7);
            if (const auto *grant = std::get_if<SendGrant>(&action)) {
                reply.fence = grant->fence;
                reply.epoch = grant->fence.epoch;
            }
            if (std::holds_alternative<SendGrant>(action)
                || std::holds_alternative<ProbeServer>(action))
                this->engine.serverAnswered(reply, this->now);
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

    bool serves() const { return this->engine.mayServeSlot(serverA, 0, this->now).has_value(); }
};

} // namespace

TEST_CASE("promises extend authority during a log outage, and one missing promise ends it")
{
    Rig rig;
    rig.declare(self.id, {second.id, third.id});
    rig.pass(milliseconds(600));
    REQUIRE(rig.serves());
    rig.logAnswers = false;
    rig.pass(milliseconds(5000));
    CHECK(rig.serves());
    rig.answering.erase(third.id.name);
    rig.pass(milliseconds(400));
    CHECK_FALSE(rig.serves());
}

TEST_CASE("a pending controller change ends the authority by promises")
{
    // The change may name a successor that promised nothing and takes over without this instance
    // noticing.
    Rig rig;
    rig.declare(self.id, {second.id, third.id});
    rig.pass(milliseconds(600));
    rig.answering.erase(third.id.name);
    rig.pass(milliseconds(700));
    const std::optional<LogRecord> change = rig.appended<ControllerRecord>();
    REQUIRE(change);
    rig.engine.appendOpen(change->id, rig.now);
    rig.answering.insert(third.id.name);
    CHECK(rig.serves());
    rig.logAnswers = false;
    rig.pass(milliseconds(300));
    CHECK_FALSE(rig.serves());
}

TEST_CASE("a successor gives no promise while its own takeover may still take effect")
{
    Rig rig;
    rig.declare(second.id, {self.id, third.id});
    rig.answering.erase(second.id.name);
    rig.pass(milliseconds(500));
    const std::optional<LogRecord> takeover = rig.appended<ControllerRecord>();
    REQUIRE(takeover);
    rig.engine.appendOpen(takeover->id, rig.now);
    const core::Epoch epoch = rig.state->findServer(serverA)->controller->epoch;
    const Heartbeat request{second, {}, {{serverA, epoch}}, {}};
    CHECK(rig.engine.heartbeatReceived(request, rig.now).given.empty());
    // Under a later epoch, the takeover can no longer take effect.
    const Heartbeat later{second, {}, {{serverA, core::Epoch(epoch.value + 50)}}, {}};
    CHECK(rig.engine.heartbeatReceived(later, rig.now).given.size() == 1);
}

TEST_CASE("a successor doesn't take over before its promise expires")
{
    Rig rig;
    rig.declare(second.id, {self.id, third.id});
    rig.pass(milliseconds(500));
    const core::Epoch epoch = rig.state->findServer(serverA)->controller->epoch;
    REQUIRE(rig.engine.heartbeatReceived({second, {}, {{serverA, epoch}}, {}}, rig.now).given.size()
            == 1);
    rig.answering.erase(second.id.name);
    rig.pass(milliseconds(310));
    CHECK_FALSE(rig.appended<ControllerRecord>());
    rig.pass(milliseconds(100));
    CHECK(rig.appended<ControllerRecord>());
}

TEST_CASE("after a stall, a controller sends nothing until it has read the log again")
{
    Rig rig;
    rig.declare(self.id, {second.id, third.id});
    rig.pass(milliseconds(600));
    REQUIRE(rig.serves());
    rig.now += milliseconds(1000);
    CHECK_FALSE(rig.serves());
    rig.engine.tick(rig.now);
    for (const OwnershipAction &action : rig.engine.takeActions()) {
        CHECK_FALSE(std::holds_alternative<SendGrant>(action));
        CHECK_FALSE(std::holds_alternative<AppendRecord>(action));
    }
}

TEST_CASE("a restarted server gets its first grant only after a log read, not by promises")
{
    // The new process has no fence, and promises don't show which epoch the old process was fenced
    // with.
    Rig rig;
    rig.declare(self.id, {second.id, third.id});
    rig.pass(milliseconds(600));
    rig.logAnswers = false;
    rig.pass(milliseconds(600));
    REQUIRE(rig.serves());
    ServerAnswer restarted;
    restarted.server = serverA;
    restarted.kind = ServerAnswer::Kind::OtherIncarnation;
    restarted.incarnation = core::Incarnation(8);
    rig.engine.serverAnswered(restarted, rig.now);
    for (const OwnershipAction &action : rig.engine.takeActions())
        CHECK_FALSE(std::holds_alternative<SendGrant>(action));
}

TEST_CASE("a new epoch invalidates a dropped move, of which a second copy could still take effect")
{
    Rig rig;
    rig.declare(self.id, {second.id, third.id});
    rig.pass(milliseconds(600));
    rig.pass(milliseconds(500), false); // Server a fails; its slots are to move to b.
    // Server b's controller hasn't reported it as reachable, so no server can receive the slots
    // yet.
    CHECK_FALSE(rig.appended<SlotRecord>());
    rig.engine.heartbeatReceived({fourth, {}, {}, {serverB}}, rig.now);
    rig.engine.tick(rig.now);
    rig.answer(false);
    const std::optional<LogRecord> move = rig.appended<SlotRecord>();
    REQUIRE(move);
    CHECK(std::get<SlotRecord>(move->body).release == Release::LeaseExpired);

    ServiceDocument withoutB = rig.state->services().begin()->second.document;
    withoutB.servers.pop_back();
    rig.replay(second.id, DocumentRecord{withoutB});
    CHECK_FALSE(rig.replay(*move).accepted);
    rig.pass(milliseconds(50));
    CHECK_FALSE(rig.serves());
    const std::optional<LogRecord> renewal = rig.appended<ControllerRecord>();
    REQUIRE(renewal);
    REQUIRE(rig.replay(*renewal).accepted);
    rig.pass(milliseconds(200));
    CHECK(rig.serves());
    CHECK_FALSE(rig.replay(*move).accepted);
}

TEST_CASE("the wait after an abandoned change covers the longest authority by promises")
{
    const OwnershipTimings timings;
    const NamedSuccessorAuthority policy(timings);
    const core::TimePoint read{std::chrono::hours(1)};
    AuthorityFacts isolated;
    isolated.logReadBegan = read;
    isolated.promisedUntil = {core::TimePoint::max(), core::TimePoint::max()};
    const core::TimePoint end = policy.authorityUntil(isolated).value();
    const TakeoverFacts abandoned{true, true, std::chrono::seconds(2)};
    CHECK(read + policy.waitBeforeRelease(abandoned) >= end + timings.lease + timings.drift);
}
