// Succession of granters, grants, releases and changes of owner.
#include "amaranthdale/keyspace/granter.h"

#include <algorithm>

namespace amaranthdale::keyspace {

namespace {

// Fences between two records, for raises that need no record.
constexpr std::uint64_t fencesPerRecord = 1024;
constexpr auto releaseRepeat = std::chrono::milliseconds(400);
constexpr auto fencedRepeat = std::chrono::milliseconds(500);
constexpr auto unreachableRepeat = std::chrono::milliseconds(250);

// Grants in a row without an answer after which a server counts as silent.
constexpr unsigned silentAfter = 3;
// A silent server gets no further keys for this long; by then its registry entry has lapsed.
constexpr auto silencePause = std::chrono::seconds(5);
// Each attempt to raise the fence of an owner that doesn't answer prolongs the wait for its hold.
constexpr unsigned mostRaises = 3;

// The store counts as away when the log has not answered for so long.
constexpr auto storeSilence = std::chrono::milliseconds(2500);

} // namespace

Granter::Granter(core::InstanceId instance, std::string peerAddress, GranterLimits granterLimits)
    : self(std::move(instance)), peer(std::move(peerAddress)), limits(granterLimits)
{ }

void Granter::onLog(std::optional<Assignment> record, std::uint64_t logEnd,
                    core::TimePoint readBegan, core::TimePoint now)
{
    this->logKnown = true;
    this->stale = false;
    this->lastLogAnswer = readBegan;
    this->lastLogHeard = now;
    const bool wasGranter = this->isGranter();
    const bool changed = logEnd != this->end || record != this->newest;
    this->takenOver = this->takenOver || this->newest.has_value();
    std::optional<Assignment> before = std::move(this->newest);
    this->end = logEnd;
    this->newest = std::move(record);
    const bool sameGranter = before && this->newest && before->granter == this->newest->granter;
    // The first record that is read may be old: its granter is not taken for a new one.
    if (!sameGranter && before)
        this->granterSince = now;
    if (this->pending && this->pending->expectedEnd != logEnd) {
        // Either this very record was appended, or its condition can't hold any more.
        this->pending.reset();
        this->pendingSent = false;
    }
    if (!this->isGranter()) {
        this->ranges.clear();
        this->steppedDown = false;
        return;
    }
    this->authorityUntil = std::max(this->authorityUntil, readBegan + this->limits.authority);
    if (!wasGranter) {
        this->inheritedUntil = now + this->limits.authority;
        this->replaced = std::move(before);
    }
    if (changed || !wasGranter)
        this->adopt(*this->newest, !wasGranter && this->takenOver);
}

void Granter::onLogUnchanged(core::TimePoint readBegan, core::TimePoint now)
{
    this->stale = false;
    this->lastLogAnswer = std::max(this->lastLogAnswer, readBegan);
    this->lastLogHeard = now;
    if (this->isGranter())
        this->authorityUntil = std::max(this->authorityUntil, readBegan + this->limits.authority);
}

void Granter::setServers(std::vector<Candidate> usable, core::TimePoint now)
{
    if (this->candidates.empty() && !usable.empty())
        this->candidatesSince = now;
    this->candidates = std::move(usable);
}

bool Granter::isGranter() const
{
    return this->newest && this->newest->granter == this->self;
}

bool Granter::mayGrant(core::TimePoint now) const
{
    return this->isGranter() && !this->steppedDown && now < this->authorityUntil;
}

std::uint64_t Granter::fenceOfNextRecord() const
{
    return (this->end + 1) * fencesPerRecord;
}

// Takes the record over. The state of a range is kept where its keys and owner stay and its fence
// has not risen beyond the one in use.
void Granter::adopt(const Assignment &assignment, bool inherited)
{
    std::vector<Range> earlier = std::move(this->ranges);
    this->ranges.clear();
    for (const Holding &holding : assignment.holdings) {
        Range range;
        range.holding = holding;
        range.vacant = holding.owner.name.empty();
        range.inherited = inherited;
        const auto same = std::find_if(earlier.begin(), earlier.end(), [&](const Range &known) {
            return known.holding.keys == holding.keys && known.holding.owner == holding.owner
                    && known.holding.fence >= holding.fence;
        });
        if (same != earlier.end())
            range = *same;
        this->ranges.push_back(std::move(range));
    }
}

std::vector<Holding> Granter::holdings() const
{
    std::vector<Holding> result;
    result.reserve(this->ranges.size());
    for (const Range &range : this->ranges)
        result.push_back(range.holding);
    return result;
}

std::vector<Order> Granter::tick(core::TimePoint now, const KeyLoad &load)
{
    std::vector<Order> orders;
    if (!this->logKnown)
        return orders;
    if (this->stale || now < this->nextAppend) {
        // Grants in force are renewed all the same: the log may be away for long.
    } else if (this->pending) {
        if (!this->pendingSent) {
            this->pendingSent = true;
            orders.emplace_back(*this->pending);
        }
    } else if (!this->newest) {
        if (this->elected)
            this->appendFirst(now, orders);
    } else if (!this->isGranter() && this->elected
               && now >= this->granterSince + this->limits.takeoverPause) {
        this->appendTakeover(orders);
    }
    if (!this->mayGrant(now))
        return orders;
    this->markVacating(now);
    if (now >= this->nextRebalance)
        this->rebalance(now, load);
    for (Range &range : this->ranges)
        this->advance(range, now, orders);
    const bool mayAppend = !this->stale && now >= this->nextAppend;
    if (!this->pending && mayAppend)
        this->appendOwners(now, load, orders);
    if (!this->pending && mayAppend && !this->newest->settled && now >= this->inheritedUntil)
        this->settle(orders);
    return orders;
}

// Tells successors that no granter before this one has to be waited out.
void Granter::settle(std::vector<Order> &orders)
{
    Assignment next = *this->newest;
    next.settled = true;
    this->propose(std::move(next), orders);
}

void Granter::onPredecessorEnded(core::TimePoint now)
{
    const bool only = this->replaced && this->replaced->settled;
    if (only)
        this->inheritedUntil = std::min(this->inheritedUntil, now);
}

std::optional<Predecessor> Granter::predecessor() const
{
    if (!this->isGranter() || !this->replaced || !this->replaced->settled || this->newest->settled)
        return std::nullopt;
    return Predecessor{this->replaced->granter, this->replaced->granterPeer};
}

void Granter::stepDown()
{
    this->steppedDown = this->isGranter();
    this->stale = true;
}

void Granter::appendFirst(core::TimePoint now, std::vector<Order> &orders)
{
    if (this->candidates.empty() || now < this->candidatesSince + this->limits.settle)
        return;
    Assignment first;
    first.granter = this->self;
    first.granterPeer = this->peer;
    first.settled = true;
    first.holdings = placeInitially(this->candidates, this->limits.placement);
    for (Holding &holding : first.holdings)
        holding.fence = this->fenceOfNextRecord();
    this->propose(std::move(first), orders);
}

void Granter::appendTakeover(std::vector<Order> &orders)
{
    Assignment next = *this->newest;
    next.granter = this->self;
    next.granterPeer = this->peer;
    next.settled = false;
    for (Holding &holding : next.holdings)
        holding.fence = this->fenceOfNextRecord();
    this->propose(std::move(next), orders);
}

void Granter::propose(Assignment assignment, std::vector<Order> &orders)
{
    this->pending = AppendOrder{++this->lastOrder, this->end, std::move(assignment)};
    this->pendingSent = true;
    this->pendingDoubtful = false;
    orders.emplace_back(*this->pending);
}

void Granter::markVacating(core::TimePoint now)
{
    for (Range &range : this->ranges) {
        if (range.vacant || range.vacating)
            continue;
        const bool wanted = std::any_of(this->candidates.begin(), this->candidates.end(),
                                        [&range](const Candidate &candidate) {
                                            return candidate.run == range.holding.owner;
                                        });
        const bool lost = range.failures >= silentAfter && now >= this->holdEnd(range);
        if (lost)
            this->silentUntil[range.holding.owner] = now + silencePause;
        range.vacating = lost || (!wanted && !this->candidates.empty());
    }
}

std::vector<Candidate> Granter::answeringCandidates(core::TimePoint now) const
{
    std::vector<Candidate> answering;
    for (const Candidate &candidate : this->candidates) {
        const auto silent = this->silentUntil.find(candidate.run);
        if (silent == this->silentUntil.end() || silent->second <= now)
            answering.push_back(candidate);
    }
    return answering.empty() ? this->candidates : answering;
}

void Granter::rebalance(core::TimePoint now, const KeyLoad &load)
{
    this->nextRebalance = now + this->limits.rebalance;
    if (this->pending || this->stale)
        return;
    // Ranges that are moving count as the load of their next owner: waiting for all of them, some
    // of which end only with the work that runs on their keys, let hot ranges stay for seconds.
    std::vector<Holding> planned = this->holdings();
    for (std::size_t index = 0; index < planned.size(); ++index) {
        if (this->ranges[index].target)
            planned[index].owner = *this->ranges[index].target;
    }
    for (const Move &move :
         planMoves(planned, this->answeringCandidates(now), load, this->limits.placement))
        this->startMove(move);
}

// Splits off the keys that move. A range with a grant in flight stays whole: the grant, applied
// after the release, would take the released keys back.
void Granter::startMove(const Move &move)
{
    const auto found =
            std::find_if(this->ranges.begin(), this->ranges.end(), [&move](const Range &range) {
                return range.holding.keys.contains(move.keys.first);
            });
    if (found == this->ranges.end() || found->grant != 0 || found->vacating || !found->confirmed
        || !found->holding.keys.contains(move.keys.last))
        return;
    const KeyRange whole = found->holding.keys;
    Range before = *found;
    Range after = *found;
    before.holding.keys.last = move.keys.first - 1;
    after.holding.keys.first = move.keys.last + 1;
    found->holding.keys = move.keys;
    found->vacating = true;
    found->target = move.to;
    auto position = found - this->ranges.begin();
    if (whole.first < move.keys.first)
        this->ranges.insert(this->ranges.begin() + position++, std::move(before));
    if (move.keys.last < whole.last)
        this->ranges.insert(this->ranges.begin() + position + 1, std::move(after));
}

void Granter::advance(Range &range, core::TimePoint now, std::vector<Order> &orders)
{
    if (range.vacant)
        return;
    if (range.vacating)
        return this->advanceVacating(range, now, orders);
    if (range.grant == 0 && now >= range.nextGrant)
        this->sendGrant(range, now, orders);
}

void Granter::advanceVacating(Range &range, core::TimePoint now, std::vector<Order> &orders)
{
    if (now >= this->holdEnd(range)) {
        range.vacant = true;
        return;
    }
    if (range.grant != 0 || range.release != 0 || now < range.nextRelease)
        return;
    // The release counts only once no open grant can be applied after it: the owner must have
    // answered under a fence above all of them.
    if (!range.confirmed || range.doubtful) {
        if (range.raises >= mostRaises)
            return; // The hold has to run out.
        if (range.doubtful)
            return; // No fence is left to raise: the hold has to run out.
        ++range.raises;
        return this->sendGrant(range, now, orders);
    }
    range.release = ++this->lastOrder;
    orders.emplace_back(ReleaseOrder{range.release, range.holding.owner, range.holding.keys,
                                     range.holding.fence});
}

// After a failed grant the next one gets a higher fence: the failed one may be applied late, and
// the server may have restarted under its name, in which case keys must not come back to it under
// the fence that its earlier run had.
bool Granter::raiseFence(Range &range) const
{
    if ((range.holding.fence + 1) % fencesPerRecord == 0)
        return false;
    ++range.holding.fence;
    range.confirmed = false;
    range.doubtful = false;
    return true;
}

void Granter::sendGrant(Range &range, core::TimePoint now, std::vector<Order> &orders)
{
    const bool storeAway = now - this->lastLogHeard > storeSilence;
    const core::Duration hold = storeAway ? this->limits.longHold : this->limits.hold;
    // After a pause, such as a suspension of this machine, the owner may have restarted unnoticed.
    if (range.confirmed && now - range.lastSent > 2 * this->limits.renewal)
        this->raiseFence(range);
    range.lastSent = now;
    range.grant = ++this->lastOrder;
    range.heldBefore = range.heldUntil;
    range.heldUntil = std::max(range.heldUntil, this->holdEndAfter(now, hold));
    range.nextGrant = now + this->limits.renewal;
    orders.emplace_back(GrantOrder{range.grant, range.holding, hold});
}

core::TimePoint Granter::holdEndAfter(core::TimePoint sent, core::Duration hold) const
{
    const auto drift = std::chrono::duration_cast<core::Duration>(hold * this->limits.clockDrift);
    return sent + this->limits.transit + hold + drift;
}

// When no grant that anyone may have sent can still be in force. An earlier granter may go on
// until its authority ends, and may use the long hold; the owner refuses it once it has answered a
// grant under a fence of this instance.
core::TimePoint Granter::holdEnd(const Range &range) const
{
    if (!range.inherited)
        return range.heldUntil;
    return std::max(range.heldUntil,
                    this->holdEndAfter(this->inheritedUntil, this->limits.longHold));
}

void Granter::appendOwners(core::TimePoint now, const KeyLoad &load, std::vector<Order> &orders)
{
    std::vector<KeyRange> vacant;
    for (const Range &range : this->ranges) {
        if (range.vacant && !range.target)
            vacant.push_back(range.holding.keys);
    }
    const bool targeted = std::any_of(this->ranges.begin(), this->ranges.end(),
                                      [](const Range &r) { return r.vacant && r.target; });
    if (this->candidates.empty() || (vacant.empty() && !targeted)) {
        this->vacantSince = now;
        return;
    }
    // Every record is read by all instances, so ranges that are about to become vacant are waited
    // for a little.
    const bool releasing = std::any_of(this->ranges.begin(), this->ranges.end(),
                                       [](const Range &r) { return r.release != 0; });
    if (releasing && now < this->vacantSince + this->limits.batch)
        return;
    const auto owners = placeVacant(vacant, this->holdings(), this->answeringCandidates(now), load);
    Assignment next;
    next.granter = this->self;
    next.granterPeer = this->peer;
    next.settled = this->newest->settled || now >= this->inheritedUntil;
    auto owner = owners.begin();
    for (const Range &range : this->ranges) {
        Holding holding = range.holding;
        if (range.vacant) {
            holding.owner = range.target ? *range.target : *owner++;
            holding.fence = this->fenceOfNextRecord();
        }
        next.holdings.push_back(std::move(holding));
    }
    this->propose(std::move(next), orders);
}

void Granter::onGrant(OrderId id, OrderResult result, core::TimePoint now)
{
    const auto found = std::find_if(this->ranges.begin(), this->ranges.end(),
                                    [id](const Range &range) { return range.grant == id; });
    if (found == this->ranges.end())
        return;
    found->grant = 0;
    switch (result) {
    case OrderResult::Done:
        // A longer grant of an earlier granter stays in force beside a renewal that is shorter.
        if (found->inherited)
            found->heldUntil =
                    std::max(found->heldUntil, this->holdEndAfter(now, this->limits.longHold));
        found->confirmed = true;
        found->inherited = false;
        found->failures = 0;
        found->holding.handover.clear(); // Spent: the next owner needs a new one.
        break;
    case OrderResult::NoAnswer:
        found->doubtful = !this->raiseFence(*found);
        ++found->failures;
        found->nextGrant = now + this->limits.repeat;
        break;
    case OrderResult::Gone:
        // Its registry entry may stay for some seconds.
        this->silentUntil[found->holding.owner] = now + silencePause;
        found->heldUntil = found->heldBefore;
        found->vacating = true;
        found->vacant = true;
        break;
    case OrderResult::NotSent:
        found->heldUntil = found->heldBefore;
        ++found->failures;
        this->raiseFence(*found);
        found->nextGrant = now + unreachableRepeat;
        found->nextRelease = now + unreachableRepeat;
        break;
    case OrderResult::Fenced:
        // Only a successor's fence can lie above: the next read of the log tells.
        this->stale = true;
        found->nextGrant = now + fencedRepeat;
        found->nextRelease = now + fencedRepeat;
        break;
    }
}

void Granter::onRelease(OrderId id, OrderResult result, std::string handover, core::TimePoint now)
{
    const auto found = std::find_if(this->ranges.begin(), this->ranges.end(),
                                    [id](const Range &range) { return range.release == id; });
    if (found == this->ranges.end())
        return;
    found->release = 0;
    if (result == OrderResult::Done || result == OrderResult::Gone) {
        found->vacant = true;
        found->holding.handover = std::move(handover);
        return;
    }
    found->nextRelease = now + releaseRepeat;
}

void Granter::onAppend(OrderId id, AppendResult result, core::TimePoint now)
{
    if (!this->pending || this->pending->id != id)
        return;
    this->pendingSent = false;
    if (result == AppendResult::Done) {
        const AppendOrder done = *std::exchange(this->pending, std::nullopt);
        // The append began later than any read before it and proves that nothing lay between.
        this->onLog(done.assignment, done.expectedEnd + 1, this->lastLogAnswer, now);
        return;
    }
    this->nextAppend = now + this->limits.appendRepeat;
    if (result == AppendResult::Conflict) {
        this->pending.reset();
        this->stale = true;
        return;
    }
    // An append whose outcome is open is repeated as it is, and takes effect once, as its condition
    // holds once. A different one could meet a late copy of it.
    this->pendingDoubtful = this->pendingDoubtful || result == AppendResult::Unknown;
    if (result == AppendResult::Refused && !this->pendingDoubtful)
        this->pending.reset();
    this->stale = true;
}

} // namespace amaranthdale::keyspace
