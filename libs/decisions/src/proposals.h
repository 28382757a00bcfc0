// Records that this instance proposed and whose fate it doesn't know yet.
#pragma once

#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/decisions/ownership_messages.h"

#include "key_set.h"

#include <vector>

namespace amaranthdale::decisions {

// A record counts as open from the first attempt to append it until replay shows that it took
// effect or never can.
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

    // Returns the record when it is one of the open ones.
    std::optional<LogRecord> applied(const RecordId &id, const Applied &result);

    // Drops the records that can't take effect any more.
    void settle(const ClusterState &state);

    // True when a change of the server's controller is open that could take effect at `epoch`.
    bool controllerChangeOpen(const core::ServerName &server, core::Epoch epoch) const;
    bool anyControllerChangeOpen() const;
    bool initialAssignmentOpen(const core::ServiceName &service) const;
    bool moveOpenFrom(const core::ServerName &server) const;
    KeySet withheldFrom(const core::ServerName &server) const;

    // Servers with a move that was dropped on replay although a second copy could still apply.
    std::vector<core::ServerName> serversToVoid() const;

    // Emits the appends that are due.
    void poll(core::TimePoint now, std::vector<OwnershipAction> &actions);

private:
    struct Open
    {
        LogRecord record;
        bool inFlight = false;
        bool everOpen = false; // A copy may take effect later.
        bool dropped = false;  // A copy was dropped on replay.
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
