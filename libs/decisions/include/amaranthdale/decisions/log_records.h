// Records of the replicated log, from which every instance derives the same ClusterState.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/service_document.h"

#include <string>
#include <variant>
#include <vector>

namespace amaranthdale::decisions {

/// Identifies a proposal. Lets its proposer recognise the record on replay if the response to the
/// append was lost.
struct RecordId
{
    core::InstanceId proposer; ///< Operators propose under the name "operator:<user>".
    std::uint64_t sequence = 0;

    auto operator<=>(const RecordId &) const = default;
};

/// Publishes a service document.
struct DocumentRecord
{
    ServiceDocument document;

    bool operator==(const DocumentRecord &) const = default;
};

/// Drains a data centre or returns it to service.
struct DataCentreRecord
{
    core::DataCentreName dataCentre;
    bool drained = false;

    bool operator==(const DataCentreRecord &) const = default;
};

/// Assigns the controller of a backend server. The record's offset becomes the epoch.
struct ControllerRecord
{
    core::ServerName server;
    core::InstanceId controller;
    /// The only instances that may take over without a proposal of the current controller, unless a
    /// record is `abandoned`.
    std::vector<core::InstanceId> successors;
    /// Replaces a controller whose successors are all gone too; any instance may propose it.
    bool abandoned = false;

    bool operator==(const ControllerRecord &) const = default;
};

/// Why it was safe to reassign hash slots.
enum class ReassignmentReason {
    Initial,      ///< The slots had no owner.
    Acknowledged, ///< The owner confirmed the revocation.
    LeaseExpired, ///< The controller stopped renewing the grant and the lease expired.
    WaitedOut,    ///< Neither owner nor former controller answered; the new controller waited.
};

/// Slots and hot keys reassigned to one backend server.
struct SlotMove
{
    core::ServerName to;
    std::vector<core::SlotIndex> slots;
    std::vector<std::string> hotKeys;

    bool operator==(const SlotMove &) const = default;
};

/// Reassigns hash slots and hot keys of one service that a single backend server owns.
struct SlotRecord
{
    core::ServiceName service;
    core::ServerName from; ///< Empty for ReassignmentReason::Initial.
    core::Epoch fromEpoch; ///< Epoch of the controller of `from` that released them.
    ReassignmentReason release = ReassignmentReason::Initial;
    std::vector<SlotMove> moves;

    bool operator==(const SlotRecord &) const = default;
};

/// Bans a request fingerprint that crashed two backend servers.
struct CrashRecord
{
    std::uint64_t fingerprint = 0;
    core::Duration ban = std::chrono::minutes(10); ///< Starts at replay, on each instance.

    bool operator==(const CrashRecord &) const = default;
};

/// One piece of the encoded state as of offset `covers`. The concatenation of pieces 0 to count-1
/// is the whole snapshot.
struct SnapshotRecord
{
    core::LogOffset covers;
    std::uint32_t index = 0;
    std::uint32_t count = 1;
    std::string piece;

    bool operator==(const SnapshotRecord &) const = default;
};

using RecordBody = std::variant<DocumentRecord, DataCentreRecord, ControllerRecord, SlotRecord,
                                CrashRecord, SnapshotRecord>;

/// A log record and the condition under which it takes effect.
struct LogRecord
{
    RecordId id;
    core::LogOffset basedOn; ///< The record is dropped if anything it touches changed later.
    RecordBody body;

    bool operator==(const LogRecord &) const = default;
};

} // namespace amaranthdale::decisions
