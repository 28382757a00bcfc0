// Detects failed instances from missing heartbeats and from the platform's instance list, which may
// be out of date.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/instance_machine.h"
#include "amaranthdale/decisions/ownership_messages.h"

#include <map>
#include <optional>
#include <vector>

namespace amaranthdale::decisions {

/// Tracks the liveness of all other instances as seen by one instance. Not thread-safe.
class FailureDetector
{
public:
    FailureDetector(InstanceView self, OwnershipTimings timings, core::TimePoint now);

    void updateInstanceList(const std::vector<InstanceView> &instances, core::TimePoint now);
    void recordMessage(const core::InstanceId &instance, core::TimePoint now);
    void recordHeartbeat(const InstanceView &instance, core::TimePoint now);

    /// Marks this instance as leaving, so that `usableInstances` excludes it.
    void markLeaving() { this->self.leaving = true; }

    /// Restarts the silence of all peers at `now`. For use after a stall of this process, during
    /// which it could receive nothing.
    void restartSilenceTimers(core::TimePoint now);

    /// Time since the last message from the instance, or since this process began to listen if that
    /// is later.
    core::Duration silenceDuration(const core::InstanceId &instance, core::TimePoint now) const;

    /// True if the instance is silent and either another process of the same name replaced it or it
    /// has been missing from the instance list for the absence timeout.
    bool isGone(const core::InstanceId &instance, core::TimePoint now) const;

    bool hasInstanceList() const { return this->instanceListReceived; }

    /// Responsive instances that aren't leaving, sorted by id; includes this instance.
    std::vector<InstanceView> usableInstances(core::TimePoint now) const;

    /// Peers to send heartbeats to: all of them with up to 9 instances, otherwise 4 peers chosen by
    /// rendezvous hashing.
    std::vector<core::InstanceId> heartbeatTargets() const;

    InstancePhase phaseOf(const core::InstanceId &instance, core::TimePoint now);

private:
    struct Peer
    {
        InstanceView view;
        InstanceStateMachine machine;
        bool isListed = false;
        std::optional<core::TimePoint> lastMessageAt;
        std::optional<core::TimePoint> absentSince;
    };

    bool wasReplaced(const core::InstanceId &instance) const;

    InstanceView self;
    OwnershipTimings timings;
    core::TimePoint listeningSince;
    std::optional<core::TimePoint> firstListAt;
    bool instanceListReceived = false;
    std::map<core::InstanceId, Peer> peers;
};

} // namespace amaranthdale::decisions
