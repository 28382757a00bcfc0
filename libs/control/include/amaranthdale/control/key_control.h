// Drives the granter of a keyed service: reads the log, executes commands and runs the timers.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/control/interfaces.h"
#include "amaranthdale/gateway/gateway.h"
#include "amaranthdale/keyspace/granter_policy.h"
#include "amaranthdale/log/event_log.h"

#include <atomic>
#include <memory>

namespace amaranthdale::control {

/// The dependencies of a `KeyControl`. All must outlive it.
struct KeyControlDependencies
{
    clock::Clock &clock;
    log::EventLog &events;
    gateway::Gateway &gateway;
    AssignmentLog &assignments;
    GrantChannel &grants;
    Election &election;
    PeerChannel &peers;
    const SuccessorDirectory &successors;
    WitnessChannel &witnesses;
    const WitnessDirectory &witnessDirectory;
    /// Measurements of this instance's pools. Null: keys are placed without them.
    std::shared_ptr<balance::ServiceTimeBoard> serviceTimes = nullptr;
};

/// Controls the key ownership of one service on this instance. Thread-safe.
class KeyControl : public std::enable_shared_from_this<KeyControl>
{
public:
    KeyControl(KeyControlDependencies controlParts, core::ServiceName keyedService,
               core::InstanceId instance, std::string peerAddress,
               keyspace::LeaseOptions leaseOptions);

    void start();

    /// Stops granting under records before `successorEnd`, on request of a successor. Returns the
    /// leases that may be in force.
    keyspace::LeaseReport stepDown(std::uint64_t successorEnd);

    /// Tries to take over from `granter`, on its request. False if this instance can't.
    bool requestTakeover(const core::InstanceId &granter);

    /// True if this instance is the granter and keeps the role.
    bool keepsRole() const;

    /// Hands the granter's role over, as this instance stops.
    void leave();

    /// Confirms to `granter`, which has read the log up to `granterEnd`, that no successor is known
    /// here. False if one is.
    bool confirmGranter(const core::InstanceId &granter, std::uint64_t granterEnd);

    /// Agrees to confirm no more to granters that haven't read the log up to `successorEnd`.
    keyspace::WitnessAgreement agreeToSuccessor(std::uint64_t successorEnd);

    /// Adds request counts reported by another instance.
    void addKeyCounts(const std::vector<keyspace::KeyCount> &counts);

    /// Adds service times measured by another instance.
    void addServerTimes(const std::vector<balance::ServerTimes> &servers);

    const core::ServiceName &serviceName() const { return this->service; }

    bool isGranter() const;

private:
    // Applied to the load at each report. Counts halve in about 1.5 s, so that a new hot range
    // dominates earlier load within seconds.
    static constexpr float loadDecay = 0.8F;

    struct State
    {
        keyspace::LeaseManager leaseManager;
        keyspace::KeyLoad load;
        keyspace::TakeoverPolicy takeover;
        keyspace::HandoverPolicy handover;
        std::size_t takeoverRequests = 0; ///< Counts requests, to ask one successor after another.
        core::TimePoint nextReport{};
        core::TimePoint nextStepDownRequest{};
        core::TimePoint nextImmediateRead{}; ///< Rate limit, as each read has a cost.
        bool immediateReadPending = false;   ///< A read besides the long poll is in progress.
        bool wasGranter = false;
        keyspace::GrantWitness witness;       ///< What this process has confirmed and agreed to.
        keyspace::WitnessSelection selection; ///< The witnesses of this instance.
        core::TimePoint nextSelection{};
        core::TimePoint nextAgreementRequest{};
        bool wasConfirmed = false; ///< The authority depended on witnesses.
        balance::ServerSpeeds speeds;
        core::InstanceId speedsReportedTo; ///< The granter that got the last service times.
        core::TimePoint nextSpeedReport{};
        core::TimePoint nextSpeedEvent{};
        keyspace::MoveCounts countedMoves;
    };

    // Calls `function` with the state, in which the suspended time is up to date.
    template<class Function>
    decltype(auto) withState(Function &&function)
    {
        const core::Duration suspended = this->parts.clock.uptime() - this->parts.clock.now();
        return this->state.with([&](State &current) -> decltype(auto) {
            current.leaseManager.setSuspendedTime(suspended);
            return std::forward<Function>(function)(current);
        });
    }

    void readLog(bool waiting);
    void onRead(bool waiting, core::TimePoint readStart, core::Outcome<LogState> outcome);
    void onTimer();
    void scheduleTick();
    void tick();
    void execute(const keyspace::Command &command);
    void sendGrant(const keyspace::GrantCommand &command);
    void sendRelease(const keyspace::ReleaseCommand &command);
    void append(const keyspace::AppendCommand &command);
    void publish();
    void logRecord(std::uint64_t end);
    void logFreedKeys();
    void logGrant(const keyspace::GrantCommand &command, keyspace::CommandResult result);
    void logDelayedGrant(const keyspace::GrantCommand &command, core::Duration delay);
    void reportLoad(core::TimePoint now);
    void selectWitnesses(core::TimePoint now);
    void requestConfirmations(core::TimePoint now);
    void requestAgreements(core::TimePoint now);
    void onAgreement(const keyspace::AgreementRequest &request,
                     const keyspace::WitnessAgreement &agreement);
    std::optional<gateway::Gateway::SpeedsByServer> speeds() const;
    void followLoad(State &current) const;
    void reportSpeeds(core::TimePoint now);
    void observePlacement(core::TimePoint now);
    void requestPredecessorStepDown(core::TimePoint now);
    void queryGranter(core::TimePoint now);
    void requestTakeoverByPeer(core::TimePoint now);
    std::optional<core::Endpoint> endpointOf(const keyspace::ServerIncarnation &run) const;

    const KeyControlDependencies parts;
    const core::ServiceName service;
    const core::InstanceId self;
    const std::string peer;
    const core::Duration maxCallDelay; ///< From the creation of a command to its arrival.
    tables::Guarded<State> state;
    std::atomic<bool> logUnavailable{false};
};

} // namespace amaranthdale::control
