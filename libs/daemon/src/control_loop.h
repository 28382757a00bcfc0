// Event loop around the ownership engine: feeds events in and executes the resulting actions.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/log/event_log.h"
#include "amaranthdale/logclient/log_service.h"
#include "amaranthdale/peer/messages.h"
#include "amaranthdale/report/recorder.h"
#include "log_follower.h"
#include "server_runner.h"
#include "tables.h"
#include "unavailable_slots.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>

namespace amaranthdale::daemon {

/// Dependencies of the loop. All must outlive it.
struct ControlContext
{
    Tables &tables;
    clock::Clock &clock;
    core::HttpSender &backends;
    core::HttpSender &peers;
    logclient::LogService &logService;
    log::EventLog &log;
    report::Recorder &recorder;
    core::InstanceId self;
    core::Duration promise; ///< Validity of a promise given to a peer.
};

/// Runs the ownership engine. Actions are executed one at a time, in the order in which the engine
/// emitted them, with no lock held. Thread-safe.
class ControlLoop : public ReplayListener, public SendGate
{
public:
    explicit ControlLoop(ControlContext controlContext);

    void start();
    void stop();

    /// Handles a peer's heartbeat and returns the promises that this instance gives.
    peer::HeartbeatReply heartbeatReceived(const peer::Heartbeat &heartbeat);

    void instancesListed(const std::vector<logclient::ListedInstance> &instances);

    /// True when this instance has replayed the log up to `offset` and has no authority left to
    /// send requests for these slots of `server`, so that its ledger of them is complete.
    bool ledgerIsFinal(const core::ServerName &server, const std::vector<core::SlotIndex> &slots,
                       core::LogOffset offset) const;

    /// Starts to hand over all controlled servers.
    void leave();
    bool hasLeft() const;

    /// Sets the source of the age of the newest log read, which heartbeats report.
    void setLogAge(std::function<core::Duration()> age) { this->logAge = std::move(age); }

    // ReplayListener
    void recordApplied(core::LogOffset offset, const decisions::LogRecord &record,
                       const decisions::ApplyResult &applied) override;
    void replayed(const StatePointer &state) override;
    void tailReached(core::TimePoint began) override;

    // SendGate
    std::optional<core::Fence> fenceForServer(const core::ServerName &server) const override;
    std::optional<core::Fence> fenceForRequest(const ForwardRequest &request) const override;

private:
    using EngineUpdate = std::function<void(decisions::OwnershipEngine &, core::TimePoint)>;

    void updateEngine(const EngineUpdate &update);
    void performActions();
    void runMaintenance();
    void appendNoOpRecord();
    void scheduleWakeup(core::TimePoint wakeup);

    void perform(const decisions::ProbeServer &action);
    void perform(const decisions::SendGrant &action);
    void perform(const decisions::AppendRecord &action);
    void perform(const decisions::SendHeartbeat &action);
    void perform(const decisions::PauseAdmission &action);
    void perform(const decisions::ResumeAdmission &action);
    void perform(const decisions::RelinquishServer &action);
    void perform(const decisions::CancelRequests &action);
    void perform(const decisions::FetchLedger &action);
    void perform(const decisions::WriteSnapshot &action);

    void fetchLedger(const decisions::FetchLedger &action, unsigned attempt);
    void ledgerReplyReceived(const decisions::FetchLedger &action, unsigned attempt,
                             const core::Outcome<std::string> &body);
    void serverUnreachable(const core::ServerName &server);
    void sendControlRequest(const core::ServerName &server, core::HttpRequest request,
                            core::Fence fence);
    void controlReplyReceived(decisions::ServerReply reply, const core::Outcome<std::string> &body,
                              unsigned status);
    void appendCompleted(const decisions::RecordId &id,
                         const core::Outcome<core::LogOffset> &offset);
    void updateRunners(const StatePointer &clusterState);
    void updateRunner(const decisions::ClusterState &clusterState, const core::ServerName &name,
                      const decisions::ServerState &server);
    void updateSlots(ServerRunner &runner, const decisions::ServiceState &service,
                     const core::ServerName &name, core::Epoch epoch);
    void resumeAfterHotKeyMoves(const decisions::ClusterState &clusterState);
    void applyControllerRecord(const decisions::ControllerRecord &record, core::LogOffset offset);
    void dropRunners(const decisions::ClusterState &clusterState);
    std::vector<core::SlotIndex> slotsIncludingHotKeys(
            const core::ServerName &server, const std::vector<core::SlotIndex> &slots,
            const std::vector<std::string> &hotKeys) const;
    void reportOwnershipChange(const decisions::SlotRecord &record);
    void observeGrants(const core::ServerName &server);
    void observeAllGrants();

    ControlContext context;
    UnavailableSlots unavailable;
    // Result of applying a record that this instance proposed.
    struct OwnRecord
    {
        decisions::RecordId id;
        core::LogOffset offset;
        decisions::ApplyResult applied;
    };

    std::function<core::Duration()> logAge;
    // Reported to the engine together with the state that includes them: a grant decided in between
    // would grant slots back whose move has just taken effect. Used only during replay.
    std::vector<OwnRecord> ownRecords;
    std::atomic<bool> stopped = false;
    std::atomic<std::uint64_t> snapshotSequence;

    // Offset from which the ledger of each started slot is complete, by server. Used only during
    // replay.
    using StartedSlots = std::map<core::SlotIndex, core::LogOffset>;
    std::map<core::ServerName, StartedSlots> startedSlots;
    // Epoch of each controlled server, and the servers that another instance has controlled since
    // the runner's ledgers were filled. Used only during replay.
    std::map<core::ServerName, core::Epoch> controlled;
    std::set<core::ServerName> reacquired;
    // Offsets of records that assigned slots without a previous owner, whose ledgers are therefore
    // complete. Used only during replay.
    std::set<core::LogOffset> initialAssignments;
    // Hot keys being moved to another server; the whole slot of each is paused. Guarded by
    // `hotKeyMutex`.
    std::mutex hotKeyMutex; // Leaf lock: no other lock is taken while it is held.
    std::map<core::ServerName, std::set<std::string>> movingHotKeys;

    std::atomic<core::TimePoint> lastMaintenanceAt{core::TimePoint()};

    std::mutex timerMutex; // Leaf lock: only the clock is called while it is held.
    clock::TimerId timer = 0;
    core::TimePoint timerAt = core::TimePoint::max();
};

} // namespace amaranthdale::daemon
