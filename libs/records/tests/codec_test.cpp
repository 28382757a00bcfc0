// Round trips and malformed input of the codecs. If a record decoded to a different one, the
// instances' states would diverge.
#include "amaranthdale/records/record_codec.h"
#include "amaranthdale/records/service_document_codec.h"
#include "amaranthdale/records/state_codec.h"
#include "generators.h"

#include <doctest/doctest.h>
#include <rapidcheck/detail/Results.h>

using namespace amaranthdale;
using namespace amaranthdale::records;
using namespace amaranthdale::decisions;

namespace {

// A state with a removed server that still owns slots, a binary hot key and a drained data centre.
ClusterState sampleState()
{
    const core::InstanceId proposer{core::InstanceName("i1"), core::Incarnation(7)};
    ServiceDocument document;
    document.service = core::ServiceName("stockroom");
    document.hashSlots = 64;
    for (int index = 0; index < 2; ++index) {
        BackendServer server;
        server.name = core::ServerName("s" + std::to_string(index));
        server.dataCentre = core::DataCentreName("gasabo");
        server.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(9000 + index)};
        document.servers.push_back(server);
    }
    ServiceDocument smaller = document;
    smaller.servers.pop_back();
    const std::vector<RecordBody> bodies = {
            DocumentRecord{document},
            ControllerRecord{core::ServerName("s1"), proposer, {proposer}, false},
            SlotRecord{document.service,
                       {},
                       {},
                       ReassignmentReason::Initial,
                       {{core::ServerName("s1"), {0, 1, 2, 40}, {}}}},
            SlotRecord{document.service,
                       core::ServerName("s1"),
                       core::Epoch(2),
                       ReassignmentReason::Acknowledged,
                       {{core::ServerName("s0"), {40}, {}}}},
            DataCentreRecord{core::DataCentreName("kicukiro"), true},
            ControllerRecord{core::ServerName("s1"), proposer, {proposer}, true},
            CrashRecord{77, std::chrono::minutes(10)},
            DocumentRecord{smaller}};
    ClusterState state;
    std::uint64_t offset = 0;
    for (const RecordBody &body : bodies) {
        const LogRecord record{{proposer, offset}, core::LogOffset(offset), body};
        ++offset;
        const ApplyResult applied = state.apply(core::LogOffset(offset), record);
        REQUIRE_MESSAGE(applied.accepted, applied.reason);
    }
    auto services = state.services();
    services.begin()->second.hotKeys[std::string("\0\xff%k", 4)] = {core::ServerName("s0"),
                                                                    core::LogOffset(4)};
    state.restore(state.offset(), services, state.servers(), state.dataCentres(),
                  state.crashBans());
    return state;
}

} // namespace

TEST_CASE("a record round-trips, so that all instances replay the same")
{
    CHECK(testing::holds("record round trip", [] {
        const LogRecord record = testing::anyRecord();
        const std::string text = encodeRecord(record);
        const auto decoded = decodeRecord(text);
        if (!decoded)
            RC_FAIL(toError(decoded.faults()).message + " in " + text);
        RC_ASSERT(*decoded == record);
        RC_ASSERT(text.find('\n') == std::string::npos);
    }));
}

TEST_CASE("a document round-trips, so that a published copy can be edited and published again")
{
    CHECK(testing::holds("document round trip", [] {
        const ServiceDocument document = testing::anyDocument();
        const auto parsed = parseServiceDocument(formatServiceDocument(document));
        if (!parsed)
            RC_FAIL(toError(parsed.faults()).message);
        RC_ASSERT(*parsed == document);
    }));
}

TEST_CASE("no input crashes a decoder, since anyone may append to the log")
{
    CHECK(testing::holds("mutated input", [] {
        const std::string text = testing::mutate(encodeRecord(testing::anyRecord()));
        const auto decoded = decodeRecord(text);
        if (decoded)
            RC_ASSERT(*decodeRecord(encodeRecord(*decoded)) == *decoded);
    }));
    CHECK(testing::holds("random input", [] {
        const auto text = *rc::gen::arbitrary<std::string>();
        decodeRecord(text);
        decodeState(text);
        parseServiceDocument(text);
    }));
    const std::string state = encodeState(sampleState());
    CHECK(testing::holds("mutated state", [&state] { decodeState(testing::mutate(state)); }));
    CHECK_FALSE(decodeRecord(std::string(100'000, '[')));
}

TEST_CASE(
        "a state round-trips through encoding, splitting and joining; new instances start from it")
{
    const ClusterState state = sampleState();
    const std::string text = encodeState(state);
    std::vector<SnapshotRecord> pieces = splitState(state.offset(), text, 100);
    REQUIRE(pieces.size() > 2);
    std::swap(pieces.front(), pieces.back());
    const auto joined = joinState(pieces);
    REQUIRE(joined);
    const auto decoded = decodeState(*joined);
    REQUIRE_MESSAGE(decoded, text);
    CHECK(*decoded == state);

    pieces.pop_back();
    CHECK_FALSE(joinState(pieces));
    pieces.push_back(pieces.front());
    CHECK_FALSE(joinState(pieces));
    CHECK_FALSE(joinState({}));
}

TEST_CASE("a state that violates an invariant is rejected, since replay relies on the invariants")
{
    std::string text = encodeState(sampleState());
    const auto replaced = [&text](std::string_view from, std::string_view to) {
        std::string copy = text;
        copy.replace(copy.find(from), from.size(), to);
        return copy;
    };
    CHECK_FALSE(decodeState(replaced("\"count\":3", "\"count\":2")));
    CHECK_FALSE(decodeState(replaced("\"count\":3", "\"count\":4000000000")));
    CHECK_FALSE(decodeState(
            replaced("\"changedAt\":3,\"server\":\"s1\"", "\"changedAt\":3,\"server\":\"s9\"")));
    CHECK_FALSE(decodeState(replaced("\"epoch\":6", "\"epoch\":999")));
    CHECK_FALSE(decodeState(replaced("\"format\":1", "\"format\":2")));
}
