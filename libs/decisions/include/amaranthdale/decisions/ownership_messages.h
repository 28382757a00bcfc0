// Messages and actions of the ownership engine.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/log_records.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace amaranthdale::decisions {

/// Timing parameters of the ownership protocol (section 3.2 of the design page).
struct OwnershipTimings
{
    core::Duration heartbeat = std::chrono::milliseconds(100);
    /// Until a silent peer is suspect.
    core::Duration suspectTimeout = std::chrono::milliseconds(300);
    core::Duration promise = std::chrono::milliseconds(300);
    core::Duration logAuthority = std::chrono::milliseconds(200);
    core::Duration lease = std::chrono::milliseconds(300);
    core::Duration renewal = std::chrono::milliseconds(100);
    core::Duration drift = std::chrono::milliseconds(20);
    /// Promises extend authority at most this long beyond the last log read, which bounds the wait
    /// after an `abandoned` change, whose proposer doesn't know of the promises. Must exceed every
    /// log outage during which no request may be refused.
    core::Duration maxPromiseAuthority = std::chrono::minutes(10);
    /// Time off the instance list after which a silent peer is gone.
    core::Duration absenceTimeout = std::chrono::seconds(10);
    /// Delay before an append with unknown outcome is sent again.
    core::Duration appendRetryDelay = std::chrono::milliseconds(200);
};

/// An instance as shown in the platform's instance list.
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

/// Message that an instance sends to its peers every `OwnershipTimings::heartbeat`.
struct Heartbeat
{
    InstanceView from;
    core::LogOffset offset;                  ///< Last record replayed by the sender.
    std::vector<ServerEpoch> requested;      ///< Servers for which the sender asks for a promise.
    std::vector<core::ServerName> reachable; ///< Servers that answer the sender, their controller.
};

/// Response to a heartbeat.
struct HeartbeatReply
{
    core::InstanceId from;
    /// Servers promised not to be taken over for the promise time.
    std::vector<ServerEpoch> promised;
    std::vector<ServerEpoch> newer; ///< Requested servers that have a newer controller.
};

/// Response of a backend server to a grant or a load query.
struct ServerReply
{
    enum class Kind { Accepted, HigherEpoch, IncarnationMismatch, NoAnswer };

    core::ServerName server;
    Kind kind = Kind::NoAnswer;
    core::Fence fence;      ///< Fence of the answered grant; zero for a load query.
    core::TimePoint sentAt; ///< When the request was sent.
    core::Incarnation incarnation;
    core::Epoch epoch;          ///< Highest epoch known to the server.
    core::Duration serverNow{}; ///< Monotonic clock of the server.
};

/// Queries the load, clock and incarnation of a backend server (GET /-/load).
struct ProbeServer
{
    core::ServerName server;
};

/// Grants exactly these slots and hot keys to a server, replacing any earlier grant (PUT /-/grant).
struct SendGrant
{
    core::ServerName server;
    core::ServiceName service;
    core::Incarnation incarnation;
    core::Fence fence;
    core::Duration expiresAt{}; ///< On the server's clock.
    std::vector<core::SlotIndex> slots;
    std::vector<std::string> hotKeys;
};

/// Appends a record to the log. The engine repeats the action while the outcome is unknown.
struct AppendRecord
{
    LogRecord record;
};

/// Sends a heartbeat. `heartbeatReplyReceived` takes the reply and the time at which this was sent.
struct SendHeartbeat
{
    core::InstanceId to;
    Heartbeat heartbeat;
};

/// Stops sending requests for these slots and hot keys to a server. Requests still in flight at
/// `deadline` are cancelled. `slotsIdle` must be called once none is left or the deadline passed.
struct PauseAdmission
{
    core::ServerName server;
    std::vector<core::SlotIndex> slots;
    std::vector<std::string> hotKeys;
    core::TimePoint deadline;
};

/// Reverts a PauseAdmission: requests for these slots and hot keys are sent again.
struct ResumeAdmission
{
    core::ServerName server;
    std::vector<core::SlotIndex> slots;
    std::vector<std::string> hotKeys;
};

/// Refuses all queued requests for a server as not run, because another instance controls it now.
struct RelinquishServer
{
    core::ServerName server;
};

/// Cancels the requests in flight to a server that stopped answering.
struct CancelRequests
{
    core::ServerName server;
};

/// Fetches ledger entries from the former controller: those of slots that moved to `server`, or of
/// all slots of a server that this instance took over.
struct FetchLedger
{
    core::InstanceId from;
    core::ServerName source; ///< Server for which `from` kept the ledger.
    core::ServerName server; ///< Server that owns the slots now.
    /// Offset of the change. Once `from` has replayed it, it sends no more requests for these
    /// slots.
    core::LogOffset since;
    std::vector<core::SlotIndex> slots;
    std::vector<std::string> hotKeys;
};

/// Encodes the state and appends it to the log in pieces as a snapshot.
struct WriteSnapshot
{
    core::LogOffset covers;
};

using OwnershipAction =
        std::variant<ProbeServer, SendGrant, AppendRecord, SendHeartbeat, PauseAdmission,
                     ResumeAdmission, RelinquishServer, CancelRequests, FetchLedger, WriteSnapshot>;

} // namespace amaranthdale::decisions
