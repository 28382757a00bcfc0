// Tests of UnavailableSlots. They guard against unavailable time that is missing from the report,
// or counted while slots were served.
#include "unavailable_slots.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::daemon;
using std::chrono::milliseconds;

namespace {

const core::ServiceName stockroom("stockroom");
const core::ServerName first("stock-1");
const core::ServerName second("stock-2");
const core::InstanceId self{core::InstanceName("i1"), core::Incarnation(1)};
const core::InstanceId other{core::InstanceName("i2"), core::Incarnation(2)};
const std::vector<core::SlotIndex> bothSlots{0, 1};

// A service with two slots whose servers all have the given controller.
std::shared_ptr<const decisions::ClusterState> stateWith(const core::ServerName &owner,
                                                         const core::InstanceId &controller)
{
    decisions::ServiceState service;
    service.document.service = stockroom;
    service.document.hashSlots = 2;
    service.slots.assign(2, decisions::SlotOwner{owner, core::LogOffset(1)});
    std::map<core::ServerName, decisions::ServerState> servers;
    for (const core::ServerName &name : {first, second}) {
        decisions::ServerState &server = servers[name];
        server.service = stockroom;
        server.controller.emplace();
        server.controller->instance = controller;
    }
    decisions::ClusterState state;
    state.restore(core::LogOffset(1), {{stockroom, service}}, servers, {});
    return std::make_shared<const decisions::ClusterState>(state);
}

struct Fixture
{
    report::Recorder recorder{{self.name, core::DataCentreName("gasabo")}};
    UnavailableSlots unavailable{recorder, self};
    core::TimePoint start{std::chrono::seconds(10)};

    std::vector<report::UnavailableRow> rows() const
    {
        return this->recorder.snapshot(this->start).unavailable;
    }
};

} // namespace

TEST_CASE("an interval lasts from the loss of a slot's grant until its next grant")
{
    Fixture fixture;
    fixture.unavailable.replayed(stateWith(first, self), {}, fixture.start);
    fixture.unavailable.updateGrantedSlots(first, bothSlots, fixture.start);
    fixture.unavailable.updateGrantedSlots(first, {0}, fixture.start + milliseconds(10));
    fixture.unavailable.updateGrantedSlots(first, {0}, fixture.start + milliseconds(20));
    CHECK(fixture.rows().empty());
    fixture.unavailable.updateGrantedSlots(first, bothSlots, fixture.start + milliseconds(40));
    REQUIRE(fixture.rows().size() == 1);
    CHECK(fixture.rows()[0].intervals == 1);
    CHECK(fixture.rows()[0].longest == milliseconds(30));
    CHECK(fixture.rows()[0].slotTime == milliseconds(30));
}

TEST_CASE("a server that doesn't respond counts as unavailable, even while its lease is valid")
{
    Fixture fixture;
    fixture.unavailable.replayed(stateWith(first, self), {}, fixture.start);
    fixture.unavailable.updateGrantedSlots(first, bothSlots, fixture.start);
    fixture.unavailable.queryCompleted(first, false, fixture.start + milliseconds(100));
    fixture.unavailable.updateGrantedSlots(first, bothSlots, fixture.start + milliseconds(150));
    CHECK(fixture.rows().empty());
    fixture.unavailable.replayed(stateWith(second, self), {}, fixture.start + milliseconds(400));
    fixture.unavailable.updateGrantedSlots(second, bothSlots, fixture.start + milliseconds(405));
    REQUIRE(fixture.rows().size() == 2);
    CHECK(fixture.rows()[0].longest == milliseconds(300));
    CHECK(fixture.rows()[0].slotTime == milliseconds(600));
    CHECK(fixture.rows()[1].longest == milliseconds(5));
}

TEST_CASE("a takeover counts from the last heartbeat of the failed controller")
{
    Fixture fixture;
    fixture.unavailable.replayed(stateWith(first, other), {}, fixture.start);
    fixture.unavailable.replayed(stateWith(first, self), {{other, fixture.start}},
                                 fixture.start + milliseconds(320));
    fixture.unavailable.updateGrantedSlots(first, bothSlots, fixture.start + milliseconds(330));
    REQUIRE(fixture.rows().size() == 1);
    CHECK(fixture.rows()[0].longest == milliseconds(330));
}

TEST_CASE("an observation that arrives out of order doesn't reopen an interval")
{
    Fixture fixture;
    fixture.unavailable.replayed(stateWith(first, self), {}, fixture.start);
    fixture.unavailable.updateGrantedSlots(first, bothSlots, fixture.start + milliseconds(20));
    fixture.unavailable.updateGrantedSlots(first, {}, fixture.start + milliseconds(10));
    fixture.unavailable.updateGrantedSlots(first, bothSlots, fixture.start + milliseconds(30));
    CHECK(fixture.rows().empty());
}
