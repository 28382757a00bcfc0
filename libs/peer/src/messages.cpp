// Converts control messages to and from protobuf.
#include "amaranthdale/peer/messages.h"

#include <control.pb.h>

namespace amaranthdale::peer {

namespace {

using Microseconds = std::chrono::microseconds;

core::Result<std::uint64_t> toMicroseconds(core::Duration duration)
{
    if (duration < core::Duration::zero())
        return core::fail(core::ErrorKind::InvalidArgument,
                          "negative duration in a control message; it must be 0 or more");
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<Microseconds>(std::min(duration, maxDuration)).count());
}

core::Result<core::Duration> fromMicroseconds(std::uint64_t count)
{
    static constexpr auto maxMicroseconds = static_cast<std::uint64_t>(
            std::chrono::duration_cast<Microseconds>(maxDuration).count());
    if (count > maxMicroseconds)
        return core::fail(core::ErrorKind::Protocol,
                          "duration in a control message exceeds one year; check the sender");
    return core::Duration(Microseconds(count));
}

boost::leaf::error_id malformedError(const char *what)
{
    return core::fail(core::ErrorKind::Protocol,
                      std::string("malformed ") + what
                              + " in a control message; check the version of the sender");
}

template<class Message>
core::Result<std::string> serialise(const Message &message)
{
    std::string bytes;
    if (!message.SerializeToString(&bytes))
        return core::fail(core::ErrorKind::InvalidArgument,
                          "cannot encode a control message; shorten it");
    return bytes;
}

template<class Message>
bool parse(Message &message, std::string_view bytes)
{
    return message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

void writeServerEpoch(const ServerEpoch &from, wire::ServerEpoch &to)
{
    to.set_server(from.server.value);
    to.set_epoch(from.epoch.value);
}

core::Result<ServerEpoch> readServerEpoch(const wire::ServerEpoch &from)
{
    if (from.server().empty())
        return malformedError("server name");
    return ServerEpoch{core::ServerName(from.server()), core::Epoch(from.epoch())};
}

core::Result<void> writeBans(const std::vector<CrashBan> &bans, wire::Heartbeat &to)
{
    for (const CrashBan &ban : bans) {
        auto &entry = *to.add_crash_bans();
        entry.set_fingerprint(ban.fingerprint);
        BOOST_LEAF_AUTO(remaining, toMicroseconds(ban.remaining));
        entry.set_remaining_us(remaining);
    }
    return {};
}

void writeLoads(const std::vector<ServerLoad> &loads, wire::Heartbeat &to)
{
    for (const ServerLoad &load : loads) {
        auto &entry = *to.add_loads();
        entry.set_server(load.server.value);
        entry.set_in_flight(load.inFlight);
        entry.set_limit(load.limit);
        entry.set_queued(load.queued);
    }
}

core::Result<std::vector<CrashBan>> readBans(const wire::Heartbeat &from)
{
    std::vector<CrashBan> bans;
    for (const auto &entry : from.crash_bans()) {
        BOOST_LEAF_AUTO(remaining, fromMicroseconds(entry.remaining_us()));
        bans.push_back(CrashBan{entry.fingerprint(), remaining});
    }
    return bans;
}

core::Result<void> writeStrikes(const std::vector<CrashStrike> &strikes, wire::Heartbeat &to)
{
    for (const CrashStrike &strike : strikes) {
        auto &entry = *to.add_crash_strikes();
        entry.set_fingerprint(strike.fingerprint);
        entry.set_server(strike.server.value);
        entry.set_incarnation(strike.incarnation.value);
        BOOST_LEAF_AUTO(age, toMicroseconds(strike.age));
        entry.set_age_us(age);
    }
    return {};
}

core::Result<std::vector<CrashStrike>> readStrikes(const wire::Heartbeat &from)
{
    std::vector<CrashStrike> strikes;
    for (const auto &entry : from.crash_strikes()) {
        BOOST_LEAF_AUTO(age, fromMicroseconds(entry.age_us()));
        strikes.push_back(CrashStrike{entry.fingerprint(), core::ServerName(entry.server()),
                                      core::Incarnation(entry.incarnation()), age});
    }
    return strikes;
}

core::Result<std::vector<ServerLoad>> readLoads(const wire::Heartbeat &from)
{
    std::vector<ServerLoad> loads;
    for (const auto &entry : from.loads()) {
        if (entry.server().empty())
            return malformedError("server name");
        loads.push_back(ServerLoad{core::ServerName(entry.server()), entry.in_flight(),
                                   entry.limit(), entry.queued()});
    }
    return loads;
}

wire::LedgerState writeState(LedgerState state)
{
    switch (state) {
    case LedgerState::InFlight:
        return wire::LEDGER_STATE_IN_FLIGHT;
    case LedgerState::Answered:
        return wire::LEDGER_STATE_ANSWERED;
    case LedgerState::Unknown:
        return wire::LEDGER_STATE_UNKNOWN;
    case LedgerState::NotRun:
        return wire::LEDGER_STATE_NOT_RUN;
    }
    return wire::LEDGER_STATE_UNKNOWN;
}

// A state that this version does not know implies that the request was sent: treat it as Unknown.
LedgerState readState(wire::LedgerState state)
{
    switch (state) {
    case wire::LEDGER_STATE_IN_FLIGHT:
        return LedgerState::InFlight;
    case wire::LEDGER_STATE_ANSWERED:
        return LedgerState::Answered;
    case wire::LEDGER_STATE_NOT_RUN:
        return LedgerState::NotRun;
    default:
        return LedgerState::Unknown;
    }
}

core::Result<void> writeEntry(const LedgerEntry &entry, wire::LedgerEntry &to)
{
    to.set_slot(entry.slot);
    to.set_request_id(entry.requestId.value);
    to.set_state(writeState(entry.state));
    to.set_fingerprint(entry.fingerprint);
    BOOST_LEAF_AUTO(age, toMicroseconds(entry.age));
    to.set_age_us(age);
    to.set_status(entry.status);
    to.set_body_stored(entry.bodyStored);
    to.set_body(entry.body);
    for (const core::Header &header : entry.headers) {
        auto &field = *to.add_headers();
        field.set_name(header.name);
        field.set_value(header.value);
    }
    return {};
}

core::Result<LedgerEntry> readEntry(const wire::LedgerEntry &from)
{
    if (from.request_id().empty())
        return malformedError("request id");
    LedgerEntry entry;
    entry.slot = from.slot();
    entry.requestId = core::RequestId(from.request_id());
    entry.state = readState(from.state());
    entry.fingerprint = from.fingerprint();
    BOOST_LEAF_ASSIGN(entry.age, fromMicroseconds(from.age_us()));
    entry.status = from.status();
    entry.bodyStored = from.body_stored();
    entry.body = from.body();
    for (const auto &field : from.headers())
        entry.headers.push_back(core::Header{field.name(), field.value()});
    return entry;
}

} // namespace

core::Result<std::string> encodeHeartbeat(const Heartbeat &message)
{
    wire::Heartbeat to;
    to.set_sender(message.sender.name.value);
    to.set_incarnation(message.sender.incarnation.value);
    to.set_data_centre(message.dataCentre.value);
    to.set_newest_offset(message.newestOffset.value);
    BOOST_LEAF_AUTO(logAge, toMicroseconds(message.logAge));
    to.set_log_age_us(logAge);
    to.set_leaving(message.leaving);
    for (const ServerEpoch &subject : message.requestedPromises)
        writeServerEpoch(subject, *to.add_requested_promises());
    BOOST_LEAF_CHECK(writeBans(message.crashBans, to));
    writeLoads(message.loads, to);
    for (const core::ServerName &server : message.reachable)
        to.add_reachable(server.value);
    BOOST_LEAF_CHECK(writeStrikes(message.crashStrikes, to));
    return serialise(to);
}

core::Result<Heartbeat> decodeHeartbeat(std::string_view bytes)
{
    wire::Heartbeat from;
    if (!parse(from, bytes) || from.sender().empty())
        return malformedError("heartbeat");
    Heartbeat message;
    message.sender = core::InstanceId{core::InstanceName(from.sender()),
                                      core::Incarnation(from.incarnation())};
    message.dataCentre = core::DataCentreName(from.data_centre());
    message.newestOffset = core::LogOffset(from.newest_offset());
    BOOST_LEAF_ASSIGN(message.logAge, fromMicroseconds(from.log_age_us()));
    message.leaving = from.leaving();
    for (const auto &entry : from.requested_promises()) {
        BOOST_LEAF_AUTO(subject, readServerEpoch(entry));
        message.requestedPromises.push_back(std::move(subject));
    }
    BOOST_LEAF_ASSIGN(message.crashBans, readBans(from));
    BOOST_LEAF_ASSIGN(message.loads, readLoads(from));
    for (const std::string &server : from.reachable())
        message.reachable.emplace_back(server);
    BOOST_LEAF_ASSIGN(message.crashStrikes, readStrikes(from));
    return message;
}

core::Result<std::string> encodeHeartbeatReply(const HeartbeatReply &message)
{
    wire::HeartbeatReply to;
    to.set_sender(message.sender.name.value);
    to.set_incarnation(message.sender.incarnation.value);
    to.set_newest_offset(message.newestOffset.value);
    BOOST_LEAF_AUTO(logAge, toMicroseconds(message.logAge));
    to.set_log_age_us(logAge);
    for (const Promise &promise : message.promises) {
        auto &entry = *to.add_promises();
        writeServerEpoch(promise.serverEpoch, *entry.mutable_subject());
        BOOST_LEAF_AUTO(duration, toMicroseconds(promise.duration));
        entry.set_duration_us(duration);
    }
    for (const ServerEpoch &subject : message.newer)
        writeServerEpoch(subject, *to.add_newer());
    return serialise(to);
}

core::Result<HeartbeatReply> decodeHeartbeatReply(std::string_view bytes)
{
    wire::HeartbeatReply from;
    if (!parse(from, bytes) || from.sender().empty())
        return malformedError("heartbeat reply");
    HeartbeatReply message;
    message.sender = core::InstanceId{core::InstanceName(from.sender()),
                                      core::Incarnation(from.incarnation())};
    message.newestOffset = core::LogOffset(from.newest_offset());
    BOOST_LEAF_ASSIGN(message.logAge, fromMicroseconds(from.log_age_us()));
    for (const auto &entry : from.promises()) {
        BOOST_LEAF_AUTO(subject, readServerEpoch(entry.subject()));
        BOOST_LEAF_AUTO(duration, fromMicroseconds(entry.duration_us()));
        message.promises.push_back(Promise{std::move(subject), duration});
    }
    for (const auto &entry : from.newer()) {
        BOOST_LEAF_AUTO(subject, readServerEpoch(entry));
        message.newer.push_back(std::move(subject));
    }
    return message;
}

core::Result<std::string> encodeLedgerRequest(const LedgerRequest &message)
{
    wire::LedgerRequest to;
    to.set_server(message.server.value);
    to.set_service(message.service.value);
    to.mutable_slots()->Add(message.slots.begin(), message.slots.end());
    to.set_offset(message.offset.value);
    return serialise(to);
}

core::Result<LedgerRequest> decodeLedgerRequest(std::string_view bytes)
{
    wire::LedgerRequest from;
    if (!parse(from, bytes) || from.service().empty() || from.server().empty())
        return malformedError("ledger request");
    LedgerRequest message;
    message.server = core::ServerName(from.server());
    message.service = core::ServiceName(from.service());
    message.slots.assign(from.slots().begin(), from.slots().end());
    message.offset = core::LogOffset(from.offset());
    return message;
}

core::Result<std::string> encodeLedgerReply(const LedgerReply &message)
{
    wire::LedgerReply to;
    for (const LedgerSlot &slot : message.slots) {
        auto &target = *to.add_slots();
        target.set_slot(slot.slot);
        target.set_known_since(slot.knownSince.value);
        BOOST_LEAF_AUTO(unknownFor, toMicroseconds(slot.callerUnknownFor));
        target.set_caller_unknown_us(unknownFor);
    }
    for (const LedgerEntry &entry : message.entries) {
        auto &target = *to.add_entries();
        BOOST_LEAF_CHECK(writeEntry(entry, target));
    }
    return serialise(to);
}

core::Result<LedgerReply> decodeLedgerReply(std::string_view bytes)
{
    wire::LedgerReply from;
    if (!parse(from, bytes))
        return malformedError("ledger reply");
    LedgerReply message;
    for (const auto &slot : from.slots()) {
        BOOST_LEAF_AUTO(unknownFor, fromMicroseconds(slot.caller_unknown_us()));
        message.slots.push_back(
                LedgerSlot{slot.slot(), core::LogOffset(slot.known_since()), unknownFor});
    }
    for (const auto &entry : from.entries()) {
        BOOST_LEAF_AUTO(read, readEntry(entry));
        message.entries.push_back(std::move(read));
    }
    return message;
}

} // namespace amaranthdale::peer
