// Tests of the responses of the operators' port.
#include "amaranthdale/report/operator_views.h"

#include "amaranthdale/core/hash.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::report;
using namespace std::chrono_literals;

namespace {

const core::ServiceName stockroom("stockroom");
const core::InstanceId first{core::InstanceName("i1"), core::Incarnation(11)};

// Offsets: 1 document, 2 controller of s1, 3 slot of "polish" to s1.
decisions::ClusterState assignedState()
{
    decisions::ServiceDocument document;
    document.service = stockroom;
    document.key.kind = decisions::ValueSource::Kind::Header;
    document.key.header = "X-Key";
    decisions::BackendServer server;
    server.name = core::ServerName("s1");
    server.dataCentre = core::DataCentreName("gasabo");
    document.servers.push_back(server);

    decisions::ClusterState state;
    const auto apply = [&state](std::uint64_t offset, decisions::RecordBody body) {
        REQUIRE(state.apply(core::LogOffset(offset),
                            {{first, offset}, core::LogOffset(offset - 1), std::move(body)})
                        .accepted);
    };
    apply(1, decisions::DocumentRecord{document});
    apply(2, decisions::ControllerRecord{server.name, first, {first}});
    const core::SlotIndex slot = core::slotForKey("polish", document.hashSeed, document.hashSlots);
    apply(3,
          decisions::SlotRecord{stockroom,
                                {},
                                {},
                                decisions::ReassignmentReason::Initial,
                                {{server.name, {slot}, {}}}});
    return state;
}

} // namespace

TEST_CASE("an explanation contains owner, record, controller and epoch, and survives a round trip")
{
    const auto explanation =
            core::attempt([] { return explainKey(assignedState(), stockroom, "polish"); });
    REQUIRE(explanation);
    CHECK(explanation->server == core::ServerName("s1"));
    CHECK(explanation->since == core::LogOffset(3));
    CHECK(explanation->controller == first.name);
    CHECK(explanation->epoch == core::Epoch(2));
    CHECK(explanation->reasons.size() == 3);
    const auto decoded = decodeExplanation(encodeExplanation(*explanation));
    REQUIRE(decoded);
    CHECK(*decoded == *explanation);
}

TEST_CASE("the explanation of a key without an owner says that requests are refused")
{
    const auto explanation =
            core::attempt([] { return explainKey(assignedState(), stockroom, "laces"); });
    REQUIRE(explanation);
    CHECK(explanation->server.empty());
    CHECK(explanation->reasons.back().find("refused") != std::string::npos);
    CHECK(decodeExplanation(encodeExplanation(*explanation)));
}

TEST_CASE("an unknown service is an error, not an empty explanation")
{
    const auto explanation = core::attempt(
            [] { return explainKey(assignedState(), core::ServiceName("till"), "polish"); });
    REQUIRE_FALSE(explanation);
    CHECK(explanation.error().kind == core::ErrorKind::NotFound);
}

TEST_CASE("instances survive a round trip, and invalid input is rejected")
{
    const std::vector<InstanceView> instances{
            {first.name, core::DataCentreName("gasabo"), false,
             HeartbeatOffset{core::LogOffset(9), 40ms}},
            {core::InstanceName("i2"), core::DataCentreName("gasabo"), true, {}}};
    const auto decoded = decodeInstances(encodeInstances(instances));
    REQUIRE(decoded);
    CHECK(*decoded == instances);
    CHECK_FALSE(decodeInstances(R"({"instances":[{"name":"i1","dataCentre":"d",
        "leaving":false,"offset":-1,"ageMs":0}]})"));
}
