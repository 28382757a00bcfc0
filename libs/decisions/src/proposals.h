// Records proposed by this instance whose outcome isn't known yet.
#pragma once

#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/decisions/ownership_messages.h"

#include "key_set.h"

#include <vector>

namespace amaranthdale::decisions {

// A record is pending from its proposal until replay shows that it took effect or never can, or
// until its only append has certainly failed.
class Proposals
{
public:
    Proposals(core::InstanceId instance, core::Duration retryDelay)
        : self(std::move(instance)), appendRetryDelay(retryDelay)
    { }

    void propose(RecordBody body, core::LogOffset basedOn);

    void appendAcknowledged(const RecordId &id, core::LogOffset offset);
    void appendFailed(const RecordId &id);
    void appendOutcomeUnknown(const RecordId &id, core::TimePoint now);

    // Handles replay of a record. Returns the record if it is pending.
    std::optional<LogRecord> recordApplied(const RecordId &id, const ApplyResult &result);

    // Removes records that can no longer take effect.
    void removeSettled(const ClusterState &state);

    // True if a pending change of the server's controller could take effect under `epoch`.
    bool controllerChangePending(const core::ServerName &server, core::Epoch epoch) const;
    bool anyControllerChangePending() const;
    bool initialAssignmentPending(const core::ServiceName &service) const;
    bool hasPendingMoveFrom(const core::ServerName &server) const;
    bool isInPendingMove(const core::ServerName &server, core::SlotIndex slot) const;
    bool isInPendingMove(const core::ServerName &server, const std::string &hotKey) const;
    // Slots and hot keys of the server's pending moves. They must not be served or granted.
    KeySet keysInPendingMoves(const core::ServerName &server) const;

    // Servers with a move that replay dropped but of which a second copy could still take effect.
    std::vector<core::ServerName> serversWithDroppedMoves() const;

    // Emits the appends that are due for the first time or again.
    void emitDueAppends(core::TimePoint now, std::vector<OwnershipAction> &actions);

private:
    struct PendingRecord
    {
        LogRecord record;
        bool inFlight = false;
        bool mayBeAppended = false; // A copy may be on the log or reach it later.
        bool copyDropped = false;   // Replay dropped a copy.
        std::optional<core::LogOffset> offset;
        core::TimePoint nextSend;
    };

    PendingRecord *find(const RecordId &id);

    core::InstanceId self;
    core::Duration appendRetryDelay;
    std::uint64_t lastSequence = 0;
    std::vector<PendingRecord> pending;
};

} // namespace amaranthdale::decisions
