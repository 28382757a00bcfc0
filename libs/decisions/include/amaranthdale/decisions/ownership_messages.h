// What the decisions about ownership take in and give out: facts of other processes and actions.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/log_records.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace amaranthdale::decisions {

/// Intervals of the rules of ownership (design page, section 3.2).
struct OwnershipTimings
{
    core::Duration heartbeat = std::chrono::milliseconds(100);
    core::Duration silence = std::chrono::milliseconds(300); ///< A silent peer is then suspect.
    core::Duration promise = std::chrono::milliseconds(300);
    core::Duration logAuthority = std::chrono::milliseconds(200);
    core::Duration lease = std::chrono::milliseconds(300);
    core::Duration renewal = std::chrono::milliseconds(100);
    core::Duration drift = std::chrono::milliseconds(20);
    /// Promises count only this long after the last read of the log. It bounds the authority that
    /// an `abandoned` change can't see; longer than any outage that must pass without refusals.
    core::Duration promiseLimit = std::chrono::minutes(10);
    core::Duration absence = std::chrono::seconds(10); ///< Unlisted this long, an instance is gone.
    core::Duration resend = std::chrono::milliseconds(200); ///< Of an append with open outcome.
};

/// An instance as the platform's list shows it.
struct InstanceView
{
    core::InstanceId id;
    core::DataCentreName dataCentre;
    bool leaving = false;

    bool operator==(const InstanceView &) const = default;
};

/// A backend server under one controller epoch.
struct ServerEpoch
{
    core::ServerName server;
    core::Epoch epoch;

    bool operator==(const ServerEpoch &) const = default;
};

/// What an instance tells a peer every 100 ms.
struct Heartbeat
{
    InstanceView from;
    core::LogOffset offset;                  ///< Last record that the sender replayed.
    std::vector<ServerEpoch> requested;      ///< Promises asked for: not to take these over.
    std::vector<core::ServerName> reachable; ///< Servers that the sender controls and reaches.
};

/// Response to a heartbeat.
struct HeartbeatReply
{
    core::InstanceId from;
    std::vector<ServerEpoch> given; ///< No takeover of these for the promise time.
    std::vector<ServerEpoch> newer; ///< Requested ones that have a newer controller.
};

/// Response of a backend server to a grant or a load query.
struct ServerAnswer
{
    enum class Kind { Accepted, HigherEpoch, OtherIncarnation, NoAnswer };

    core::ServerName server;
    Kind kind = Kind::NoAnswer;
    core::Fence fence;      ///< Of the grant that is answered; zero for a load query.
    core::TimePoint sentAt; ///< When the request was sent.
    core::Incarnation incarnation;
    core::Epoch epoch;          ///< Highest that the server holds.
    core::Duration serverNow{}; ///< The server's own monotonic clock.
};

/// Asks a backend server for its load, clock and incarnation (GET /-/load).
struct ProbeServer
{
    core::ServerName server;
};

/// Grants exactly these slots and hot keys to a server, replacing earlier grants (PUT /-/grant).
struct SendGrant
{
    core::ServerName server;
    core::ServiceName service;
    core::Incarnation incarnation;
    core::Fence fence;
    core::Duration expiresAt{}; ///< On the server's own clock.
    std::vector<core::SlotIndex> slots;
    std::vector<std::string> hotKeys;
};

/// Appends a record to the log. The engine repeats the action while the outcome is open.
struct AppendRecord
{
    LogRecord record;
};

/// Sends a heartbeat; the reply comes back with the time at which it was sent.
struct SendHeartbeat
{
    core::InstanceId to;
    Heartbeat heartbeat;
};

/// Stops sending requests for these slots and hot keys of a server. Requests in flight at
/// `deadline` are cancelled; `slotsIdle` is called when none is left or the deadline passed.
struct StopAdmitting
{
    core::ServerName server;
    std::vector<core::SlotIndex> slots;
    std::vector<std::string> hotKeys;
    core::TimePoint deadline;
};

/// Admits requests for these slots and hot keys again.
struct ResumeAdmitting
{
    core::ServerName server;
    std::vector<core::SlotIndex> slots;
    std::vector<std::string> hotKeys;
};

/// Refuses all queued requests of a server as not run: another instance controls it now.
struct StopServer
{
    core::ServerName server;
};

/// Cancels requests in flight to a server that stopped answering.
struct CancelRequests
{
    core::ServerName server;
};

/// Asks the former controller for the ledger entries of slots that moved to `server`, or of all
/// slots of a server that this instance controls now.
struct FetchLedger
{
    core::InstanceId from;
    core::ServerName source; ///< Server under which `from` kept the ledger.
    core::ServerName server; ///< Server that has the slots now.
    core::LogOffset since; ///< Record of the change; `from` sends nothing more once it replayed it.
    std::vector<core::SlotIndex> slots;
    std::vector<std::string> hotKeys;
};

/// Encodes the state and appends it in pieces, as a snapshot.
struct WriteSnapshot
{
    core::LogOffset covers;
};

using OwnershipAction =
        std::variant<ProbeServer, SendGrant, AppendRecord, SendHeartbeat, StopAdmitting,
                     ResumeAdmitting, StopServer, CancelRequests, FetchLedger, WriteSnapshot>;

} // namespace amaranthdale::decisions
