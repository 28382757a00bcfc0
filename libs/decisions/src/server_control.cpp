// Renewal, expiry and release of the grants of one backend server.
#include "server_control.h"

#include <algorithm>

namespace amaranthdale::decisions {

namespace {

// Beyond this age of the server's reported clock, drift could exceed its bound.
constexpr core::Duration longestClockAge = std::chrono::seconds(2);

// Responses that arrive later than this many newer grants are of no use.
constexpr std::size_t mostSentGrants = 8;

} // namespace

ServerControl::ServerControl(const ServerState &server, const OwnershipTimings &intervals,
                             core::Duration timeout, TakeoverTimes takeover)
    : name(server.spec.name), service(server.service), checksFence(server.spec.checksFence),
      timings(intervals), requestTimeout(timeout), times(takeover),
      currentEpoch(server.controller->epoch), startedAt(takeover.sendFrom)
{ }

bool ServerControl::clockIsKnown(core::TimePoint now) const
{
    return this->incarnation && now - this->serverNowAt <= longestClockAge;
}

void ServerControl::answered(const ServerAnswer &answer, core::TimePoint now,
                             std::vector<OwnershipAction> &actions)
{
    this->waitingSince.reset();
    if (answer.kind == ServerAnswer::Kind::NoAnswer) {
        this->failing = true;
        return;
    }
    if (answer.epoch > this->currentEpoch) {
        this->superseded = true;
        actions.emplace_back(StopServer{this->name});
        return;
    }
    if (this->incarnation && *this->incarnation != answer.incarnation) {
        this->heldUntil = std::min(this->heldUntil, now);
        this->granted = KeySet();
        this->sent.clear();
        this->machine.expire();
        actions.emplace_back(CancelRequests{this->name});
    }
    this->failing = false;
    this->lastAnswer = now;
    this->incarnation = answer.incarnation;
    this->serverNow = answer.serverNow;
    this->serverNowAt = now;
    if (answer.kind == ServerAnswer::Kind::Accepted)
        this->accept(answer, now);
}

void ServerControl::accept(const ServerAnswer &answer, core::TimePoint now)
{
    const auto found = this->sent.find(answer.fence.sequence);
    if (found == this->sent.end() || answer.fence.sequence <= this->accepted)
        return;
    this->accepted = answer.fence.sequence;
    this->acceptedFence = answer.fence;
    this->granted = found->second;
    this->sent.erase(this->sent.begin(), std::next(found));
    this->heldUntil = std::max(this->heldUntil, answer.sentAt + this->timings.lease);
    this->fenced = true;
    const bool revokingOlder =
            this->machine.phase() == GrantPhase::Revoking && this->accepted < this->lastSequence;
    if (this->heldUntil > now && !revokingOlder)
        this->machine.accept();
}

std::optional<core::Fence> ServerControl::fence(core::TimePoint now) const
{
    const GrantPhase phase = this->machine.phase();
    const bool held = phase == GrantPhase::Held || phase == GrantPhase::Revoking;
    const bool inTime = now >= this->times.sendFrom && now < this->heldUntil;
    return held && inTime && !this->superseded ? std::optional(this->acceptedFence) : std::nullopt;
}

bool ServerControl::isReachable(core::TimePoint now) const
{
    return !this->failing && now < this->heldUntil;
}

bool ServerControl::isReleased(core::TimePoint now) const
{
    const core::TimePoint answeredAt = this->lastAnswer.value_or(this->startedAt);
    if (this->superseded || !this->failing || now - answeredAt < this->timings.silence)
        return false;
    core::TimePoint from = this->times.settledFrom;
    if (!this->fenced)
        from = std::max(from, this->times.releaseFrom);
    if (this->lastGrantSent)
        from = std::max(from, *this->lastGrantSent + this->timings.lease + this->timings.drift);
    // A server that doesn't check grants may still run what it received before the lease ended.
    if (!this->checksFence)
        from = std::max(from, this->heldUntil + this->requestTimeout + this->timings.drift);
    return now >= from;
}

void ServerControl::poll(const GrantRound &round, std::vector<OwnershipAction> &actions)
{
    if (round.now >= this->heldUntil)
        this->machine.expire();
    if (this->superseded || round.now < this->times.sendFrom)
        return;
    if (this->waitingSince) {
        if (round.now - *this->waitingSince < this->timings.renewal)
            return;
        // A load query doesn't prolong the lease, so the lease of a silent server runs out.
        this->failing = true;
    }
    if (this->failing || !this->clockIsKnown(round.now)) {
        this->waitingSince = round.now;
        actions.emplace_back(ProbeServer{this->name});
        return;
    }
    // Under promises alone, another controller may have fenced the earlier incarnation unseen.
    const bool mayGrant = round.hasAuthority
            && (this->grantedIncarnation == this->incarnation || round.logIsFresh);
    const bool due = !this->lastGrantSent
            || round.now >= *this->lastGrantSent + this->timings.renewal
            || round.wanted != this->lastSent || this->grantedIncarnation != this->incarnation;
    if (mayGrant && due)
        this->sendGrant(round, actions);
}

void ServerControl::sendGrant(const GrantRound &round, std::vector<OwnershipAction> &actions)
{
    const bool shrinks = !std::includes(round.wanted.slots.begin(), round.wanted.slots.end(),
                                        this->granted.slots.begin(), this->granted.slots.end());
    if (shrinks)
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

    this->sent[this->lastSequence] = round.wanted;
    if (this->sent.size() > mostSentGrants)
        this->sent.erase(this->sent.begin());
    this->lastSent = round.wanted;
    this->lastGrantSent = round.now;
    this->waitingSince = round.now;
    this->grantedIncarnation = this->incarnation;
}

} // namespace amaranthdale::decisions
