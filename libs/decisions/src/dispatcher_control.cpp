// ServerDispatcher: deadlines, authority, slots and crashes.
#include "amaranthdale/decisions/server_dispatcher.h"

#include "refusals.h"

#include <algorithm>

namespace amaranthdale::decisions {

namespace {

// A load report from the same incarnation that arrives this long after a lost connection shows that
// the server didn't crash. Earlier reports may have been sent before the loss.
constexpr core::Duration minReportDelay = std::chrono::seconds(1);
// Reports may be lost too, so suspects expire: otherwise a later crash would be attributed to old
// requests.
constexpr core::Duration suspectLifetime = std::chrono::seconds(30);

} // namespace

Actions ServerDispatcher::callerDisconnected(Ticket ticket, core::TimePoint now)
{
    Actions actions;
    const auto found = this->pending.find(ticket);
    if (found == this->pending.end() || !found->second.waiters.empty())
        return actions;
    Pending &abandoned = found->second;
    switch (abandoned.stage) {
    case Stage::Attached:
        this->detach(ticket);
        actions.emplace_back(RefuseRequest{ticket, detail::refusedWhileInFlight()});
        break;
    case Stage::Queued:
        this->queue.remove(ticket);
        this->refuseUnsent(ticket, detail::refusedAsCallerGone(), now, actions);
        break;
    case Stage::InFlight:
        if (abandoned.request.idempotent && !abandoned.cancelled) {
            abandoned.cancelled = true;
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
    std::erase_if(this->crashSuspects, [&](const CrashSuspect &suspect) {
        return suspect.lostAt + suspectLifetime <= now;
    });
    this->sendQueued(now, actions);
    return actions;
}

void ServerDispatcher::checkDeadlines(core::TimePoint now, Actions &actions)
{
    core::Duration longestInFlight{};
    std::vector<Ticket> expiredTickets;
    for (auto &[ticket, item] : this->pending) {
        const bool pastDeadline = item.request.deadline <= now;
        if (item.stage == Stage::InFlight) {
            longestInFlight = std::max(longestInFlight, now - item.sentAt);
            if (pastDeadline && !item.cancelled) {
                item.cancelled = true;
                actions.emplace_back(CancelRequest{ticket});
            }
        }
        if (item.stage == Stage::Attached && pastDeadline)
            expiredTickets.push_back(ticket);
    }
    for (Ticket ticket : expiredTickets) {
        this->detach(ticket);
        actions.emplace_back(RefuseRequest{ticket, detail::refusedWhileInFlight()});
    }
    if (this->inFlight > 0)
        this->limit->requestPending(longestInFlight, now);
}

void ServerDispatcher::detach(Ticket ticket)
{
    const auto found = this->pending.find(ticket);
    std::erase(this->pending.at(found->second.owner).waiters, ticket);
    this->pending.erase(found);
}

Actions ServerDispatcher::authorityGained(core::TimePoint now)
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
        this->refuseUnsent(entry.ticket, refusal, now, actions);
}

void ServerDispatcher::refuseQueuedForSlot(core::SlotIndex slot, const Refusal &refusal,
                                           core::TimePoint now, Actions &actions)
{
    std::vector<Ticket> tickets;
    for (const auto &[ticket, item] : this->pending) {
        const bool inSlot = item.request.slot == slot && !item.request.anyServer;
        if (item.stage == Stage::Queued && inSlot)
            tickets.push_back(ticket);
    }
    for (Ticket ticket : tickets) {
        this->queue.remove(ticket);
        this->refuseUnsent(ticket, refusal, now, actions);
    }
}

void ServerDispatcher::refuseUnsent(Ticket ticket, const Refusal &refusal, core::TimePoint now,
                                    Actions &actions)
{
    const auto found = this->pending.find(ticket);
    const Pending ended = std::move(found->second);
    this->pending.erase(found);
    actions.emplace_back(RefuseRequest{ticket, refusal});
    Completion completion;
    completion.outcome = RunOutcome::NotRun;
    this->completeWaiters(ended, completion, refusal, now, actions);
}

Actions ServerDispatcher::reportReceived(const LoadReport &report, core::TimePoint now)
{
    const bool known = this->incarnation != core::Incarnation();
    if (known && report.incarnation != this->incarnation)
        this->serverCrashed(now);
    else
        std::erase_if(this->crashSuspects, [&](const CrashSuspect &suspect) {
            return suspect.lostAt + minReportDelay <= now;
        });
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
            this->crashSuspects.push_back(CrashSuspect{item.request.fingerprint, now});
    }
    this->addStrikesForSuspects(now);
    this->limit->connectionLost(now);
}

void ServerDispatcher::serverUnreachable(core::TimePoint now)
{
    // Without a lost connection this may be a network partition, which no request caused.
    if (!this->crashSuspects.empty())
        this->addStrikesForSuspects(now);
}

void ServerDispatcher::addStrikesForSuspects(core::TimePoint now)
{
    std::vector<std::uint64_t> fingerprints;
    for (const CrashSuspect &suspect : this->crashSuspects)
        fingerprints.push_back(suspect.fingerprint);
    this->crashSuspects.clear();
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
    this->refuseQueuedForSlot(slot, detail::refusedAsMoving(), now, actions);
    return actions;
}

unsigned ServerDispatcher::slotInFlight(core::SlotIndex slot) const
{
    const auto inSlot = [slot](const auto &item) {
        return item.second.stage == Stage::InFlight && item.second.request.slot == slot
                && !item.second.request.anyServer;
    };
    return static_cast<unsigned>(std::count_if(this->pending.begin(), this->pending.end(), inSlot));
}

SlotLedger ServerDispatcher::exportSlot(core::SlotIndex slot, core::TimePoint now) const
{
    return this->ledger.exportSlot(slot, now);
}

bool ServerDispatcher::importSlot(const SlotLedger &memory, core::TimePoint now)
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
    this->refuseQueuedForSlot(slot, detail::refusedWithoutAuthority(), now, actions);
    this->ledger.dropSlot(slot);
    this->pausedSlots.erase(slot);
    return actions;
}

DispatcherLoad ServerDispatcher::load(core::TimePoint now) const
{
    return {this->inFlight, this->limit->current(now), static_cast<unsigned>(this->queue.size())};
}

} // namespace amaranthdale::decisions
