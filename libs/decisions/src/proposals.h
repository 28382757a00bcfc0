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
    Proposals(core::InstanceId instance, core::Duration interval)
        : self(std::move(instance)), resend(interval)
    { }

    void propose(RecordBody body, core::LogOffset basedOn);

    void answered(const RecordId &id, core::LogOffset offset);
    void failed(const RecordId &id);
    void outcomeOpen(const RecordId &id, core::TimePoint now);

    // Handles replay of a record. Returns the record if it is pending.
    std::optional<LogRecord> applied(const RecordId &id, const Applied &result);

    // Removes records that can no longer take effect.
    void settle(const ClusterState &state);

    // True if a pending change of the server's controller could take effect under `epoch`.
    bool controllerChangeOpen(const core::ServerName &server, core::Epoch epoch) const;
    bool anyControllerChangeOpen() const;
    bool initialAssignmentOpen(const core::ServiceName &service) const;
    bool moveOpenFrom(const core::ServerName &server) const;
    bool isWithheld(const core::ServerName &server, core::SlotIndex slot) const;
    bool isWithheld(const core::ServerName &server, const std::string &hotKey) const;
    // Slots and hot keys of the server's pending moves. They must not be served or granted.
    KeySet withheldFrom(const core::ServerName &server) const;

    // Servers with a move that replay dropped but of which a second copy could still take effect.
    std::vector<core::ServerName> serversToVoid() const;

    // Emits the appends that are due for the first time or again.
    void poll(core::TimePoint now, std::vector<OwnershipAction> &actions);

private:
    struct Open
    {
        LogRecord record;
        bool inFlight = false;
        bool everOpen = false; // A copy may be on the log or reach it later.
        bool dropped = false;  // Replay dropped a copy.
        std::optional<core::LogOffset> offset;
        core::TimePoint nextSend;
    };

    Open *find(const RecordId &id);

    core::InstanceId self;
    core::Duration resend;
    std::uint64_t lastSequence = 0;
    std::vector<Open> open;
};

} // namespace amaranthdale::decisions
