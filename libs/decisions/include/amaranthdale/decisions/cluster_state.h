// The state that all instances replay from the log: configuration, controllers and ownership.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/log_records.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::decisions {

/// The instance that sends requests and grants to a backend server.
struct Controller
{
    core::InstanceId instance;
    std::vector<core::InstanceId> successors;
    core::Epoch epoch; ///< Offset of the record that made it the controller.
    /// Offset of the last `abandoned` change of the server's controller, 0 without one. Whoever
    /// takes over later still has to wait for the controller that was replaced then.
    core::LogOffset abandonedAt;

    bool operator==(const Controller &) const = default;
};

/// A backend server that a document in force names, or that still owns slots.
struct ServerState
{
    core::ServiceName service;
    BackendServer spec;
    bool removed = false; ///< No longer in its service's document; it keeps slots until they move.
    std::optional<Controller> controller;

    bool operator==(const ServerState &) const = default;
};

/// Owner of a hash slot or of a hot key.
struct SlotOwner
{
    core::ServerName server; ///< Empty when nothing owns it.
    core::LogOffset changedAt;

    bool operator==(const SlotOwner &) const = default;
};

/// A service with its table of owners.
struct ServiceState
{
    ServiceDocument document;
    core::LogOffset version;                               ///< Offset of the document in force.
    std::vector<SlotOwner> slots;                          ///< Always `document.hashSlots` entries.
    std::map<std::string, SlotOwner, std::less<>> hotKeys; ///< Override their slots.

    /// Owner of `key`: its own entry, else that of its slot.
    const SlotOwner &ownerOf(std::string_view key) const;

    bool operator==(const ServiceState &) const = default;
};

/// A data centre that a record named; all others are in service.
struct DataCentreState
{
    bool drained = false;
    core::LogOffset changedAt;

    bool operator==(const DataCentreState &) const = default;
};

/// A request fingerprint that is refused everywhere; the ban is counted from replay.
struct CrashBan
{
    core::LogOffset since;
    core::Duration ban{};

    bool operator==(const CrashBan &) const = default;
};

/// Result of replaying one record.
struct Applied
{
    bool accepted = false;
    std::string reason; ///< Why the record was dropped, for logs and for its proposer.
};

/// Deterministic replay of the log. Not thread-safe: it stands in a `Guarded` table.
class ClusterState
{
public:
    /// Replays the record at `offset`, which must be above `offset()`. A record whose condition
    /// doesn't hold, or that would break an invariant, changes nothing but the offset.
    Applied apply(core::LogOffset offset, const LogRecord &record);

    /// Notes an offset whose record couldn't be decoded; every instance drops it alike.
    void skip(core::LogOffset offset);

    /// Offset of the last record replayed.
    core::LogOffset offset() const { return this->lastOffset; }

    const std::map<core::ServiceName, ServiceState> &services() const { return this->serviceTable; }
    const std::map<core::ServerName, ServerState> &servers() const { return this->serverTable; }
    const std::map<core::DataCentreName, DataCentreState> &dataCentres() const
    {
        return this->dataCentreTable;
    }

    /// Bans by fingerprint, at most 1024: the oldest leaves first, expired or not.
    const std::map<std::uint64_t, CrashBan> &crashBans() const { return this->banTable; }

    /// Where the newest snapshot on the log became complete; 0 without one.
    core::LogOffset snapshotOffset() const { return this->lastSnapshot; }

    const ServiceState *findService(const core::ServiceName &name) const;
    const ServerState *findServer(const core::ServerName &name) const;
    bool isDrained(const core::DataCentreName &name) const;

    /// True when the server may be given new slots: declared, not leaving, data centre in service.
    bool acceptsSlots(const core::ServerName &name) const;

    /// Sets the whole state, as read from a snapshot that covers `offset`.
    void restore(core::LogOffset offset, std::map<core::ServiceName, ServiceState> services,
                 std::map<core::ServerName, ServerState> servers,
                 std::map<core::DataCentreName, DataCentreState> dataCentres,
                 std::map<std::uint64_t, CrashBan> crashBans = {});

    bool operator==(const ClusterState &) const = default;

private:
    Applied applyBody(core::LogOffset offset, const LogRecord &record, const DocumentRecord &body);
    Applied applyBody(core::LogOffset offset, const LogRecord &record,
                      const DataCentreRecord &body);
    Applied applyBody(core::LogOffset offset, const LogRecord &record,
                      const ControllerRecord &body);
    Applied applyBody(core::LogOffset offset, const LogRecord &record, const SlotRecord &body);
    Applied applyBody(core::LogOffset offset, const LogRecord &record, const CrashRecord &body);
    Applied applyBody(core::LogOffset offset, const LogRecord &record, const SnapshotRecord &body);

    std::string whyDocumentInvalid(const ServiceDocument &document) const;
    std::string whyMoveInvalid(const ServiceState &service, const SlotRecord &record,
                               const SlotMove &move, core::LogOffset basedOn) const;
    void declareServers(const ServiceDocument &document);
    void forgetRemovedServers();

    // Invariants: every owner in a service's table is a key of serverTable; every server of a
    // document in force is one too; offsets in all entries are at most lastOffset.
    core::LogOffset lastOffset;
    std::map<core::ServiceName, ServiceState> serviceTable;
    std::map<core::ServerName, ServerState> serverTable;
    std::map<core::DataCentreName, DataCentreState> dataCentreTable;
    std::map<std::uint64_t, CrashBan> banTable;
    core::LogOffset lastSnapshot;
};

} // namespace amaranthdale::decisions
