// Intervals during which slots of controlled servers are unavailable.
#pragma once

#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/report/recorder.h"
#include "amaranthdale/tables/guarded.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace amaranthdale::daemon {

/// Compares the slots that a server owns in the replayed state with those that this instance may
/// serve, and records each interval of unavailability when it ends. An interval that spans a change
/// of controller is recorded in two parts, split at the replay of the record that hands the slots
/// over. A failed controller records nothing, so its successor counts from the last heartbeat
/// received from it. Hot keys and slots without a previous owner are not counted. Thread-safe.
class UnavailableSlots
{
public:
    /// Time of the last heartbeat received from each instance.
    using LastHeartbeats = std::map<core::InstanceId, core::TimePoint>;

    UnavailableSlots(report::Recorder &reportRecorder, core::InstanceId self);

    void replayed(std::shared_ptr<const decisions::ClusterState> state,
                  const LastHeartbeats &lastHeartbeats, core::TimePoint now);

    /// Returns the servers that this instance controls in the last replayed state.
    std::vector<core::ServerName> controlled() const;

    /// Updates the slots that this instance may serve at `now`; `granted` must be sorted.
    void updateGrantedSlots(const core::ServerName &server,
                            const std::vector<core::SlotIndex> &granted, core::TimePoint now);

    /// Records the end of a grant or load query sent at `sentAt`. After one without a reply the
    /// server counts as unavailable until the next reply, even if its lease is still valid.
    void queryCompleted(const core::ServerName &server, bool answered, core::TimePoint sentAt);

private:
    using Begin = std::optional<core::TimePoint>; // Empty while the slot is served.

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
    static Begin initialBegin(const State &lockedState, const core::ServerName &server,
                              const decisions::ServerState &next, core::SlotIndex slot,
                              const LastHeartbeats &lastHeartbeats, core::TimePoint now);
    void updateControlled(State &lockedState, const decisions::ClusterState &next,
                          const LastHeartbeats &lastHeartbeats, core::TimePoint now,
                          Ended &ended) const;
    void recordIntervals(const Ended &ended);

    report::Recorder &recorder;
    const core::InstanceId self;
    tables::Guarded<State> state{tables::LockRank::Reports};
};

} // namespace amaranthdale::daemon
