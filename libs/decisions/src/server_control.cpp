// ServerControl: renewal, expiry and release of grants.
#include "server_control.h"

#include <algorithm>

namespace amaranthdale::decisions {

namespace {

// With an older reading of the server's clock, drift could exceed its bound.
constexpr core::Duration maxClockAge = std::chrono::seconds(2);

// Grants without a response to keep; a response to an older one is ignored.
constexpr std::size_t maxUnansweredGrants = 8;

} // namespace

ServerControl::ServerControl(const ServerState &server, const OwnershipTimings &intervals,
                             core::Duration timeout, TakeoverTimes takeover)
    : name(server.spec.name), service(server.service), checksFence(server.spec.checksFence),
      timings(intervals), requestTimeout(timeout), times(takeover),
      currentEpoch(server.controller->epoch), startedAt(takeover.sendFrom)
{ }

bool ServerControl::clockIsKnown(core::TimePoint now) const
{
    return this->incarnation && now - this->serverNowAt <= maxClockAge;
}

void ServerControl::answered(const ServerReply &answer, core::TimePoint now,
                             std::vector<OwnershipAction> &actions)
{
    this->responsePendingSince.reset();
    if (answer.kind == ServerReply::Kind::NoAnswer) {
        this->unresponsive = true;
        return;
    }
    if (answer.epoch > this->currentEpoch) {
        this->superseded = true;
        actions.emplace_back(RelinquishServer{this->name});
        return;
    }
    if (this->incarnation && *this->incarnation != answer.incarnation) {
        this->leaseUntil = std::min(this->leaseUntil, now);
        this->grantedSet = KeySet();
        this->unansweredGrants.clear();
        this->machine.expire();
        actions.emplace_back(CancelRequests{this->name});
    }
    this->unresponsive = false;
    this->lastAnswer = now;
    this->incarnation = answer.incarnation;
    this->serverNow = answer.serverNow;
    this->serverNowAt = now;
    if (answer.kind == ServerReply::Kind::Accepted)
        this->accept(answer, now);
}

void ServerControl::accept(const ServerReply &answer, core::TimePoint now)
{
    const auto found = this->unansweredGrants.find(answer.fence.sequence);
    if (found == this->unansweredGrants.end()
        || answer.fence.sequence <= this->newestAcceptedSequence)
        return;
    this->newestAcceptedSequence = answer.fence.sequence;
    this->acceptedFence = answer.fence;
    this->grantedSet = found->second;
    this->unansweredGrants.erase(this->unansweredGrants.begin(), std::next(found));
    this->leaseUntil = std::max(this->leaseUntil, answer.sentAt + this->timings.lease);
    this->grantAccepted = true;
    const bool revokingOlder = this->machine.phase() == GrantPhase::Revoking
            && this->newestAcceptedSequence < this->lastSequence;
    if (this->leaseUntil > now && !revokingOlder)
        this->machine.accept();
}

std::optional<core::Fence> ServerControl::fence(core::TimePoint now) const
{
    const GrantPhase phase = this->machine.phase();
    const bool held = phase == GrantPhase::Held || phase == GrantPhase::Revoking;
    const bool withinLease = now >= this->times.sendFrom && now < this->leaseUntil;
    return held && withinLease && !this->superseded ? std::optional(this->acceptedFence)
                                                    : std::nullopt;
}

bool ServerControl::isReachable(core::TimePoint now) const
{
    return !this->unresponsive && now < this->leaseUntil;
}

bool ServerControl::isReleased(core::TimePoint now) const
{
    const core::TimePoint answeredAt = this->lastAnswer.value_or(this->startedAt);
    if (this->superseded || !this->unresponsive || now - answeredAt < this->timings.suspectTimeout)
        return false;
    core::TimePoint releasedFrom = this->times.predecessorExpiresAt;
    if (!this->grantAccepted)
        releasedFrom = std::max(releasedFrom, this->times.releaseFrom);
    if (this->lastGrantSent)
        releasedFrom = std::max(releasedFrom,
                                *this->lastGrantSent + this->timings.lease + this->timings.drift);
    // A server that doesn't check grants may still run requests that it received before the lease
    // expired.
    if (!this->checksFence)
        releasedFrom = std::max(releasedFrom,
                                this->leaseUntil + this->requestTimeout + this->timings.drift);
    return now >= releasedFrom;
}

void ServerControl::poll(const GrantRound &round, std::vector<OwnershipAction> &actions)
{
    // An offered grant must not expire while a late response could still turn it into a held one.
    const bool mayBeAccepted =
            this->lastGrantSent && round.now < *this->lastGrantSent + this->timings.lease;
    if (round.now >= this->leaseUntil && !mayBeAccepted)
        this->machine.expire();
    if (this->superseded || round.now < this->times.sendFrom)
        return;
    if (this->responsePendingSince) {
        if (round.now - *this->responsePendingSince < this->timings.renewal)
            return;
        // A probe doesn't extend the lease, so the lease of an unresponsive server expires.
        this->unresponsive = true;
    }
    if (this->unresponsive || !this->clockIsKnown(round.now)) {
        this->responsePendingSince = round.now;
        actions.emplace_back(ProbeServer{this->name});
        return;
    }
    // With authority from promises alone, another controller may have fenced the earlier
    // incarnation without this one having seen it.
    const bool mayGrant = round.hasAuthority
            && (this->grantedIncarnation == this->incarnation || round.logIsFresh);
    const bool sendDue = !this->lastGrantSent
            || round.now >= *this->lastGrantSent + this->timings.renewal
            || round.wanted != this->lastSentSet || this->grantedIncarnation != this->incarnation;
    if (mayGrant && sendDue)
        this->sendGrant(round, actions);
}

void ServerControl::sendGrant(const GrantRound &round, std::vector<OwnershipAction> &actions)
{
    const bool revokesSlots =
            !std::includes(round.wanted.slots.begin(), round.wanted.slots.end(),
                           this->grantedSet.slots.begin(), this->grantedSet.slots.end());
    if (revokesSlots)
        this->machine.revoke();
    else
        this->machine.offer();

    SendGrant grant;
    grant.server = this->name;
    grant.service = this->service;
    grant.incarnation = *this->incarnation;
    grant.fence = core::Fence{this->currentEpoch, ++this->lastSequence};
    grant.expiresAt = this->serverNow + (round.now + this->timings.lease - this->serverNowAt);
    grant.slots = round.wanted.slotList();
    grant.hotKeys = round.wanted.hotKeyList();
    actions.emplace_back(std::move(grant));

    this->unansweredGrants[this->lastSequence] = round.wanted;
    if (this->unansweredGrants.size() > maxUnansweredGrants)
        this->unansweredGrants.erase(this->unansweredGrants.begin());
    this->lastSentSet = round.wanted;
    this->lastGrantSent = round.now;
    this->responsePendingSince = round.now;
    this->grantedIncarnation = this->incarnation;
}

} // namespace amaranthdale::decisions
