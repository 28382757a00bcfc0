// Runs the granter of one keyed service: reads the log, carries out orders, keeps time.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/control/interfaces.h"
#include "amaranthdale/gateway/gateway.h"
#include "amaranthdale/log/event_log.h"

#include <atomic>
#include <memory>

namespace amaranthdale::control {

/// The parts that a `KeyControl` uses; all outlive it.
struct KeyControlParts
{
    clock::Clock &clock;
    log::EventLog &events;
    gateway::Gateway &gateway;
    AssignmentLog &assignments;
    GrantChannel &grants;
    Election &election;
    PeerChannel &peers;
};

/// Control of the keys of one service at this instance. Thread-safe.
class KeyControl : public std::enable_shared_from_this<KeyControl>
{
public:
    KeyControl(KeyControlParts controlParts, core::ServiceName keyedService,
               core::InstanceId instance, std::string peerAddress,
               keyspace::GranterLimits granterLimits);

    void start();

    /// Stops granting, as a successor asks for.
    void stepDown();

    /// Counts that another instance reported.
    void addCounts(const std::vector<keyspace::KeyCount> &counts);

    const core::ServiceName &serviceName() const { return this->service; }

    bool isGranter() const;

private:
    struct State
    {
        keyspace::Granter granter;
        keyspace::KeyLoad load;
        core::TimePoint nextReport{};
        core::TimePoint nextStepDownRequest{};
        core::TimePoint nextOneShot{}; ///< Each read is paid for.
        bool oneShotRead = false;      ///< A read besides the long one is in progress.
        bool wasGranter = false;
    };

    void readLog(bool waiting);
    void onRead(bool waiting, core::TimePoint began, core::Outcome<LogState> outcome);
    void onTimer();
    void scheduleTick();
    void tick();
    void carryOut(const keyspace::Order &order);
    void sendGrant(const keyspace::GrantOrder &order);
    void sendRelease(const keyspace::ReleaseOrder &order);
    void append(const keyspace::AppendOrder &order);
    void publish();
    void reportLoad(core::TimePoint now);
    void askPredecessor(core::TimePoint now);
    std::optional<core::Endpoint> endpointOf(const keyspace::ServerRun &run) const;

    const KeyControlParts parts;
    const core::ServiceName service;
    const core::InstanceId self;
    const std::string peer;
    tables::Guarded<State> state;
    std::atomic<bool> readFailing{false};
};

} // namespace amaranthdale::control
