// The records of the log stream, from which every instance replays the same state.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/service_document.h"

#include <string>
#include <variant>
#include <vector>

namespace amaranthdale::decisions {

/// Identifies a proposal, so that its proposer recognises it on replay when the append's response
/// was lost.
struct RecordId
{
    core::InstanceId proposer; ///< Operators propose under the name "operator:<user>".
    std::uint64_t sequence = 0;

    auto operator<=>(const RecordId &) const = default;
};

/// Puts a service document in force.
struct DocumentRecord
{
    ServiceDocument document;

    bool operator==(const DocumentRecord &) const = default;
};

/// Takes a data centre out of service or returns it.
struct DataCentreRecord
{
    core::DataCentreName dataCentre;
    bool drained = false;

    bool operator==(const DataCentreRecord &) const = default;
};

/// Makes an instance the controller of a backend server. The record's offset is the epoch.
struct ControllerRecord
{
    core::ServerName server;
    core::InstanceId controller;
    std::vector<core::InstanceId> successors; ///< The only instances that may take over unasked.
    bool abandoned = false; ///< Replaces a controller all of whose successors are gone as well.

    bool operator==(const ControllerRecord &) const = default;
};

/// Why hash slots could leave their former owner.
enum class Release {
    Initial,      ///< They had no owner.
    Acknowledged, ///< The owner confirmed the revocation.
    LeaseExpired, ///< Its controller stopped renewing and waited out the lease.
    WaitedOut,    ///< Neither owner nor former controller answered; the successor waited.
};

/// Slots and hot keys that go to one backend server.
struct SlotMove
{
    core::ServerName to;
    std::vector<core::SlotIndex> slots;
    std::vector<std::string> hotKeys;

    bool operator==(const SlotMove &) const = default;
};

/// Moves hash slots and hot keys of one service away from one backend server.
struct SlotRecord
{
    core::ServiceName service;
    core::ServerName from; ///< Empty for Release::Initial.
    core::Epoch fromEpoch; ///< Epoch of the controller of `from` that made the release.
    Release release = Release::Initial;
    std::vector<SlotMove> moves;

    bool operator==(const SlotRecord &) const = default;
};

/// Bans a request fingerprint that crashed two backend servers.
struct CrashRecord
{
    std::uint64_t fingerprint = 0;
    core::Duration ban = std::chrono::minutes(10); ///< Counted by each instance from replay.

    bool operator==(const CrashRecord &) const = default;
};

/// One piece of the encoded state as of `covers`; pieces 0 to count-1 joined give the whole.
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

/// A record with the condition under which it takes effect.
struct LogRecord
{
    RecordId id;
    core::LogOffset basedOn; ///< Dropped if an entity that it touches changed after this offset.
    RecordBody body;

    bool operator==(const LogRecord &) const = default;
};

} // namespace amaranthdale::decisions
