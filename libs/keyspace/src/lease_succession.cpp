// Changes of the granter: takeovers, and the leases that earlier granters may have sent.
#include "amaranthdale/keyspace/lease_manager.h"

#include <algorithm>

namespace amaranthdale::keyspace {

namespace {

// Covers a read of the log and a second append if the first one met a newer record.
constexpr auto takeoverRequestLifetime = std::chrono::seconds(1);

bool overlap(KeyRange left, KeyRange right)
{
    return left.first <= right.last && right.first <= left.last;
}

} // namespace

bool LeaseManager::requestTakeover(const core::InstanceId &granter, core::TimePoint now)
{
    if (!this->newestRecord || this->newestRecord->granter != granter || this->isGranter())
        return false;
    this->takeoverFrom = granter;
    this->takeoverUntil = now + takeoverRequestLifetime;
    return true;
}

// A granter that asks for its replacement needs no protection against frequent changes.
bool LeaseManager::mayTakeOver(core::TimePoint now) const
{
    const bool requested =
            this->takeoverFrom == this->newestRecord->granter && now < this->takeoverUntil;
    const bool resumes =
            this->newestRecord->earlierEra && now + this->suspended < this->resumeUntil;
    return requested || resumes
            || (this->elected && now >= this->granterSince + this->options.minTakeoverInterval);
}

void LeaseManager::appendTakeover(core::TimePoint now, std::vector<Command> &commands)
{
    Assignment next = *this->newestRecord;
    next.earlierGranters = earlierGrantersAfter(*this->newestRecord);
    if (this->newestRecord->earlierEra) {
        next.earlierEra = false;
        next.ownersUncertain = next.ownersUncertain || now + this->suspended >= this->resumeUntil;
        // An empty list already means that the earlier granters aren't known.
        if (!next.earlierGranters.empty())
            next.earlierGranters.push_back(
                    this->unnamedGranter(this->newestRecord->terms.has_value()));
    }
    next.granter = this->self;
    next.granterPeer = this->ownPeerAddress;
    next.terms = this->termsWith(this->witnessesForTakeover());
    next.settled = false;
    for (OwnedRange &ownedRange : next.ownedRanges)
        ownedRange.fence = this->fenceOfNextRecord();
    this->startAppend(std::move(next), commands);
}

// Returns the newest record of earlier eras: what this instance has read, or what the store still
// has. Records that this instance has read may be missing there, and the other way round.
Assignment LeaseManager::laterBase(std::optional<Assignment> stored) const
{
    const bool knowsLater =
            this->newestRecord && (!stored || this->newestRecord->position >= stored->position);
    Assignment base = knowsLater ? *this->newestRecord : std::move(*stored);
    base.earlierEra = true;
    return base;
}

// A granter whose record was lost before this instance read it. Its witnesses confirm no more once
// they have read of the new era; until then it may have sent the longest leases.
Predecessor LeaseManager::unnamedGranter(bool withTerms) const
{
    if (!withTerms)
        return Predecessor{{}, "", std::nullopt};
    AuthorityTerms limits;
    limits.readAuthority = this->options.readAuthority;
    limits.longestAuthority = this->options.readAuthority;
    limits.lease = this->options.outageLeaseDuration;
    limits.confirmedLease = this->options.outageLeaseDuration;
    return Predecessor{{}, "", limits};
}

// True if a lost record may have given keys of a replaced server to another one.
bool LeaseManager::mayMissRecords() const
{
    const auto &earlier = this->newestRecord->earlierGranters;
    return !this->newestRecord->settled
            && std::any_of(earlier.begin(), earlier.end(), [](const Predecessor &granter) {
                   return granter.instance.name.value.empty();
               });
}

// Records that successors need not wait for the authority of granters before this one to expire.
void LeaseManager::appendSettled(std::vector<Command> &commands)
{
    Assignment next = *this->newestRecord;
    next.settled = true;
    next.ownersUncertain = false;
    next.earlierGranters.clear();
    // With the ranges as split here: without them, their leases would be forgotten.
    next.ownedRanges = this->ownedRanges();
    this->startAppend(std::move(next), commands);
}

std::vector<StepDownRequest> LeaseManager::predecessors(core::TimePoint now) const
{
    std::vector<StepDownRequest> requests;
    if (!this->isGranter() || now >= this->earlierGranters.authorityEnd())
        return requests;
    for (const Predecessor &awaited : this->earlierGranters.awaited())
        requests.push_back(StepDownRequest{awaited, this->end});
    return requests;
}

void LeaseManager::onPredecessorEnded(const StepDownRequest &request,
                                      const std::optional<LeaseReport> &leases, core::TimePoint now)
{
    // An answer to a request of an earlier term does not cover what the granter did since.
    if (!this->isGranter() || request.successorEnd < this->firstEnd
        || !this->earlierGranters.onEnded(request.predecessor.instance, leases.has_value(), now))
        return;
    // Without a report, its terms and the answers of its witnesses limit what it may have sent.
    if (leases || !request.predecessor.terms)
        this->addReport(leases, now);
}

void LeaseManager::addReport(const std::optional<LeaseReport> &leases, core::TimePoint now)
{
    const SendLimit unreported{now, this->options.outageLeaseDuration};
    if (!leases)
        this->reportedLeaseEnd =
                std::max(this->reportedLeaseEnd, this->leaseEndAfter(now, unreported.lease));
    for (const HeldLease &lease : leases.value_or(LeaseReport()))
        this->reportedLeaseEnd =
                std::max(this->reportedLeaseEnd,
                         now + plusDrift(lease.remaining, this->options.maxClockDrift));
    for (RangeState &range : this->ranges) {
        if (!range.inherited)
            continue;
        if (!leases) {
            range.earlierLeaseEnd =
                    std::max(range.earlierLeaseEnd, this->unreportedLeaseEnd(range, unreported));
            continue;
        }
        for (const HeldLease &lease : *leases) {
            if (!overlap(lease.keys, range.ownedRange.keys))
                continue;
            const auto drift = std::chrono::duration_cast<core::Duration>(
                    lease.remaining * this->options.maxClockDrift);
            range.earlierLeaseEnd = std::max(range.earlierLeaseEnd, now + lease.remaining + drift);
        }
    }
}

LeaseReport LeaseManager::stepDown(std::uint64_t successorEnd, core::TimePoint now)
{
    this->grantFloor = std::max(this->grantFloor, successorEnd);
    if (this->end < this->grantFloor)
        this->logReadRequired = true;
    return this->toReport(this->isGranter() ? this->leaseEnds(now) : this->formerLeases, now);
}

LeaseReport LeaseManager::toReport(const std::vector<LeaseEnd> &leases, core::TimePoint now)
{
    LeaseReport report;
    for (const LeaseEnd &lease : leases) {
        if (lease.end > now)
            report.push_back(HeldLease{lease.keys, lease.end - now});
    }
    return report;
}

std::vector<LeaseManager::LeaseEnd> LeaseManager::leaseEnds(core::TimePoint now) const
{
    // Once earlier granters count as ended by time, a record may say so, and successors don't ask
    // them any more.
    const bool coversEarlier = now >= this->earlierGranters.authorityEnd();
    std::vector<LeaseEnd> leases;
    for (const RangeState &range : this->ranges) {
        if (range.unowned)
            continue;
        leases.push_back({range.ownedRange.keys,
                          coversEarlier ? this->latestLeaseEnd(range)
                                        : std::max(range.leaseEnd, range.earlierLeaseEnd)});
    }
    return leases;
}

core::TimePoint LeaseManager::leaseEndAfter(core::TimePoint sent, core::Duration lease) const
{
    const auto drift =
            std::chrono::duration_cast<core::Duration>(lease * this->options.maxClockDrift);
    return sent + this->options.maxCallDelay + lease + drift;
}

// Returns the time by which leases within `limit` of earlier granters that did not report them have
// expired. The owner rejects them once it has accepted a grant under a token of this instance.
core::TimePoint LeaseManager::unreportedLeaseEnd(const RangeState &range,
                                                 const SendLimit &limit) const
{
    return this->leaseEndAfter(std::min(range.fencedAt.value_or(limit.lastSent), limit.lastSent),
                               limit.lease);
}

// Returns the end of the leases that the owner of `ownedRange` may hold on some of its keys.
core::TimePoint LeaseManager::latestLeaseEndAt(const std::vector<RangeState> &known,
                                               const OwnedRange &ownedRange) const
{
    core::TimePoint latest{};
    for (const RangeState &range : known) {
        if (!range.unowned && range.ownedRange.owner == ownedRange.owner
            && overlap(range.ownedRange.keys, ownedRange.keys))
            latest = std::max(latest, this->latestLeaseEnd(range));
    }
    return latest;
}

// Returns the time by which every lease that any granter may have sent has expired.
core::TimePoint LeaseManager::latestLeaseEnd(const RangeState &range) const
{
    if (!range.inherited)
        return range.leaseEnd;
    core::TimePoint latest = std::max(range.leaseEnd, range.earlierLeaseEnd);
    for (const SendLimit &limit : this->earlierGranters.sendLimits())
        latest = std::max(latest, this->unreportedLeaseEnd(range, limit));
    return latest;
}

} // namespace amaranthdale::keyspace
