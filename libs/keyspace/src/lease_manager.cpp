// Processing of the log, grants, releases and changes of owner.
#include "amaranthdale/keyspace/lease_manager.h"

#include "amaranthdale/core/log_position.h"

#include <algorithm>

namespace amaranthdale::keyspace {

namespace {

// Fencing tokens per record, so that a token can be raised without appending a record.
constexpr std::uint64_t fencesPerRecord = 1024;
// Tokens of a later era of the store are above all of an earlier one, and below 2^53 for 2047 eras.
constexpr unsigned fenceEraShift = 42;
constexpr auto releaseRetryDelay = std::chrono::milliseconds(400);
constexpr auto fencedRetryDelay = std::chrono::milliseconds(500);
constexpr auto unreachableRetryDelay = std::chrono::milliseconds(250);
// Time within which the reports of earlier granters usually arrive: an answer takes some 10 ms.
constexpr auto reportWait = std::chrono::milliseconds(300);

// Number of consecutive failed grants after which a server counts as unresponsive.
constexpr unsigned unresponsiveThreshold = 3;
// Time for which an unresponsive server gets no further keys. By then its registry entry has
// expired.
constexpr auto exclusionPeriod = std::chrono::seconds(5);
// Limited because each grant to an unresponsive owner extends the wait for its lease to expire.
constexpr unsigned maxFenceRaises = 3;

// Time without a response from the log after which no ranges are moved. A granter reads every 0.9
// s, and a slow store takes some 0.3 s more.
constexpr auto maxSilenceForMoves = std::chrono::milliseconds(1300);
// Time without a response from the log after which the store counts as unavailable.
constexpr auto storeOutageThreshold = std::chrono::milliseconds(2500);

} // namespace

LeaseManager::LeaseManager(core::InstanceId instance, std::string peerAddress,
                           LeaseOptions leaseOptions)
    : self(std::move(instance)), ownPeerAddress(std::move(peerAddress)), options(leaseOptions),
      rebalancer(leaseOptions.placement, leaseOptions.rebalance)
{ }

void LeaseManager::onLog(std::optional<Assignment> record, std::uint64_t logEnd,
                         core::TimePoint readStart, core::TimePoint now)
{
    const bool hadAuthority = this->hasAuthority(now);
    const core::TimePoint authorityUntil = hadAuthority ? this->authorityEnd() : core::TimePoint();
    this->logWasRead = true;
    this->logReadRequired = false;
    this->lastLogReadStart = readStart;
    this->lastLogResponse = now;
    const bool wasGranter = this->isGranter();
    const bool storeReturned = this->newestRecord && core::logEra(logEnd) > core::logEra(this->end);
    if ((record && record->earlierEra) || (!record && storeReturned)) {
        // The outcome of an append under way is unknown. Its owners are right in both cases: the
        // former ones of what it moves hold no lease, and a successor may have read it.
        if (storeReturned && hadAuthority && this->pendingAppend) {
            this->newestRecord = this->pendingAppend->assignment;
            this->newestRecord->position = this->pendingAppend->expectedEnd + 1;
        }
        record = this->laterBase(std::move(record));
        if (storeReturned)
            this->resumeUntil = record->granter == this->self ? authorityUntil : core::TimePoint();
    }
    const bool changed = record != this->newestRecord;
    this->hadEarlierRecord = this->hadEarlierRecord || this->newestRecord.has_value();
    std::optional<Assignment> previousRecord = std::move(this->newestRecord);
    this->end = logEnd;
    this->newestRecord = std::move(record);
    const bool sameGranter = previousRecord && this->newestRecord && !storeReturned
            && previousRecord->granter == this->newestRecord->granter;
    // The first record read may be old, so it does not count as a change of granter. One of an
    // earlier era does: its granter gets the time to write it again.
    const bool isBase = this->newestRecord && this->newestRecord->earlierEra;
    if (!sameGranter && (previousRecord || isBase))
        this->granterSince = now;
    if (this->pendingAppend && this->pendingAppend->expectedEnd != logEnd) {
        // Either this record was appended, or its condition can no longer be met.
        this->pendingAppend.reset();
        this->pendingAppendSent = false;
    }
    if (!this->isGranter()) {
        if (!this->ranges.empty())
            this->formerLeases = this->leaseEnds(now);
        this->ranges.clear();
        return;
    }
    this->authorityReadStart = std::max(this->authorityReadStart, readStart);
    if (!wasGranter) {
        this->earlierGranters.begin(*this->newestRecord,
                                    DefaultAuthority{this->options.authorityDuration,
                                                     this->options.outageLeaseDuration,
                                                     this->options.maxClockDrift},
                                    now);
        this->confirmations.clear();
        this->earlierPossible = this->hadEarlierRecord || this->newestRecord->ownersUncertain;
        this->firstEnd = logEnd;
        this->becameGranter = now;
        this->takeoverFrom.reset();
    }
    if (changed || !wasGranter)
        this->loadRecord(*this->newestRecord, !wasGranter && this->earlierPossible);
    if (!wasGranter && this->earlierGranters.onEnded(this->self, true, now))
        this->addReport(this->toReport(this->formerLeases, now), now);
}

void LeaseManager::onLogUnchanged(core::TimePoint readStart, core::TimePoint now)
{
    this->logReadRequired = false;
    this->lastLogReadStart = std::max(this->lastLogReadStart, readStart);
    this->lastLogResponse = now;
    if (this->isGranter())
        this->authorityReadStart = std::max(this->authorityReadStart, readStart);
}

void LeaseManager::setServers(std::vector<Candidate> usable, core::TimePoint now)
{
    if (this->candidates.empty() && !usable.empty())
        this->candidatesSince = now;
    if (usable.size() > this->candidates.size())
        this->candidateAddedAt = now;
    this->candidates = std::move(usable);
}

bool LeaseManager::isGranter() const
{
    return this->newestRecord && !this->newestRecord->earlierEra
            && this->newestRecord->granter == this->self;
}

std::uint64_t LeaseManager::fenceOfNextRecord() const
{
    return (core::logEra(this->end) << fenceEraShift)
            + (core::logOffset(this->end) + 1) * fencesPerRecord;
}

// Rebuilds the range states from a record. A range keeps its state if its keys and owner are
// unchanged and the recorded fencing token does not exceed the one in use.
void LeaseManager::loadRecord(const Assignment &assignment, bool inherited)
{
    std::vector<RangeState> earlier = std::move(this->ranges);
    this->ranges.clear();
    for (const OwnedRange &ownedRange : assignment.ownedRanges) {
        RangeState range;
        range.ownedRange = ownedRange;
        range.unowned = ownedRange.owner.name.empty();
        range.inherited = inherited;
        const auto same =
                std::find_if(earlier.begin(), earlier.end(), [&](const RangeState &known) {
                    return known.ownedRange.keys == ownedRange.keys
                            && known.ownedRange.owner == ownedRange.owner
                            && known.ownedRange.fence >= ownedRange.fence;
                });
        if (same != earlier.end())
            range = *same;
        else
            range.leaseEnd = this->latestLeaseEndAt(earlier, ownedRange);
        this->ranges.push_back(std::move(range));
    }
}

std::vector<OwnedRange> LeaseManager::ownedRanges() const
{
    std::vector<OwnedRange> result;
    result.reserve(this->ranges.size());
    for (const RangeState &range : this->ranges)
        result.push_back(range.ownedRange);
    return result;
}

std::vector<Command> LeaseManager::tick(core::TimePoint now, const KeyLoad &load)
{
    std::vector<Command> commands;
    this->tickTime = now;
    if (!this->logWasRead)
        return commands;
    if (this->logReadRequired || now < this->nextAppend) {
        // No appends. Existing leases are still renewed, as a log outage can take long.
    } else if (this->pendingAppend) {
        if (!this->pendingAppendSent) {
            this->pendingAppendSent = true;
            commands.emplace_back(*this->pendingAppend);
        }
    } else if (!this->newestRecord) {
        if (this->elected)
            this->appendInitial(now, commands);
    } else if (!this->isGranter() && this->mayTakeOver(now)) {
        this->appendTakeover(now, commands);
    }
    if (!this->mayGrant(now))
        return commands;
    this->startRevocations(now);
    if (now >= this->nextRebalance)
        this->rebalance(now, load);
    for (RangeState &range : this->ranges)
        this->updateRange(range, now, commands);
    const bool mayAppend = !this->logReadRequired && now >= this->nextAppend;
    if (!this->pendingAppend && mayAppend)
        this->appendNewOwners(now, load, commands);
    if (!this->pendingAppend && mayAppend && !this->newestRecord->settled
        && this->earlierSettled(now))
        this->appendSettled(commands);
    if (!this->pendingAppend && mayAppend)
        this->appendTerms(now, commands);
    return commands;
}

void LeaseManager::appendInitial(core::TimePoint now, std::vector<Command> &commands)
{
    const core::TimePoint due =
            std::min(this->candidateAddedAt + this->options.initialServerWait,
                     this->candidatesSince + this->options.maxInitialServerWait);
    if (this->candidates.empty() || now < due)
        return;
    Assignment first;
    first.granter = this->self;
    first.granterPeer = this->ownPeerAddress;
    first.settled = true;
    first.terms = this->termsWith(this->proposedWitnesses);
    if (core::logEra(this->end) > 0) {
        // All records of the earlier era may have been lost.
        first.settled = false;
        first.ownersUncertain = true;
        first.earlierGranters = {this->unnamedGranter(first.terms.has_value())};
    }
    first.ownedRanges = makeInitialPlacement(this->candidates, this->options.placement);
    for (OwnedRange &ownedRange : first.ownedRanges)
        ownedRange.fence = this->fenceOfNextRecord();
    this->startAppend(std::move(first), commands);
}

void LeaseManager::startAppend(Assignment assignment, std::vector<Command> &commands)
{
    this->pendingAppend = AppendCommand{++this->lastCommandId, this->end, std::move(assignment)};
    this->appendStart = this->tickTime + this->suspended;
    this->pendingAppendSent = true;
    this->pendingAppendMayApply = false;
    commands.emplace_back(*this->pendingAppend);
}

void LeaseManager::startRevocations(core::TimePoint now)
{
    for (RangeState &range : this->ranges) {
        if (range.unowned || range.revoking)
            continue;
        const bool isCandidate = std::any_of(this->candidates.begin(), this->candidates.end(),
                                             [&range](const Candidate &candidate) {
                                                 return candidate.server == range.ownedRange.owner;
                                             });
        const bool isUnresponsive =
                range.failedGrants >= unresponsiveThreshold && now >= this->latestLeaseEnd(range);
        if (isUnresponsive)
            this->excludedUntil[range.ownedRange.owner] = now + exclusionPeriod;
        range.revoking = isUnresponsive || (!isCandidate && !this->candidates.empty());
    }
}

std::vector<Candidate> LeaseManager::eligibleCandidates(core::TimePoint now) const
{
    std::vector<Candidate> eligible;
    for (const Candidate &candidate : this->candidates) {
        const auto excluded = this->excludedUntil.find(candidate.server);
        if (excluded == this->excludedUntil.end() || excluded->second <= now)
            eligible.push_back(candidate);
    }
    return eligible.empty() ? this->candidates : eligible;
}

void LeaseManager::rebalance(core::TimePoint now, const KeyLoad &load)
{
    this->nextRebalance = now + this->options.rebalanceInterval;
    // A range that is released while the store doesn't respond would have no owner until it does.
    const bool storeSilent = now - this->lastLogResponse > maxSilenceForMoves;
    if (this->pendingAppend || this->logReadRequired || storeSilent || this->earlierMayGrant(now))
        return;
    // Ranges in transfer count as load of their next owner. Waiting for all transfers to finish
    // would leave hot ranges in place for seconds, as some end only with the requests running on
    // their keys.
    std::vector<OwnedRange> planned = this->ownedRanges();
    for (std::size_t index = 0; index < planned.size(); ++index) {
        if (this->ranges[index].nextOwner)
            planned[index].owner = *this->ranges[index].nextOwner;
    }
    for (const Move &move :
         this->rebalancer.plan(planned, this->eligibleCandidates(now), load, now))
        this->startMove(move);
    this->mergeRanges(now);
}

// Splits off the keys to move. A range with a grant in flight is not split: if the grant were
// applied after the release, the owner would get the released keys back.
void LeaseManager::startMove(const Move &move)
{
    const auto found = std::find_if(this->ranges.begin(), this->ranges.end(),
                                    [&move](const RangeState &range) {
                                        return range.ownedRange.keys.contains(move.keys.first);
                                    });
    if (found == this->ranges.end() || found->pendingGrant != 0 || found->revoking
        || !found->confirmed || !found->ownedRange.keys.contains(move.keys.last))
        return;
    const KeyRange whole = found->ownedRange.keys;
    RangeState before = *found;
    RangeState after = *found;
    before.ownedRange.keys.last = move.keys.first - 1;
    after.ownedRange.keys.first = move.keys.last + 1;
    found->ownedRange.keys = move.keys;
    found->revoking = true;
    found->nextOwner = move.to;
    auto position = found - this->ranges.begin();
    if (whole.first < move.keys.first)
        this->ranges.insert(this->ranges.begin() + position++, std::move(before));
    if (move.keys.last < whole.last)
        this->ranges.insert(this->ranges.begin() + position + 1, std::move(after));
}

void LeaseManager::updateRange(RangeState &range, core::TimePoint now,
                               std::vector<Command> &commands)
{
    if (range.unowned)
        return;
    if (range.revoking)
        return this->revokeRange(range, now, commands);
    if (range.pendingGrant == 0 && now >= range.nextGrant)
        this->sendGrant(range, now, commands);
}

void LeaseManager::revokeRange(RangeState &range, core::TimePoint now,
                               std::vector<Command> &commands)
{
    if (range.pendingGrant == 0 && now >= this->latestLeaseEnd(range))
        return this->freeRange(range, FreeReason::LeaseEnded, now);
    // A grant to an owner that has failed would only extend the wait: the reports of earlier
    // granters may show that its lease has ended.
    const bool reportExpected = range.inherited && !this->earlierGranters.allReported()
            && now < this->becameGranter + reportWait;
    if (reportExpected)
        return;
    if (range.pendingGrant != 0 || range.pendingRelease != 0 || now < range.nextRelease)
        return;
    if (this->earlierMayGrant(now)) {
        // The owner's next process would accept a grant of an earlier granter after the release.
        if (range.confirmed && range.failedGrants == 0 && now >= range.nextGrant)
            this->sendGrant(range, now, commands);
        return;
    }
    // A release is only effective if no outstanding grant can be applied after it. The owner must
    // have accepted a fencing token above those of all such grants.
    if (!range.confirmed || range.grantOutcomeUnknown) {
        if (range.fenceRaises >= maxFenceRaises)
            return; // Wait for the lease to expire.
        if (range.grantOutcomeUnknown)
            return; // No higher token is left. Wait for the lease to expire.
        ++range.fenceRaises;
        return this->sendGrant(range, now, commands);
    }
    range.pendingRelease = ++this->lastCommandId;
    commands.emplace_back(ReleaseCommand{range.pendingRelease, range.ownedRange.owner,
                                         range.ownedRange.keys, range.ownedRange.fence});
}

void LeaseManager::freeRange(RangeState &range, FreeReason reason, core::TimePoint now)
{
    range.unowned = true;
    this->freedKeys.push_back(
            {range.ownedRange, reason, now + this->suspended - range.lastGrantSent});
}

std::vector<FreedKeys> LeaseManager::takeFreedKeys()
{
    return std::exchange(this->freedKeys, {});
}

// Raises the fencing token within the tokens of the current record; returns false if none is left.
// Needed after a failed grant: it may still be applied late, and if the server has restarted under
// the same name, it must not get keys under the token of its earlier incarnation.
bool LeaseManager::raiseFence(RangeState &range) const
{
    if ((range.ownedRange.fence + 1) % fencesPerRecord == 0)
        return false;
    ++range.ownedRange.fence;
    range.confirmed = false;
    range.grantOutcomeUnknown = false;
    return true;
}

void LeaseManager::sendGrant(RangeState &range, core::TimePoint now, std::vector<Command> &commands)
{
    const bool longer =
            now - this->lastLogResponse > storeOutageThreshold && this->maySendOutageLease(now);
    const core::Duration lease =
            longer ? this->options.outageLeaseDuration : this->options.leaseDuration;
    if (longer)
        this->outageLeaseEnd = std::max(this->outageLeaseEnd, this->leaseEndAfter(now, lease));
    // After a gap, e.g. when this instance was suspended, the owner may have restarted unnoticed.
    if (range.confirmed
        && now + this->suspended - range.lastGrantSent > 2 * this->options.renewalInterval) {
        this->raiseFence(range);
        range.fencedAt.reset();
    }
    range.lastGrantSent = now + this->suspended;
    range.pendingGrant = ++this->lastCommandId;
    range.pendingLease = lease;
    range.priorLeaseEnd = range.leaseEnd;
    range.leaseEnd = std::max(range.leaseEnd, this->leaseEndAfter(now, lease));
    range.nextGrant = now + this->options.renewalInterval;
    commands.emplace_back(GrantCommand{range.pendingGrant, range.ownedRange, lease, now});
}

void LeaseManager::appendNewOwners(core::TimePoint now, const KeyLoad &load,
                                   std::vector<Command> &commands)
{
    std::vector<KeyRange> unowned;
    for (const RangeState &range : this->ranges) {
        if (range.unowned && !range.nextOwner)
            unowned.push_back(range.ownedRange.keys);
    }
    const bool hasNextOwner =
            std::any_of(this->ranges.begin(), this->ranges.end(),
                        [](const RangeState &r) { return r.unowned && r.nextOwner; });
    if (this->candidates.empty() || (unowned.empty() && !hasNextOwner)) {
        this->lastFullyOwned = now;
        return;
    }
    // All instances read every record, so wait briefly to include the ranges being released.
    const bool releasing = std::any_of(this->ranges.begin(), this->ranges.end(),
                                       [](const RangeState &r) { return r.pendingRelease != 0; });
    if (releasing && now < this->lastFullyOwned + this->options.batchDelay)
        return;
    const auto owners =
            chooseOwners(unowned, this->ownedRanges(), this->eligibleCandidates(now), load);
    Assignment next;
    next.granter = this->self;
    next.granterPeer = this->ownPeerAddress;
    next.settled = this->newestRecord->settled || this->earlierSettled(now);
    next.terms = this->nextTerms(now);
    if (!next.settled)
        next.earlierGranters = this->newestRecord->earlierGranters;
    auto owner = owners.begin();
    for (const RangeState &range : this->ranges) {
        OwnedRange ownedRange = range.ownedRange;
        if (range.unowned) {
            ownedRange.owner = range.nextOwner ? *range.nextOwner : *owner++;
            ownedRange.fence = this->fenceOfNextRecord();
        }
        next.ownedRanges.push_back(std::move(ownedRange));
    }
    this->startAppend(std::move(next), commands);
}

void LeaseManager::onGrant(CommandId id, CommandResult result, core::TimePoint now)
{
    const auto found =
            std::find_if(this->ranges.begin(), this->ranges.end(),
                         [id](const RangeState &range) { return range.pendingGrant == id; });
    if (found == this->ranges.end())
        return;
    found->pendingGrant = 0;
    // It may have arrived as late as now, if this process was short of processor time.
    const bool mayHoldLease = result == CommandResult::Success || result == CommandResult::NoAnswer;
    if (mayHoldLease)
        found->leaseEnd = std::max(
                found->leaseEnd, now + plusDrift(found->pendingLease, this->options.maxClockDrift));
    switch (result) {
    case CommandResult::Success:
        // A shorter renewal does not shorten an earlier granter's longer lease.
        if (found->inherited && !found->fencedAt)
            found->fencedAt = now;
        found->confirmed = true;
        found->wasFenced = false;
        found->failedGrants = 0;
        found->ownedRange.handover.clear(); // Delivered; the next owner needs a new one.
        break;
    case CommandResult::NoAnswer:
        found->fencedAt.reset();
        found->grantOutcomeUnknown = !this->raiseFence(*found);
        ++found->failedGrants;
        found->nextGrant = now + this->options.grantRetryDelay;
        break;
    case CommandResult::ServerReplaced:
        // The registry entry may persist for some seconds.
        this->excludedUntil[found->ownedRange.owner] = now + exclusionPeriod;
        found->leaseEnd = found->priorLeaseEnd;
        found->revoking = true;
        found->nextGrant = now + unreachableRetryDelay;
        found->nextRelease = now + unreachableRetryDelay;
        if (!this->mayMissRecords())
            this->freeRange(*found, FreeReason::ServerReplaced, now);
        break;
    case CommandResult::NotExecuted:
        found->fencedAt.reset();
        // It did not extend the lease, so it doesn't count: the owner may be restarting, and its
        // keys are free as soon as the new process has accepted a grant and a release.
        if (found->fenceRaises > 0)
            --found->fenceRaises;
        found->leaseEnd = found->priorLeaseEnd;
        ++found->failedGrants;
        this->raiseFence(*found);
        found->nextGrant = now + unreachableRetryDelay;
        found->nextRelease = now + unreachableRetryDelay;
        break;
    case CommandResult::Fenced:
        // Only a successor can have sent a higher token; the next log read shows its record. Until
        // then nothing is granted: a server that restarts would accept the lower token. Not so if
        // the range was refused before: the read showed no successor, and a server that names too
        // high a token must not keep all others from being renewed.
        this->logReadRequired = true;
        if (!std::exchange(found->wasFenced, true))
            this->fencedNoticeAt = now + this->suspended;
        found->nextGrant = now + fencedRetryDelay;
        found->nextRelease = now + fencedRetryDelay;
        break;
    }
}

void LeaseManager::onRelease(CommandId id, CommandResult result, std::string handover,
                             core::TimePoint now)
{
    const auto found =
            std::find_if(this->ranges.begin(), this->ranges.end(),
                         [id](const RangeState &range) { return range.pendingRelease == id; });
    if (found == this->ranges.end())
        return;
    found->pendingRelease = 0;
    const bool isReplaced = result == CommandResult::ServerReplaced && !this->mayMissRecords();
    if (result == CommandResult::Success || isReplaced) {
        this->freeRange(*found,
                        result == CommandResult::Success ? FreeReason::Released
                                                         : FreeReason::ServerReplaced,
                        now);
        found->ownedRange.handover = std::move(handover);
        return;
    }
    found->nextRelease = now + releaseRetryDelay;
}

void LeaseManager::onAppend(CommandId id, AppendResult result, core::TimePoint now)
{
    if (!this->pendingAppend || this->pendingAppend->id != id)
        return;
    this->pendingAppendSent = false;
    if (result == AppendResult::Success) {
        AppendCommand done = *std::exchange(this->pendingAppend, std::nullopt);
        done.assignment.position = done.expectedEnd + 1;
        // The conditional append started after the last read and proves that nothing was appended
        // in between. Granters without terms count from that read, as they always have.
        const core::TimePoint proof =
                done.assignment.terms ? this->appendStart : this->lastLogReadStart;
        this->onLog(done.assignment, done.expectedEnd + 1, proof, now);
        return;
    }
    this->nextAppend = now + this->options.appendRetryDelay;
    if (result == AppendResult::Conflict) {
        this->pendingAppend.reset();
        this->logReadRequired = true;
        return;
    }
    // An append with unknown outcome is retried unchanged. It takes effect at most once, because
    // its condition holds only once; a different append could conflict with a delayed copy.
    this->pendingAppendMayApply = this->pendingAppendMayApply || result == AppendResult::Unknown;
    // The granter asks another instance instead.
    if (result == AppendResult::Refused)
        this->takeoverFrom.reset();
    if (result == AppendResult::Refused && !this->pendingAppendMayApply)
        this->pendingAppend.reset();
    this->logReadRequired = true;
}

} // namespace amaranthdale::keyspace
