// Control messages exchanged between instances and their wire encoding.
#pragma once

#include "amaranthdale/core/error.h"
#include "amaranthdale/core/message.h"
#include "amaranthdale/core/types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::peer {

/// A backend server and the epoch under which an instance controls it.
struct ServerEpoch
{
    core::ServerName server;
    core::Epoch epoch;

    auto operator<=>(const ServerEpoch &) const = default;
};

/// A promise not to take over control of a backend server. The duration counts from the moment the
/// promising instance received the request.
struct Promise
{
    ServerEpoch serverEpoch;
    core::Duration duration{};

    bool operator==(const Promise &) const = default;
};

/// A request fingerprint that all instances reject until the ban expires.
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

/// Load of one backend server as seen by its controller, in requests.
struct ServerLoad
{
    core::ServerName server;
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    std::uint32_t queued = 0;

    bool operator==(const ServerLoad &) const = default;
};

/// Periodic message that tells the peers that an instance is alive and carries its state.
struct Heartbeat
{
    core::InstanceId sender;
    core::DataCentreName dataCentre;
    core::LogOffset newestOffset; ///< Newest log offset that the sender has replayed.
    core::Duration logAge{}; ///< Time since the sender started its latest read of the log's tail.
    bool leaving = false;
    std::vector<ServerEpoch> requestedPromises;
    std::vector<CrashBan> crashBans;
    std::vector<ServerLoad> loads;
    std::vector<core::ServerName> reachable; ///< Servers that the sender controls and can reach.
    std::vector<CrashStrike> crashStrikes;

    bool operator==(const Heartbeat &) const = default;
};

/// Reply to a heartbeat.
struct HeartbeatReply
{
    core::InstanceId sender;
    core::LogOffset newestOffset;
    core::Duration logAge{};
    std::vector<Promise> promises;
    std::vector<ServerEpoch> newer; ///< Requested subjects that already have a newer controller.

    bool operator==(const HeartbeatReply &) const = default;
};

/// Asks the previous controller of some slots for its ledger of their requests.
struct LedgerRequest
{
    core::ServerName server; ///< Server under which the previous controller kept the ledger.
    core::ServiceName service;
    std::vector<core::SlotIndex> slots;
    core::LogOffset offset; ///< Offset of the log record that moved the slots.

    bool operator==(const LedgerRequest &) const = default;
};

/// Outcome of one request according to a ledger.
enum class LedgerState {
    InFlight, ///< Sent; no response yet.
    Answered, ///< Answered with `status`.
    Unknown,  ///< Sent; it may or may not have been executed.
    NotRun,   ///< Definitely not executed.
};

/// One request to a backend server, with its response if that was stored.
struct LedgerEntry
{
    core::SlotIndex slot = 0;
    core::RequestId requestId;
    LedgerState state = LedgerState::InFlight;
    std::uint64_t fingerprint = 0;
    core::Duration age{};     ///< Time since the request ended.
    std::uint32_t status = 0; ///< HTTP status; 0 unless `Answered`.
    bool bodyStored = false;
    core::Headers headers;
    std::string body;

    bool operator==(const LedgerEntry &) const = default;
};

/// The point from which the ledger of a slot is complete.
struct LedgerSlot
{
    core::SlotIndex slot = 0;
    core::LogOffset knownSince;        ///< All ids issued at or after this offset are known.
    core::Duration callerUnknownFor{}; ///< Time until caller-chosen ids are known, too.

    bool operator==(const LedgerSlot &) const = default;
};

/// The requested slots for which the sender has a ledger, with all their entries.
struct LedgerReply
{
    std::vector<LedgerSlot> slots;
    std::vector<LedgerEntry> entries;

    bool operator==(const LedgerReply &) const = default;
};

/// Fail with InvalidArgument if a duration is negative. Names must be UTF-8; request ids may hold
/// arbitrary bytes. Durations are truncated to microseconds.
core::Result<std::string> encodeHeartbeat(const Heartbeat &message);
core::Result<std::string> encodeHeartbeatReply(const HeartbeatReply &message);
core::Result<std::string> encodeLedgerRequest(const LedgerRequest &message);
core::Result<std::string> encodeLedgerReply(const LedgerReply &message);

/// Fail with Protocol if the bytes are malformed, a string is not UTF-8, a required name is empty,
/// or a duration exceeds `maxDuration`.
core::Result<Heartbeat> decodeHeartbeat(std::string_view bytes);
core::Result<HeartbeatReply> decodeHeartbeatReply(std::string_view bytes);
core::Result<LedgerRequest> decodeLedgerRequest(std::string_view bytes);
core::Result<LedgerReply> decodeLedgerReply(std::string_view bytes);

/// Upper bound of durations in messages, so that adding one to a time point cannot overflow.
inline constexpr core::Duration maxDuration = std::chrono::hours(24 * 365);

} // namespace amaranthdale::peer
