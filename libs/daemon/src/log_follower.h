// Follows the log stream and replays it into the configuration table.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/log/event_log.h"
#include "amaranthdale/logclient/log_service.h"
#include "tables.h"

#include <atomic>
#include <map>
#include <mutex>

namespace amaranthdale::daemon {

/// Learns what replay brings. Called by one thread at a time, in order.
class ReplayListener
{
public:
    virtual ~ReplayListener() = default;

    /// A record was replayed; `replayed` follows at the end of its batch.
    virtual void recordApplied(core::LogOffset offset, const decisions::LogRecord &record,
                               const decisions::Applied &applied) = 0;

    /// The configuration table holds this state now.
    virtual void replayed(const StatePointer &state) = 0;

    /// A read that was begun at `began` reached the tail.
    virtual void tailReached(core::TimePoint began) = 0;
};

/// Gives a state to start from while the log can't be read.
class StateSource
{
public:
    virtual ~StateSource() = default;

    /// Calls `handler` with the newest state that peers hold, or an error.
    virtual void fetchState(
            std::function<void(core::Outcome<decisions::ClusterState>)> handler) = 0;
};

/// Reads the log without end until `stop`. One read is on its way at a time.
class LogFollower
{
public:
    LogFollower(logclient::LogService &logService, clock::Clock &processClock, Tables &sharedTables,
                log::EventLog &eventLog, ReplayListener &replayListener, StateSource &stateSource);

    void start();
    void stop() { this->stopped = true; }

    /// True once the state is complete enough to act on.
    bool ready() const { return this->isReady; }

    /// Age of the newest read that reached the tail.
    core::Duration readAge() const;

private:
    void readNext();
    void readFailed(const core::Error &error);
    void startFromPeers();
    void pageReceived(core::TimePoint began, const logclient::LogPage &page);
    void replay(const logclient::LogPage &page);
    void replayEntry(const logclient::LogEntry &entry);
    void collectSnapshot(core::LogOffset offset, const decisions::LogRecord &record);
    void installState(decisions::ClusterState newState);
    void publish();

    logclient::LogService &service;
    clock::Clock &clock;
    Tables &shared;
    log::EventLog &log;
    ReplayListener &listener;
    StateSource &peers;

    std::atomic<bool> stopped = false;
    std::atomic<bool> isReady = false;
    std::atomic<core::TimePoint> lastTailRead{core::TimePoint()};

    // Used by the one read on its way only.
    decisions::ClusterState state;
    core::LogOffset nextOffset{1};
    // While records before the oldest retained one are missing: what was read since, and the pieces
    // of snapshots by the offset that they cover.
    bool awaitingSnapshot = false;
    core::LogOffset
            bufferedFrom; // Oldest retained offset when the gap was met: `held` begins there.
    std::map<core::LogOffset, decisions::LogRecord> bufferedRecords;
    std::map<core::LogOffset, std::vector<decisions::SnapshotRecord>> pieces;
};

} // namespace amaranthdale::daemon
