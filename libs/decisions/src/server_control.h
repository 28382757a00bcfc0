// Grants of one controller to one backend server.
#pragma once

#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/decisions/grant_machine.h"
#include "amaranthdale/decisions/ownership_messages.h"

#include "key_set.h"

#include <map>

namespace amaranthdale::decisions {

// Earliest times at which a new controller may act, by its own clock.
struct TakeoverTimes
{
    // Nothing is sent to the server before this.
    core::TimePoint sendFrom;
    // Until then the former controller may still grant to a restarted server.
    core::TimePoint predecessorExpiresAt;
    // Until then a server that never responded may still serve an older epoch.
    core::TimePoint releaseFrom;
};

// Inputs of ServerControl::poll.
struct GrantRound
{
    core::TimePoint now;
    bool hasAuthority = false;
    bool logIsFresh = false; // Authority follows from the log itself, not only from promises.
    KeySet wanted;           // Slots and hot keys to grant.
};

// Offers, renews and revokes the grants of one server, and tracks whether it holds them.
class ServerControl
{
public:
    ServerControl(const ServerState &server, const OwnershipTimings &timings,
                  core::Duration requestTimeout, TakeoverTimes times);

    core::Epoch epoch() const { return this->currentEpoch; }

    // The controller took a new epoch to name other successors. Grants and lease stay valid.
    void renewEpoch(core::Epoch epoch) { this->currentEpoch = epoch; }

    // Applies a changed service document.
    void update(const BackendServer &spec, core::Duration timeout)
    {
        this->checksFence = spec.checksFence;
        this->requestTimeout = timeout;
    }

    void answered(const ServerReply &answer, core::TimePoint now,
                  std::vector<OwnershipAction> &actions);
    void poll(const GrantRound &round, std::vector<OwnershipAction> &actions);

    // Sets the time at which authority over the server ends. Stored here because each request
    // checks it.
    void setAuthorityEnd(std::optional<core::TimePoint> until) { this->authorityUntil = until; }
    bool hasAuthority(core::TimePoint now) const
    {
        return this->authorityUntil && now < *this->authorityUntil;
    }

    // A newer epoch exists: nothing may be sent any more.
    void supersede() { this->superseded = true; }

    std::optional<core::Fence> fence(core::TimePoint now) const;
    const std::set<core::SlotIndex> &grantedSlots() const { return this->grantedSet.slots; }
    bool isGranted(core::SlotIndex slot) const { return this->grantedSet.slots.contains(slot); }
    bool isGranted(const std::string &key) const { return this->grantedSet.hotKeys.contains(key); }

    bool isReachable(core::TimePoint now) const;
    bool predecessorExpired(core::TimePoint now) const
    {
        return now >= this->times.predecessorExpiresAt;
    }

    // The server doesn't respond and can no longer serve requests, whether it runs or not.
    bool isReleased(core::TimePoint now) const;
    bool hasAcceptedGrant() const { return this->grantAccepted; }

    // Sequence numbers of the next grant and of the newest grant that the server accepted.
    std::uint64_t nextSequence() const { return this->lastSequence + 1; }
    std::uint64_t acceptedSequence() const { return this->newestAcceptedSequence; }

private:
    void accept(const ServerReply &answer, core::TimePoint now);
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
    bool grantAccepted = false; // The server accepted a grant of this epoch.
    bool unresponsive = false;

    std::uint64_t lastSequence = 0;
    std::uint64_t newestAcceptedSequence = 0;
    core::Fence acceptedFence;
    std::map<std::uint64_t, KeySet> unansweredGrants; // By sequence number.
    KeySet grantedSet;
    KeySet lastSentSet;
    GrantStateMachine machine;

    std::optional<core::TimePoint> authorityUntil;
    std::optional<core::Incarnation> incarnation;
    std::optional<core::Incarnation> grantedIncarnation;
    core::Duration serverNow{};
    core::TimePoint serverNowAt;
    core::TimePoint startedAt;
    core::TimePoint leaseUntil;
    std::optional<core::TimePoint> lastAnswer;
    std::optional<core::TimePoint> lastGrantSent;
    std::optional<core::TimePoint> responsePendingSince;
};

} // namespace amaranthdale::decisions
