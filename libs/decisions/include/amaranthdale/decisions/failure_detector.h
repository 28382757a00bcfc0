// Tells which instances respond, from heartbeats and the platform's lagging list.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/instance_machine.h"
#include "amaranthdale/decisions/ownership_messages.h"

#include <map>
#include <optional>
#include <vector>

namespace amaranthdale::decisions {

/// What one instance knows about all others. Not thread-safe.
class FailureDetector
{
public:
    FailureDetector(InstanceView self, OwnershipTimings timings, core::TimePoint now);

    void listed(const std::vector<InstanceView> &instances, core::TimePoint now);
    void heard(const core::InstanceId &instance, core::TimePoint now);
    void heartbeatFrom(const InstanceView &instance, core::TimePoint now);

    /// Excludes this instance from those that may be given work.
    void leave() { this->self.leaving = true; }

    /// Forgets all silence: this process was stalled and could hear nobody.
    void restartSilence(core::TimePoint now);

    /// Time since the instance was last heard, or since this process began to listen.
    core::Duration silenceOf(const core::InstanceId &instance, core::TimePoint now) const;

    /// Silent, and either replaced by another process of its name or long absent from the list.
    bool isGone(const core::InstanceId &instance, core::TimePoint now) const;

    bool hasList() const { return this->listSeen; }

    /// This instance and those that respond and aren't leaving.
    std::vector<InstanceView> usable(core::TimePoint now) const;

    /// Peers to send heartbeats to: all up to 9 instances, else 4 by rendezvous hashing.
    std::vector<core::InstanceId> watched() const;

    InstancePhase phaseOf(const core::InstanceId &instance, core::TimePoint now);

private:
    struct Peer
    {
        InstanceView view;
        InstanceMachine machine;
        bool isListed = false;
        std::optional<core::TimePoint> lastHeard;
        std::optional<core::TimePoint> absentSince;
    };

    bool isReplaced(const core::InstanceId &instance) const;

    InstanceView self;
    OwnershipTimings timings;
    core::TimePoint listeningSince;
    std::optional<core::TimePoint> firstList;
    bool listSeen = false;
    std::map<core::InstanceId, Peer> peers;
};

} // namespace amaranthdale::decisions
