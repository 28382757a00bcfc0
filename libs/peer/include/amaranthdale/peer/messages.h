// Control messages that instances exchange, as plain structs, and their encoding for the wire.
#pragma once

#include "amaranthdale/core/error.h"
#include "amaranthdale/core/message.h"
#include "amaranthdale/core/types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::peer {

/// Control of one backend server under one epoch.
struct ServerEpoch
{
    core::ServerName server;
    core::Epoch epoch;

    auto operator<=>(const ServerEpoch &) const = default;
};

/// A promise not to take over a backend server, in force from the receipt of the request for it.
struct Promise
{
    ServerEpoch subject;
    core::Duration duration{};

    bool operator==(const Promise &) const = default;
};

/// A request fingerprint that is refused everywhere for a while.
struct CrashBan
{
    std::uint64_t fingerprint = 0;
    core::Duration remaining{};

    bool operator==(const CrashBan &) const = default;
};

/// A request fingerprint that was in flight when a backend server crashed.
struct CrashStrike
{
    std::uint64_t fingerprint = 0;
    core::ServerName server;
    core::Incarnation incarnation;
    core::Duration age{};

    bool operator==(const CrashStrike &) const = default;
};

/// Load of one backend server as its controller sees it, in requests.
struct ServerLoad
{
    core::ServerName server;
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    std::uint32_t queued = 0;

    bool operator==(const ServerLoad &) const = default;
};

/// Sign of life of one instance with what others need to know of it.
struct Heartbeat
{
    core::InstanceId sender;
    core::DataCentreName dataCentre;
    core::LogOffset newestOffset; ///< That the sender has replayed.
    core::Duration logAge{}; ///< Time since the sender began its newest read of the log's tail.
    bool leaving = false;
    std::vector<ServerEpoch> requestedPromises;
    std::vector<CrashBan> crashBans;
    std::vector<ServerLoad> loads;
    std::vector<core::ServerName> reachable; ///< Servers that the sender controls and reaches.
    std::vector<CrashStrike> crashStrikes;

    bool operator==(const Heartbeat &) const = default;
};

/// Answer to a heartbeat.
struct HeartbeatReply
{
    core::InstanceId sender;
    core::LogOffset newestOffset;
    core::Duration logAge{};
    std::vector<Promise> promises;
    std::vector<ServerEpoch> newer; ///< Requested ones that have a newer controller.

    bool operator==(const HeartbeatReply &) const = default;
};

/// Asks the former controller of some slots for what it knows of their requests.
struct LedgerRequest
{
    core::ServerName server; ///< Under which the former controller kept the ledger.
    core::ServiceName service;
    std::vector<core::SlotIndex> slots;
    core::LogOffset offset; ///< Of the record that moved the slots.

    bool operator==(const LedgerRequest &) const = default;
};

/// What a ledger knows of one request.
enum class LedgerState {
    InFlight, ///< Sent, not answered yet.
    Answered, ///< Answered with the given status.
    Unknown,  ///< Sent; whether it ran is open.
    NotRun,   ///< Certainly never began.
};

/// One request that was sent to a backend server, with its response where that was kept.
struct LedgerEntry
{
    core::SlotIndex slot = 0;
    core::RequestId requestId;
    LedgerState state = LedgerState::InFlight;
    std::uint64_t fingerprint = 0;
    core::Duration age{};     ///< Since its end.
    std::uint32_t status = 0; ///< HTTP status; 0 unless answered.
    bool bodyStored = false;
    core::Headers headers;
    std::string body;

    bool operator==(const LedgerEntry &) const = default;
};

/// From when on the ledger of a slot is complete.
struct LedgerSlot
{
    core::SlotIndex slot = 0;
    core::LogOffset knownSince;        ///< All ids issued from here on are known.
    core::Duration callerUnknownFor{}; ///< Ids chosen by callers are known after this.

    bool operator==(const LedgerSlot &) const = default;
};

/// The slots that were asked for and that the sender has a ledger of, with all entries.
struct LedgerReply
{
    std::vector<LedgerSlot> slots;
    std::vector<LedgerEntry> entries;

    bool operator==(const LedgerReply &) const = default;
};

/// Encoding fails with InvalidArgument when a duration is negative. Names are UTF-8, request ids
/// any bytes. Durations travel in microseconds; finer parts are cut off.
core::Result<std::string> encodeHeartbeat(const Heartbeat &message);
core::Result<std::string> encodeHeartbeatReply(const HeartbeatReply &message);
core::Result<std::string> encodeLedgerRequest(const LedgerRequest &message);
core::Result<std::string> encodeLedgerReply(const LedgerReply &message);

/// Decoding fails with Protocol when the bytes are no such message, a text isn't UTF-8, a name that
/// the message needs is empty, or a duration is beyond `longestDuration`.
core::Result<Heartbeat> decodeHeartbeat(std::string_view bytes);
core::Result<HeartbeatReply> decodeHeartbeatReply(std::string_view bytes);
core::Result<LedgerRequest> decodeLedgerRequest(std::string_view bytes);
core::Result<LedgerReply> decodeLedgerReply(std::string_view bytes);

/// Longest duration a message may hold. It is far from overflow when it is added to a time.
inline constexpr core::Duration longestDuration = std::chrono::hours(24 * 365);

} // namespace amaranthdale::peer
