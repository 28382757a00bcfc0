// Updates the membership table from the platform's instance list.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/log/event_log.h"
#include "amaranthdale/logclient/instance_list.h"
#include "log_follower.h"
#include "tables.h"

#include <atomic>

namespace amaranthdale::daemon {

/// Polls the platform's instance list and registers this instance on it.
class PeerDirectory : public StateSource
{
public:
    using ListHandler = std::function<void(const std::vector<logclient::ListedInstance> &)>;

    PeerDirectory(logclient::InstanceList &instanceList, clock::Clock &processClock,
                  Tables &sharedTables, log::EventLog &eventLog, core::HttpSender &peerSender,
                  logclient::ListedInstance ownEntry, ListHandler onList);

    void start();

    /// Marks this instance as leaving on the instance list.
    void announceLeaving();

    /// Removes this instance from the list and calls `done`, whether or not that succeeded.
    void withdraw(std::function<void()> done);

    void stop() { this->stopped = true; }

    void fetchState(std::function<void(core::Outcome<decisions::ClusterState>)> handler) override;

private:
    void announce();
    void fetch();

    logclient::InstanceList &list;
    clock::Clock &clock;
    Tables &tables;
    log::EventLog &log;
    core::HttpSender &peers;
    logclient::ListedInstance self;
    ListHandler listHandler;
    std::atomic<bool> stopped = false;
    std::atomic<bool> leaving = false;
};

} // namespace amaranthdale::daemon
