// Reads the log stream and replays it into the configuration table.
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

/// Receives the results of replay. Called by one thread at a time, in log order.
class ReplayListener
{
public:
    virtual ~ReplayListener() = default;

    /// A record was applied, or dropped if not `applied.accepted`; `replayed` follows at the end of
    /// its batch.
    virtual void recordApplied(core::LogOffset offset, const decisions::LogRecord &record,
                               const decisions::ApplyResult &applied) = 0;

    /// The configuration table now holds `state`.
    virtual void replayed(const StatePointer &state) = 0;

    /// A read started at `began` reached the tail of the log.
    virtual void tailReached(core::TimePoint began) = 0;
};

/// Provides an initial state while the log can't be read.
class StateSource
{
public:
    virtual ~StateSource() = default;

    /// Calls `handler` with the newest state that the queried peers hold, or with an error.
    virtual void fetchState(
            std::function<void(core::Outcome<decisions::ClusterState>)> handler) = 0;
};

/// Reads the log continuously until `stop`, with one read in flight at a time.
class LogFollower
{
public:
    LogFollower(logclient::LogService &logService, clock::Clock &processClock, Tables &sharedTables,
                log::EventLog &eventLog, ReplayListener &replayListener, StateSource &stateSource);

    void start();
    void stop() { this->stopped = true; }

    /// True once a read has reached the tail of the log, so that the state is complete enough to
    /// act on.
    bool ready() const { return this->isReady; }

    /// Time since the start of the newest read that reached the tail.
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
    Tables &tables;
    log::EventLog &log;
    ReplayListener &listener;
    StateSource &peers;

    std::atomic<bool> stopped = false;
    std::atomic<bool> isReady = false;
    std::atomic<core::TimePoint> lastTailRead{core::TimePoint()};

    // Used only by the read in flight.
    decisions::ClusterState state;
    core::LogOffset nextOffset{1};
    // Set while records before the oldest retained one are missing. Records read since then are
    // buffered, and snapshot pieces are collected by the offset that they cover.
    bool awaitingSnapshot = false;
    core::LogOffset bufferedFrom; // Oldest retained offset when the gap was found.
    std::map<core::LogOffset, decisions::LogRecord> bufferedRecords;
    std::map<core::LogOffset, std::vector<decisions::SnapshotRecord>> pieces;
};

} // namespace amaranthdale::daemon
