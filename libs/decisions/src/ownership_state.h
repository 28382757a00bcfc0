// Private state of OwnershipEngine, shared by its source files.
#pragma once

#include "amaranthdale/decisions/failure_detector.h"
#include "amaranthdale/decisions/ownership_engine.h"
#include "amaranthdale/decisions/proposer.h"

#include "key_set.h"
#include "proposals.h"
#include "server_control.h"

#include <map>
#include <set>

namespace amaranthdale::decisions {

// A move in preparation; its record hasn't been proposed yet.
struct PlannedMove
{
    SlotRecord record;
    core::TimePoint deadline;
    bool idle = false;                // No request for the slots is in flight.
    std::uint64_t revokeSequence = 0; // First grant without the slots; 0 until it is known.
};

// Servers that a peer listed as reachable in its last heartbeat.
struct PeerReport
{
    core::TimePoint at;
    std::set<core::ServerName> reachable;
};

struct HotKey
{
    std::string key;
    double share = 0;
};

struct OwnershipEngine::State
{
    State(OwnershipSettings settings, std::unique_ptr<AuthorityPolicy> policy,
          std::unique_ptr<Placement> placement, core::TimePoint now);

    // Events (ownership_engine.cpp; replay in ownership_control.cpp).
    void handleStall(core::TimePoint now);
    void update(core::TimePoint now);
    HeartbeatReply makeHeartbeatReply(const Heartbeat &heartbeat, core::TimePoint now);
    void adoptClusterState(std::shared_ptr<const ClusterState> next, core::TimePoint now);
    void recordOwnRenewal(const LogRecord &record, core::LogOffset offset,
                          const ApplyResult &applied);

    // Controllers (ownership_control.cpp).
    void updateControls(core::TimePoint now);
    void startControl(const ServerState &server, core::TimePoint now);
    TakeoverTimes takeoverTimes(const ServerState &server, core::TimePoint now) const;
    core::Duration requestTimeoutOf(const ServerState &server) const;
    void updateOwnedKeys(const ClusterState *previousState, core::TimePoint now);
    void fetchLedgersAfterTakeover(const ClusterState &previousState);
    std::optional<core::TimePoint> authorityUntil(const core::ServerName &server) const;
    void refreshAuthority();
    bool logIsReachable(core::TimePoint now) const;
    bool logIsFresh(core::TimePoint now) const;
    void pollGrants(core::TimePoint now);
    void sendHeartbeats(core::TimePoint now);
    bool admits(const core::ServerName &server, core::SlotIndex slot) const;
    bool admits(const core::ServerName &server, const std::string &hotKey) const;

    // Moves of slots (ownership_moves.cpp).
    void pollMoves(core::TimePoint now);
    void releaseLostServer(const core::ServerName &name, const ServerControl &control,
                           core::TimePoint now);
    void cancelMove(const core::ServerName &name);
    void advanceMove(const core::ServerName &name, const ServerControl &control,
                     core::TimePoint now);
    void startMove(const core::ServerName &name, core::TimePoint now);
    std::vector<SlotMove> chooseMoves(const core::ServerName &name, core::TimePoint now);
    std::vector<SlotMove> chooseHotKeyMove(const core::ServerName &name, const PlacementView &view);

    // Proposals (ownership_proposals.cpp).
    void pollProposals(core::TimePoint now);
    void proposeTakeovers(core::TimePoint now);
    void replaceAbandonedControllers(core::TimePoint now);
    void replaceSuccessors(core::TimePoint now);
    void invalidateDroppedMoves(core::TimePoint now);
    void handOverServers(core::TimePoint now);
    void balanceControllers(core::TimePoint now);
    void assignControllers(core::TimePoint now);
    void assignSlots(core::TimePoint now);
    void requestSnapshot(core::TimePoint now);
    bool isDue(const std::string &entity, core::TimePoint now);
    void proposeControllerChange(const ServerState &server, const core::InstanceId &controller,
                                 core::TimePoint now, bool abandoned = false);

    PlacementView placementView(core::TimePoint now) const;
    bool isReachable(const ServerState &server, core::TimePoint now) const;
    const core::InstanceId &self() const { return this->settings.self.id; }

    OwnershipSettings settings;
    std::unique_ptr<AuthorityPolicy> policy;
    std::unique_ptr<Placement> placement;
    Proposer proposer;
    FailureDetector detector;
    Proposals proposals;
    std::shared_ptr<const ClusterState> cluster;
    std::vector<OwnershipAction> actions;

    core::TimePoint lastEventAt; // A long gap between events shows that the process was stalled.
    core::TimePoint nextHeartbeat;
    core::TimePoint nextProposals;
    std::optional<core::TimePoint> logReadStartedAt;
    std::optional<core::TimePoint> logReadCompletedAt;

    // Invariant: `controls` has entries for exactly the servers whose controller in `cluster` is
    // this instance, with the same epochs.
    std::map<core::ServerName, ServerControl> controls;
    std::map<core::ServerName, KeySet> owned;
    std::map<core::ServerName, PlannedMove> moves;
    std::map<core::ServerName, core::TimePoint> nextMove;
    std::map<core::ServerName, HotKey> hotKeys;
    std::map<core::ServerName, core::Epoch> selfRenewedEpochs; // From own records in replay.
    std::map<core::ServerName, std::map<core::InstanceId, core::TimePoint>> promisesReceived;
    std::map<core::ServerName, core::TimePoint> promisesGiven;
    std::map<core::ServerName, std::pair<core::LogOffset, core::TimePoint>> abandonedChangesSeen;
    std::map<core::InstanceId, PeerReport> peerReports;
    std::map<std::string, core::TimePoint> proposalDueTimes;
    core::TimePoint nextControllerMove;
};

} // namespace amaranthdale::decisions
