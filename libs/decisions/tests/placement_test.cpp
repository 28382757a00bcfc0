// Tests of placement: balance, spread over data centres and the number of slots moved.
#include "amaranthdale/decisions/placement.h"

#include <doctest/doctest.h>

#include <map>

using namespace amaranthdale;
using namespace amaranthdale::decisions;
using core::LogOffset;

namespace {

constexpr core::SlotIndex slotCount = 1024;
const RendezvousPlacement placement;

core::DataCentreName dataCentreOf(unsigned index)
{
    return core::DataCentreName("dc" + std::to_string(index % 3));
}

LogRecord recordOf(const ClusterState &state, RecordBody body)
{
    const core::InstanceId user{core::InstanceName("operator:test"), core::Incarnation()};
    return LogRecord{RecordId{user, state.offset().value}, state.offset(), std::move(body)};
}

void replay(ClusterState &state, RecordBody body)
{
    const LogRecord record = recordOf(state, std::move(body));
    REQUIRE(state.apply(LogOffset(state.offset().value + 1), record).accepted);
}

ServiceDocument documentOf(unsigned servers)
{
    ServiceDocument document;
    document.service = core::ServiceName("stockroom");
    document.hashSlots = slotCount;
    for (unsigned index = 0; index < servers; ++index) {
        BackendServer server;
        server.name = core::ServerName("s" + std::to_string(index));
        server.dataCentre = dataCentreOf(index);
        document.servers.push_back(server);
    }
    return document;
}

PlacementView viewOf(const ClusterState &state)
{
    std::vector<InstanceView> instances;
    for (unsigned index = 0; index < 9; ++index) {
        const core::InstanceName name("i" + std::to_string(index));
        instances.push_back({{name, core::Incarnation(1)}, dataCentreOf(index), false});
    }
    return PlacementView{state, instances, {}};
}

const ServiceState &serviceOf(const ClusterState &state)
{
    return state.services().begin()->second;
}

ClusterState assignedState(unsigned servers)
{
    ClusterState state;
    replay(state, DocumentRecord{documentOf(servers)});
    const ServiceState &service = serviceOf(state);
    replay(state,
           SlotRecord{service.document.service,
                      {},
                      {},
                      ReassignmentReason::Initial,
                      placement.assignUnownedSlots(viewOf(state), service)});
    return state;
}

std::map<core::ServerName, std::size_t> slotsPerServer(const ClusterState &state)
{
    std::map<core::ServerName, std::size_t> counts;
    for (const SlotOwner &owner : serviceOf(state).slots)
        ++counts[owner.server];
    return counts;
}

std::size_t slotsIn(const std::vector<SlotMove> &moves)
{
    std::size_t count = 0;
    for (const SlotMove &move : moves)
        count += move.slots.size();
    return count;
}

} // namespace

TEST_CASE("the loss of one data centre never takes a server together with its controller, nor a "
          "controller together with a successor")
{
    ClusterState state;
    replay(state, DocumentRecord{documentOf(12)});
    const PlacementView view = viewOf(state);
    std::map<core::InstanceId, std::size_t> controlled;
    std::map<core::InstanceId, core::DataCentreName> places;
    for (const InstanceView &instance : view.instances)
        places[instance.id] = instance.dataCentre;
    const std::vector<ControllerRecord> records = placement.chooseControllers(view);
    REQUIRE(records.size() == 12);
    for (const ControllerRecord &record : records) {
        const core::DataCentreName own = state.findServer(record.server)->spec.dataCentre;
        ++controlled[record.controller];
        CHECK(places[record.controller] != own);
        REQUIRE(record.successors.size() == 2);
        CHECK(places[record.successors[0]] != places[record.controller]);
        CHECK(places[record.successors[1]] != places[record.controller]);
    }
    for (const auto &[instance, count] : controlled)
        CHECK(count <= 2);
}

TEST_CASE("initial assignment gives every server its share of slots")
{
    for (const auto &[server, count] : slotsPerServer(assignedState(12))) {
        CHECK(count >= 85);
        CHECK(count <= 86);
    }
}

TEST_CASE("the loss of a server moves only its own slots and keeps the balance")
{
    const ClusterState state = assignedState(12);
    const core::ServerName lost("s3");
    const std::vector<SlotMove> moves =
            placement.evacuateServer(viewOf(state), serviceOf(state), lost);
    CHECK(slotsIn(moves) == slotsPerServer(state)[lost]);
    std::map<core::ServerName, std::size_t> counts = slotsPerServer(state);
    for (const SlotMove &move : moves) {
        CHECK(move.to != lost);
        CHECK(counts[move.to] + move.slots.size() <= 94);
    }
}

TEST_CASE("a new server receives its share, and no slot moves between other servers")
{
    ClusterState state = assignedState(12);
    replay(state, DocumentRecord{documentOf(13)});
    const core::ServerName joined("s12");
    std::size_t received = 0;
    for (const auto &[server, count] : slotsPerServer(state)) {
        const std::vector<SlotMove> moves =
                placement.rebalance(viewOf(state), serviceOf(state), server, slotCount);
        for (const SlotMove &move : moves)
            CHECK(move.to == joined);
        received += slotsIn(moves);
    }
    CHECK(received >= 70);
    CHECK(received <= 79); // 1024 / 13 = 78.8
}

TEST_CASE("an unreachable server receives no slots")
{
    const ClusterState state = assignedState(12);
    PlacementView view = viewOf(state);
    view.unreachable.insert(core::ServerName("s1"));
    for (const SlotMove &move :
         placement.evacuateServer(view, serviceOf(state), core::ServerName("s0")))
        CHECK(move.to != core::ServerName("s1"));
}
