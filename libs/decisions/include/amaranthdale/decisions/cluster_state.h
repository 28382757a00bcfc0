// Replicated state that every instance replays from the log: configuration, controllers and slot
// ownership.
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
    core::Epoch epoch; ///< Offset of the record that assigned this controller.
    /// Offset of the last `abandoned` change of the server's controller, 0 if there was none. Later
    /// controllers must also wait for the authority of the controller replaced by that change.
    core::LogOffset abandonedAt;

    bool operator==(const Controller &) const = default;
};

/// A backend server that is declared in a service document or still owns slots.
struct ServerState
{
    core::ServiceName service;
    BackendServer spec;
    bool removed = false; ///< Not in its service's document any more; keeps slots until they move.
    std::optional<Controller> controller;

    bool operator==(const ServerState &) const = default;
};

/// Owner of a hash slot or of a hot key.
struct SlotOwner
{
    core::ServerName server; ///< Empty if there is no owner.
    core::LogOffset changedAt;

    bool operator==(const SlotOwner &) const = default;
};

/// A service document in force and the owners of the service's slots.
struct ServiceState
{
    ServiceDocument document;
    core::LogOffset version;                               ///< Offset of the current document.
    std::vector<SlotOwner> slots;                          ///< Has `document.hashSlots` entries.
    std::map<std::string, SlotOwner, std::less<>> hotKeys; ///< Take precedence over `slots`.

    /// Owner of `key`: its entry in `hotKeys` if there is one, otherwise the owner of its slot.
    const SlotOwner &ownerOf(std::string_view key) const;

    bool operator==(const ServiceState &) const = default;
};

/// State of a data centre that a record has named. All other data centres are in service.
struct DataCentreState
{
    bool drained = false;
    core::LogOffset changedAt;

    bool operator==(const DataCentreState &) const = default;
};

/// Ban of a request fingerprint on all instances. Each instance counts its duration from replay.
struct CrashBan
{
    core::LogOffset since;
    core::Duration ban{};

    bool operator==(const CrashBan &) const = default;
};

/// Result of replaying one record.
struct ApplyResult
{
    bool accepted = false;
    std::string reason; ///< Why the record was dropped; shown in logs and to its proposer.
};

/// Replays log records deterministically. Not thread-safe; callers keep it in a `Guarded` table.
class ClusterState
{
public:
    /// Replays the record at `offset`, which must be greater than `offset()`. A record whose
    /// condition fails or that would break an invariant is dropped: only the offset advances.
    ApplyResult apply(core::LogOffset offset, const LogRecord &record);

    /// Advances past a record that can't be decoded. Every instance drops the same records.
    void skip(core::LogOffset offset);

    /// Offset of the last replayed record.
    core::LogOffset offset() const { return this->lastOffset; }

    const std::map<core::ServiceName, ServiceState> &services() const { return this->serviceTable; }
    const std::map<core::ServerName, ServerState> &servers() const { return this->serverTable; }
    const std::map<core::DataCentreName, DataCentreState> &dataCentres() const
    {
        return this->dataCentreTable;
    }

    /// Bans by fingerprint. Holds at most 1024; the oldest is evicted first, expired or not.
    const std::map<std::uint64_t, CrashBan> &crashBans() const { return this->banTable; }

    /// Offset of the last piece of the newest complete snapshot on the log, 0 if there is none.
    core::LogOffset snapshotOffset() const { return this->lastSnapshot; }

    const ServiceState *findService(const core::ServiceName &name) const;
    const ServerState *findServer(const core::ServerName &name) const;
    bool isDrained(const core::DataCentreName &name) const;

    /// True if the server may receive new slots: it is declared and not leaving, and its data
    /// centre isn't drained.
    bool acceptsSlots(const core::ServerName &name) const;

    /// Replaces the whole state with that of a snapshot covering the log up to `offset`.
    void restore(core::LogOffset offset, std::map<core::ServiceName, ServiceState> services,
                 std::map<core::ServerName, ServerState> servers,
                 std::map<core::DataCentreName, DataCentreState> dataCentres,
                 std::map<std::uint64_t, CrashBan> crashBans = {});

    bool operator==(const ClusterState &) const = default;

private:
    ApplyResult applyBody(core::LogOffset offset, const LogRecord &record,
                          const DocumentRecord &body);
    ApplyResult applyBody(core::LogOffset offset, const LogRecord &record,
                          const DataCentreRecord &body);
    ApplyResult applyBody(core::LogOffset offset, const LogRecord &record,
                          const ControllerRecord &body);
    ApplyResult applyBody(core::LogOffset offset, const LogRecord &record, const SlotRecord &body);
    ApplyResult applyBody(core::LogOffset offset, const LogRecord &record, const CrashRecord &body);
    ApplyResult applyBody(core::LogOffset offset, const LogRecord &record,
                          const SnapshotRecord &body);

    std::string documentError(const ServiceDocument &document) const;
    std::string moveError(const ServiceState &service, const SlotRecord &record,
                          const SlotMove &move, core::LogOffset basedOn) const;
    void declareServers(const ServiceDocument &document);
    void eraseRemovedServers();

    // Invariants: serverTable has an entry for every slot or hot-key owner and for every server of
    // a current document; no offset in any entry exceeds lastOffset.
    core::LogOffset lastOffset;
    std::map<core::ServiceName, ServiceState> serviceTable;
    std::map<core::ServerName, ServerState> serverTable;
    std::map<core::DataCentreName, DataCentreState> dataCentreTable;
    std::map<std::uint64_t, CrashBan> banTable;
    core::LogOffset lastSnapshot;
};

} // namespace amaranthdale::decisions
