// What changes the state of a dispatcher apart from requests: time, authority, slots, crashes.
#include "amaranthdale/decisions/server_dispatcher.h"

#include "refusals.h"

#include <algorithm>

namespace amaranthdale::decisions {

namespace {

// A report that arrives this long after a lost connection, from the same run of the server, shows
// that the server didn't crash. Earlier ones may have been made before the loss.
constexpr core::Duration reportDelay = std::chrono::seconds(1);
// A report may be lost too; older suspects would blame a later crash on old requests.
constexpr core::Duration suspectTime = std::chrono::seconds(30);

} // namespace

Actions ServerDispatcher::callerGone(Ticket ticket, core::TimePoint now)
{
    Actions actions;
    const auto found = this->pending.find(ticket);
    if (found == this->pending.end() || !found->second.waiters.empty())
        return actions;
    Pending &left = found->second;
    switch (left.stage) {
    case Stage::Attached:
        this->detach(ticket);
        actions.emplace_back(RefuseRequest{ticket, detail::refusedWhileInFlight()});
        break;
    case Stage::Queued:
        this->queue.remove(ticket);
        this->refuseNotSent(ticket, detail::refusedAsCallerGone(), now, actions);
        break;
    case Stage::InFlight:
        if (left.request.idempotent && !left.cancelled) {
            left.cancelled = true;
            actions.emplace_back(CancelRequest{ticket});
        }
        break;
    }
    return actions;
}

Actions ServerDispatcher::tick(core::TimePoint now)
{
    Actions actions;
    this->refuseQueued(this->queue.takeExpired(now), detail::refusedAsExpired(), now, actions);
    this->checkDeadlines(now, actions);
    this->ledger.expire(now);
    std::erase_if(this->suspects,
                  [&](const Suspect &suspect) { return suspect.lostAt + suspectTime <= now; });
    this->sendQueued(now, actions);
    return actions;
}

void ServerDispatcher::checkDeadlines(core::TimePoint now, Actions &actions)
{
    core::Duration oldest{};
    std::vector<Ticket> late;
    for (auto &[ticket, item] : this->pending) {
        const bool past = item.request.deadline <= now;
        if (item.stage == Stage::InFlight) {
            oldest = std::max(oldest, now - item.sentAt);
            if (past && !item.cancelled) {
                item.cancelled = true;
                actions.emplace_back(CancelRequest{ticket});
            }
        }
        if (item.stage == Stage::Attached && past)
            late.push_back(ticket);
    }
    for (Ticket ticket : late) {
        this->detach(ticket);
        actions.emplace_back(RefuseRequest{ticket, detail::refusedWhileInFlight()});
    }
    if (this->inFlight > 0)
        this->limit->waiting(oldest, now);
}

void ServerDispatcher::detach(Ticket ticket)
{
    const auto found = this->pending.find(ticket);
    std::erase(this->pending.at(found->second.owner).waiters, ticket);
    this->pending.erase(found);
}

Actions ServerDispatcher::authorityHeld(core::TimePoint now)
{
    Actions actions;
    this->authority = true;
    this->sendQueued(now, actions);
    return actions;
}

Actions ServerDispatcher::authorityLost(core::TimePoint now)
{
    Actions actions;
    this->authority = false;
    this->refuseQueued(this->queue.takeAll(), detail::refusedWithoutAuthority(), now, actions);
    return actions;
}

Actions ServerDispatcher::drain(core::TimePoint now)
{
    Actions actions;
    this->draining = true;
    this->refuseQueued(this->queue.takeAll(), detail::refusedAsDraining(), now, actions);
    return actions;
}

void ServerDispatcher::refuseQueued(const std::vector<QueueEntry> &entries, const Refusal &refusal,
                                    core::TimePoint now, Actions &actions)
{
    for (const QueueEntry &entry : entries)
        this->refuseNotSent(entry.ticket, refusal, now, actions);
}

void ServerDispatcher::refuseQueuedOf(core::SlotIndex slot, const Refusal &refusal,
                                      core::TimePoint now, Actions &actions)
{
    std::vector<Ticket> tickets;
    for (const auto &[ticket, item] : this->pending) {
        const bool ofSlot = item.request.slot == slot && !item.request.anyServer;
        if (item.stage == Stage::Queued && ofSlot)
            tickets.push_back(ticket);
    }
    for (Ticket ticket : tickets) {
        this->queue.remove(ticket);
        this->refuseNotSent(ticket, refusal, now, actions);
    }
}

void ServerDispatcher::refuseNotSent(Ticket ticket, const Refusal &refusal, core::TimePoint now,
                                     Actions &actions)
{
    const auto found = this->pending.find(ticket);
    const Pending ended = std::move(found->second);
    this->pending.erase(found);
    actions.emplace_back(RefuseRequest{ticket, refusal});
    Completion completion;
    completion.outcome = RunOutcome::NotRun;
    this->endWaiters(ended, completion, refusal, now, actions);
}

Actions ServerDispatcher::reportReceived(const LoadReport &report, core::TimePoint now)
{
    const bool known = this->incarnation != core::Incarnation();
    if (known && report.incarnation != this->incarnation)
        this->serverCrashed(now);
    else
        std::erase_if(this->suspects,
                      [&](const Suspect &suspect) { return suspect.lostAt + reportDelay <= now; });
    this->incarnation = report.incarnation;
    this->limit->reported(report, now);
    Actions actions;
    this->sendQueued(now, actions);
    return actions;
}

void ServerDispatcher::serverCrashed(core::TimePoint now)
{
    for (const auto &[ticket, item] : this->pending) {
        if (item.stage == Stage::InFlight)
            this->suspects.push_back(Suspect{item.request.fingerprint, now});
    }
    this->strikeSuspects(now);
    this->limit->connectionLost(now);
}

void ServerDispatcher::serverUnreachable(core::TimePoint now)
{
    // Without a lost connection this may be a partition, for which no request is to blame.
    if (!this->suspects.empty())
        this->strikeSuspects(now);
}

void ServerDispatcher::strikeSuspects(core::TimePoint now)
{
    std::vector<std::uint64_t> fingerprints;
    for (const Suspect &suspect : this->suspects)
        fingerprints.push_back(suspect.fingerprint);
    this->suspects.clear();
    this->crashFilter->with([&](CrashFilter &filter) {
        filter.crashed(fingerprints, this->options.server, this->incarnation, now);
    });
}

void ServerDispatcher::replayed(core::LogOffset offset, core::TimePoint now)
{
    this->ledger.replayed(offset, now);
}

void ServerDispatcher::startSlot(core::SlotIndex slot, core::LogOffset knownSince, bool initial,
                                 core::TimePoint now)
{
    this->pausedSlots.erase(slot);
    this->ledger.startSlot(slot, knownSince, initial, now);
}

Actions ServerDispatcher::pauseSlot(core::SlotIndex slot, core::TimePoint now)
{
    Actions actions;
    this->pausedSlots.insert(slot);
    this->refuseQueuedOf(slot, detail::refusedAsMoving(), now, actions);
    return actions;
}

unsigned ServerDispatcher::slotInFlight(core::SlotIndex slot) const
{
    const auto ofSlot = [slot](const auto &item) {
        return item.second.stage == Stage::InFlight && item.second.request.slot == slot
                && !item.second.request.anyServer;
    };
    return static_cast<unsigned>(std::count_if(this->pending.begin(), this->pending.end(), ofSlot));
}

SlotMemory ServerDispatcher::exportSlot(core::SlotIndex slot, core::TimePoint now) const
{
    return this->ledger.exportSlot(slot, now);
}

bool ServerDispatcher::importSlot(const SlotMemory &memory, core::TimePoint now)
{
    return this->ledger.importSlot(memory, now);
}

Actions ServerDispatcher::dropAllSlots(core::TimePoint now)
{
    Actions actions;
    for (const core::SlotIndex slot : this->ledger.ownedSlots()) {
        Actions dropped = this->dropSlot(slot, now);
        std::move(dropped.begin(), dropped.end(), std::back_inserter(actions));
    }
    return actions;
}

Actions ServerDispatcher::dropSlot(core::SlotIndex slot, core::TimePoint now)
{
    Actions actions;
    this->refuseQueuedOf(slot, detail::refusedWithoutAuthority(), now, actions);
    this->ledger.dropSlot(slot);
    this->pausedSlots.erase(slot);
    return actions;
}

DispatcherLoad ServerDispatcher::load(core::TimePoint now) const
{
    return {this->inFlight, this->limit->current(now), static_cast<unsigned>(this->queue.size())};
}

} // namespace amaranthdale::decisions
