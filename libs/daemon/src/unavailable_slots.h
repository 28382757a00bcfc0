// Intervals in which slots of the servers that this instance controls served nobody.
#pragma once

#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/report/recorder.h"
#include "amaranthdale/tables/guarded.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace amaranthdale::daemon {

/// Compares the slots that a server owns by the replayed state with those that this instance may
/// serve, and records each interval when it ends. An interval that crosses instances is recorded in
/// two parts: the former controller's ends, and the next one's begins, at the replay of the record
/// that hands the slots over. A controller that died records nothing, so its successor counts from
/// its last heartbeat. Slots that nothing owned before and hot keys are not counted. Thread-safe.
class UnavailableSlots
{
public:
    /// When each instance was last heard of.
    using LastHeard = std::map<core::InstanceId, core::TimePoint>;

    UnavailableSlots(report::Recorder &reportRecorder, core::InstanceId self);

    void replayed(std::shared_ptr<const decisions::ClusterState> state, const LastHeard &lastHeard,
                  core::TimePoint now);

    /// Servers that this instance controls by the last replay.
    std::vector<core::ServerName> controlled() const;

    /// `granted` are the slots that this instance may serve at `now`.
    void updateGrantedSlots(const core::ServerName &server,
                            const std::vector<core::SlotIndex> &granted, core::TimePoint now);

    /// The end of a grant or load query sent at `sentAt`. Until an answer comes, the server serves
    /// nobody even if its lease still runs.
    void queryCompleted(const core::ServerName &server, bool answered, core::TimePoint sentAt);

private:
    using Begin = std::optional<core::TimePoint>; // Nothing while the slot is served.

    struct ControlledServer
    {
        core::ServiceName service;
        std::map<core::SlotIndex, Begin> slots;
        std::optional<core::TimePoint> unresponsiveSince;
        core::TimePoint observedAt;
    };

    struct State
    {
        std::shared_ptr<const decisions::ClusterState> cluster;
        std::map<core::ServerName, ControlledServer> controlled;
    };

    using Ended = std::vector<report::SlotsUnavailable>;

    static void end(const core::ServerName &server, ControlledServer &entry, core::SlotIndex slot,
                    core::TimePoint now, Ended &ended);
    static Begin initialBegin(const State &shared, const core::ServerName &server,
                              const decisions::ServerState &next, core::SlotIndex slot,
                              const LastHeard &lastHeard, core::TimePoint now);
    void updateControlled(State &shared, const decisions::ClusterState &next,
                          const LastHeard &lastHeard, core::TimePoint now, Ended &ended) const;
    void recordIntervals(const Ended &ended);

    report::Recorder &recorder;
    const core::InstanceId self;
    tables::Guarded<State> state{tables::LockRank::Reports};
};

} // namespace amaranthdale::daemon
