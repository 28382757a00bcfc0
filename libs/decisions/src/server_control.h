// The grants that a controller gives to one backend server under one epoch.
#pragma once

#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/decisions/grant_machine.h"
#include "amaranthdale/decisions/ownership_messages.h"

#include "key_set.h"

#include <map>

namespace amaranthdale::decisions {

// When a new controller may act, in its own time.
struct TakeoverTimes
{
    core::TimePoint sendFrom;    // Before it nothing is sent to the server.
    core::TimePoint settledFrom; // Until it, the former controller may grant to a restarted server.
    core::TimePoint releaseFrom; // Until it, a server that never answered may serve an old epoch.
};

// What a round of grants depends on besides the server itself.
struct GrantRound
{
    core::TimePoint now;
    bool hasAuthority = false;
    bool logIsFresh = false; // Authority by the log itself, not by promises.
    KeySet wanted;           // Slots and hot keys to grant.
};

class ServerControl
{
public:
    ServerControl(const ServerState &server, const OwnershipTimings &timings,
                  core::Duration requestTimeout, TakeoverTimes times);

    core::Epoch epoch() const { return this->currentEpoch; }

    // The controller replaced itself, to name other successors; grants and lease go on.
    void renewEpoch(core::Epoch epoch) { this->currentEpoch = epoch; }

    // Follows the service's document.
    void update(const BackendServer &spec, core::Duration timeout)
    {
        this->checksFence = spec.checksFence;
        this->requestTimeout = timeout;
    }

    void answered(const ServerAnswer &answer, core::TimePoint now,
                  std::vector<OwnershipAction> &actions);
    void poll(const GrantRound &round, std::vector<OwnershipAction> &actions);

    // A newer epoch exists: nothing may be sent from now on.
    void supersede() { this->superseded = true; }

    std::optional<core::Fence> fence(core::TimePoint now) const;
    bool isGranted(core::SlotIndex slot) const { return this->granted.slots.contains(slot); }
    bool isGranted(const std::string &key) const { return this->granted.hotKeys.contains(key); }

    bool isReachable(core::TimePoint now) const;
    bool isSettled(core::TimePoint now) const { return now >= this->times.settledFrom; }

    // The server is silent and serves nothing any more, whether it runs or not.
    bool isReleased(core::TimePoint now) const;
    bool wasGrantedHere() const { return this->fenced; }

    // Sequence of the next grant, and of the newest one that the server accepted.
    std::uint64_t nextSequence() const { return this->lastSequence + 1; }
    std::uint64_t acceptedSequence() const { return this->accepted; }

private:
    void accept(const ServerAnswer &answer, core::TimePoint now);
    void sendGrant(const GrantRound &round, std::vector<OwnershipAction> &actions);
    bool clockIsKnown(core::TimePoint now) const;

    core::ServerName name;
    core::ServiceName service;
    bool checksFence;
    OwnershipTimings timings;
    core::Duration requestTimeout;
    TakeoverTimes times;
    core::Epoch currentEpoch;
    bool superseded = false;
    bool fenced = false; // The server accepted a grant of this epoch.
    bool failing = false;

    std::uint64_t lastSequence = 0;
    std::uint64_t accepted = 0;
    core::Fence acceptedFence;
    std::map<std::uint64_t, KeySet> sent; // Sets of grants without a response, by sequence.
    KeySet granted;
    KeySet lastSent;
    GrantMachine machine;

    std::optional<core::Incarnation> incarnation;
    std::optional<core::Incarnation> grantedIncarnation;
    core::Duration serverNow{};
    core::TimePoint serverNowAt;
    core::TimePoint startedAt;
    core::TimePoint heldUntil;
    std::optional<core::TimePoint> lastAnswer;
    std::optional<core::TimePoint> lastGrantSent;
    std::optional<core::TimePoint> waitingSince; // A request to the server has no response yet.
};

} // namespace amaranthdale::decisions
