// Control message encoding: round trips of random messages and decoding of malformed input.
#include "amaranthdale/core/outcome.h"
#include "amaranthdale/peer/messages.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <sstream>

using namespace amaranthdale;
using namespace amaranthdale::peer;

namespace {

constexpr std::uint64_t seed = 20261204;

void checkProperty(const char *name, const std::function<void()> &property)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = 300;
    const auto result =
            rc::detail::checkTestable(property, rc::detail::TestMetadata{name, name}, params);
    std::ostringstream report;
    rc::detail::printResultMessage(result, report);
    CHECK_MESSAGE(result.template is<rc::detail::SuccessResult>(), report.str());
}

template<class Message>
bool roundTrips(const Message &message, core::Result<std::string> (*encode)(const Message &),
                core::Result<Message> (*decode)(std::string_view))
{
    const auto bytes = core::attempt([&] { return encode(message); });
    if (!bytes)
        return false;
    const auto copy = core::attempt([&] { return decode(*bytes); });
    return copy && *copy == message;
}

std::string anyName()
{
    return "n" + std::to_string(*rc::gen::arbitrary<std::uint16_t>());
}

core::Duration anyDuration()
{
    return std::chrono::microseconds(*rc::gen::inRange<std::int64_t>(0, 900'000'000));
}

ServerEpoch anyServerEpoch()
{
    return ServerEpoch{core::ServerName(anyName()),
                       core::Epoch(*rc::gen::arbitrary<std::uint64_t>())};
}

template<class Make>
auto anyList(Make make)
{
    std::vector<decltype(make())> list(*rc::gen::inRange<std::size_t>(0, 6));
    for (auto &element : list)
        element = make();
    return list;
}

core::InstanceId anyInstance()
{
    return core::InstanceId{core::InstanceName(anyName()),
                            core::Incarnation(*rc::gen::arbitrary<std::uint64_t>())};
}

} // namespace

TEST_CASE("a heartbeat decodes to an equal message, so that peers see the same promises and loads")
{
    checkProperty("heartbeat", [] {
        Heartbeat message;
        message.sender = anyInstance();
        message.dataCentre = core::DataCentreName(anyName());
        message.newestOffset = core::LogOffset(*rc::gen::arbitrary<std::uint64_t>());
        message.logAge = anyDuration();
        message.leaving = *rc::gen::arbitrary<bool>();
        message.requestedPromises = anyList(anyServerEpoch);
        message.crashBans = anyList([] {
            return CrashBan{*rc::gen::arbitrary<std::uint64_t>(), anyDuration()};
        });
        message.loads = anyList([] {
            return ServerLoad{core::ServerName(anyName()), *rc::gen::arbitrary<std::uint32_t>(),
                              *rc::gen::arbitrary<std::uint32_t>(),
                              *rc::gen::arbitrary<std::uint32_t>()};
        });
        message.reachable = anyList([] { return core::ServerName(anyName()); });
        message.crashStrikes = anyList([] {
            return CrashStrike{*rc::gen::arbitrary<std::uint64_t>(), core::ServerName(anyName()),
                               core::Incarnation(*rc::gen::arbitrary<std::uint64_t>()),
                               anyDuration()};
        });
        RC_ASSERT(roundTrips(message, &encodeHeartbeat, &decodeHeartbeat));
    });
}

TEST_CASE("a heartbeat reply decodes to an equal message, so that no promise is extended")
{
    checkProperty("heartbeat reply", [] {
        HeartbeatReply message;
        message.sender = anyInstance();
        message.newestOffset = core::LogOffset(*rc::gen::arbitrary<std::uint64_t>());
        message.logAge = anyDuration();
        message.promises = anyList([] { return Promise{anyServerEpoch(), anyDuration()}; });
        message.newer = anyList(anyServerEpoch);
        RC_ASSERT(roundTrips(message, &encodeHeartbeatReply, &decodeHeartbeatReply));
    });
}

TEST_CASE("ledger messages decode to equal messages, so that a handover loses no request id")
{
    checkProperty("ledger", [] {
        LedgerRequest request;
        request.server = core::ServerName(anyName());
        request.service = core::ServiceName(anyName());
        request.slots = anyList([] { return *rc::gen::arbitrary<std::uint32_t>(); });
        request.offset = core::LogOffset(*rc::gen::arbitrary<std::uint64_t>());
        RC_ASSERT(roundTrips(request, &encodeLedgerRequest, &decodeLedgerRequest));
        LedgerReply reply;
        reply.entries = anyList([] {
            LedgerEntry entry;
            entry.slot = *rc::gen::arbitrary<std::uint32_t>();
            // Caller-chosen ids may contain arbitrary bytes.
            entry.requestId = core::RequestId("i" + *rc::gen::arbitrary<std::string>());
            entry.state = *rc::gen::element(LedgerState::InFlight, LedgerState::Answered,
                                            LedgerState::Unknown, LedgerState::NotRun);
            entry.fingerprint = *rc::gen::arbitrary<std::uint64_t>();
            entry.age = anyDuration();
            entry.status = *rc::gen::arbitrary<std::uint32_t>();
            entry.bodyStored = *rc::gen::arbitrary<bool>();
            entry.body = *rc::gen::arbitrary<std::string>();
            entry.headers = {core::Header{"Content-Type", *rc::gen::arbitrary<std::string>()}};
            return entry;
        });
        reply.slots = anyList([] {
            return LedgerSlot{*rc::gen::arbitrary<std::uint32_t>(),
                              core::LogOffset(*rc::gen::arbitrary<std::uint64_t>()), anyDuration()};
        });
        RC_ASSERT(roundTrips(reply, &encodeLedgerReply, &decodeLedgerReply));
    });
}

TEST_CASE("arbitrary bytes never crash a decoder, and every accepted message round-trips")
{
    checkProperty("arbitrary bytes", [] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        const auto heartbeat = core::attempt([&] { return decodeHeartbeat(bytes); });
        if (heartbeat)
            RC_ASSERT(roundTrips(*heartbeat, &encodeHeartbeat, &decodeHeartbeat));
        const auto reply = core::attempt([&] { return decodeHeartbeatReply(bytes); });
        if (reply)
            RC_ASSERT(roundTrips(*reply, &encodeHeartbeatReply, &decodeHeartbeatReply));
        const auto request = core::attempt([&] { return decodeLedgerRequest(bytes); });
        if (request)
            RC_ASSERT(roundTrips(*request, &encodeLedgerRequest, &decodeLedgerRequest));
        const auto ledger = core::attempt([&] { return decodeLedgerReply(bytes); });
        if (ledger)
            RC_ASSERT(roundTrips(*ledger, &encodeLedgerReply, &decodeLedgerReply));
    });
}

TEST_CASE("a truncated heartbeat or one without a sender is rejected, not decoded as an empty one")
{
    Heartbeat message;
    message.sender = core::InstanceId{core::InstanceName("gasabo-1"), core::Incarnation(7)};
    message.loads.push_back(ServerLoad{core::ServerName("till-3"), 1, 4, 0});
    const auto bytes = core::attempt([&] { return encodeHeartbeat(message); });
    REQUIRE(bytes);
    const auto cut = core::attempt(
            [&] { return decodeHeartbeat(std::string_view(*bytes).substr(0, bytes->size() - 1)); });
    REQUIRE_FALSE(cut);
    CHECK(cut.error().kind == core::ErrorKind::Protocol);
    CHECK_FALSE(core::attempt([] { return decodeHeartbeat(""); }));
}

TEST_CASE("the encoder rejects a negative duration, which would decode as a very long one")
{
    HeartbeatReply message;
    message.sender = core::InstanceId{core::InstanceName("gasabo-1"), core::Incarnation(7)};
    message.promises.push_back(
            Promise{{core::ServerName("till-3"), core::Epoch(4)}, std::chrono::milliseconds(-1)});
    const auto bytes = core::attempt([&] { return encodeHeartbeatReply(message); });
    REQUIRE_FALSE(bytes);
    CHECK(bytes.error().kind == core::ErrorKind::InvalidArgument);
}
