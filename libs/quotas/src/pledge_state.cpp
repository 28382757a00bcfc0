// Selection of the lender, and the pledge to it.
#include "amaranthdale/quotas/pledge_state.h"

#include "amaranthdale/core/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace amaranthdale::quotas {

namespace {

constexpr double minRelativeCores = 0.5;
constexpr unsigned maxUnanswered = 3;
constexpr core::Duration firstSuspicion = std::chrono::seconds(2);
constexpr core::Duration maxSuspicion = std::chrono::seconds(16);

// A pledge is renewed after this share of its validity, so that one lost message doesn't end it.
constexpr double renewalShare = 0.4;

core::Duration scaled(core::Duration duration, double factor)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(duration)
                                                      * factor);
}

// Score for weighted rendezvous hashing.
double score(const membership::Member &member, unsigned group)
{
    const std::uint64_t hash = core::stableHash(member.name.value, group);
    const double uniform = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
    return -member.cores / std::log(uniform);
}

} // namespace

unsigned groupOf(OrganisationId organisation)
{
    return static_cast<unsigned>(organisation % groupCount);
}

void PledgeState::selectLender(const std::vector<membership::Member> &members, core::TimePoint now)
{
    const membership::Member *best = nullptr;
    double maxCores = 0;
    for (const membership::Member &member : members) {
        if (!this->isSuspected(member.name, now))
            maxCores = std::max(maxCores, member.cores);
    }
    double highest = 0;
    for (const membership::Member &member : members) {
        if (member.cores < minRelativeCores * maxCores || this->isSuspected(member.name, now))
            continue;
        const double memberScore = score(member, this->group);
        if (best == nullptr || memberScore > highest) {
            best = &member;
            highest = memberScore;
        }
    }
    const bool same = best != nullptr && this->selected && *best == *this->selected;
    if (same)
        return;
    this->selected = best == nullptr ? std::nullopt : std::optional(*best);
    this->pending.reset();
    this->unanswered = 0;
}

bool PledgeState::isSuspected(const core::InstanceName &name, core::TimePoint now) const
{
    const auto found = this->suspicions.find(name);
    return found != this->suspicions.end() && now < found->second.until;
}

void PledgeState::suspect(core::TimePoint now)
{
    std::erase_if(this->suspicions,
                  [&](const auto &item) { return now >= item.second.until + item.second.length; });
    Suspicion &suspicion = this->suspicions[this->selected->name];
    suspicion.length = suspicion.length == core::Duration::zero()
            ? firstSuspicion
            : std::min(2 * suspicion.length, maxSuspicion);
    suspicion.until = now + suspicion.length;
    this->selected.reset();
    this->unanswered = 0;
}

bool PledgeState::mayAsk(core::TimePoint now)
{
    if (this->pending && now - this->pending->sentAt >= this->timing.replyTimeout) {
        this->pending.reset();
        if (++this->unanswered >= maxUnanswered && this->selected)
            this->suspect(now);
    }
    return this->selected && !this->pending;
}

bool PledgeState::mayPledge(core::TimePoint now) const
{
    if (this->returnTo() == 0 || now - this->newest->receivedAt >= this->newest->pledgeTime)
        return false; // The lender would not accept a stamp that old.
    return this->pledgedTo == 0 || this->pledgedTo == this->newest->lender
            || now >= this->pledgeEnd;
}

bool PledgeState::isRenewalDue(core::TimePoint now) const
{
    if (!this->selected)
        return false;
    if (this->returnTo() == 0 || now - this->newest->receivedAt >= this->newest->pledgeTime)
        return true;
    if (!this->mayPledge(now))
        return false;
    return !this->lastAskPledged
            || now - this->lastAskAt >= scaled(this->newest->pledgeTime, renewalShare);
}

TokenAsk PledgeState::beginAsk(core::TimePoint now)
{
    TokenAsk ask;
    ask.group = static_cast<std::uint8_t>(this->group);
    // Higher than the numbers of an earlier process of this instance.
    const auto time = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch());
    this->lastSequence = std::max(this->lastSequence + 1, static_cast<std::uint64_t>(time.count()));
    ask.sequence = this->lastSequence;
    this->lastAskPledged = this->mayPledge(now);
    this->pending = Ask{ask.sequence, now, this->lastAskPledged};
    this->lastAskAt = now;
    if (!this->lastAskPledged)
        return ask;
    // The lender made the stamp before it arrived here, so its count ends before `pledgeEnd`.
    ask.lender = this->newest->lender;
    ask.stamp = this->newest->stamp;
    ask.firstPledge = !std::exchange(this->hasPledged, true);
    this->pledgedTo = ask.lender;
    this->pledgeEnd = this->newest->receivedAt
            + scaled(this->newest->pledgeTime, 1 + this->timing.clockTolerance);
    return ask;
}

std::optional<PledgeState::Answered> PledgeState::onReply(const TokenReply &reply,
                                                          core::TimePoint now)
{
    if (!this->pending || reply.sequence != this->pending->sequence)
        return std::nullopt;
    const Answered answered{this->pending->sentAt, this->pending->pledged};
    this->pending.reset();
    this->unanswered = 0;
    if (reply.pledgeTime == core::Duration::zero()) {
        // The lender stops and counts no share any more.
        if (this->pledgedTo == reply.lender)
            this->pledgedTo = 0;
        this->newest.reset();
        this->suspect(now);
        return answered;
    }
    this->suspicions.erase(this->selected->name);
    this->newest = Stamp{this->selected->name, reply.lender, reply.stamp, now, reply.pledgeTime};
    return answered;
}

std::uint64_t PledgeState::returnTo() const
{
    const bool known = this->newest && this->selected && this->newest->from == this->selected->name;
    return known ? this->newest->lender : 0;
}

} // namespace amaranthdale::quotas
