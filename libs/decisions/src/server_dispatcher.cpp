// ServerDispatcher: arrival, sending and completion of requests.
#include "amaranthdale/decisions/server_dispatcher.h"

#include "refusals.h"

#include <algorithm>
#include <cassert>

namespace amaranthdale::decisions {

namespace {

// Initial value of the moving average.
constexpr core::Duration initialServiceTime = std::chrono::milliseconds(5);
constexpr int serviceTimeWeight = 16;

} // namespace

ServerDispatcher::ServerDispatcher(DispatcherOptions dispatcherOptions,
                                   std::unique_ptr<ConcurrencyLimit> concurrencyLimit,
                                   SharedCrashFilter sharedCrashFilter)
    : options(std::move(dispatcherOptions)), limit(std::move(concurrencyLimit)),
      crashFilter(std::move(sharedCrashFilter)),
      queue(this->options.brands, this->options.maxQueued), ledger(this->options.ledger),
      serviceTime(initialServiceTime)
{ }

Arrival ServerDispatcher::arrive(const RequestInfo &request, core::TimePoint now)
{
    Arrival arrival;
    arrival.ticket = ++this->lastTicket;
    // The ledger is checked first: a request that was sent must never be refused as NotRun.
    if (!request.idempotent) {
        const LedgerLookup lookup = this->ledger.find(request, now);
        if (lookup.verdict != LedgerVerdict::New) {
            this->handleVerdict(arrival.ticket, request, lookup, now, arrival.actions);
            return arrival;
        }
    }
    if (std::optional<Refusal> refusal = this->admissionRefusal(request, now)) {
        arrival.actions.emplace_back(RefuseRequest{arrival.ticket, std::move(*refusal)});
        return arrival;
    }
    this->enqueue(arrival.ticket, request, now, arrival.actions);
    this->sendQueued(now, arrival.actions);
    return arrival;
}

void ServerDispatcher::handleVerdict(Ticket ticket, const RequestInfo &request,
                                     const LedgerLookup &lookup, core::TimePoint now,
                                     Actions &actions)
{
    switch (lookup.verdict) {
    case LedgerVerdict::InFlight:
        this->attach(ticket, request, lookup.owner, actions);
        return;
    case LedgerVerdict::Answered:
        actions.emplace_back(ReturnStoredResponse{ticket, lookup.response});
        return;
    case LedgerVerdict::Full:
        actions.emplace_back(RefuseRequest{
                ticket, detail::refusedAsLedgerFull(this->expectedWait(request, now))});
        return;
    case LedgerVerdict::New:
    case LedgerVerdict::Unknown:
    case LedgerVerdict::FingerprintMismatch:
    case LedgerVerdict::OffsetNotReplayed:
    case LedgerVerdict::BeforeKnownSince:
    case LedgerVerdict::NotOwned:
        actions.emplace_back(RefuseRequest{ticket, detail::refusalFor(lookup.verdict)});
        return;
    }
}

std::optional<Refusal> ServerDispatcher::admissionRefusal(const RequestInfo &request,
                                                          core::TimePoint now) const
{
    if (!this->authority)
        return detail::refusedWithoutAuthority();
    if (!request.anyServer && !this->ledger.ownsSlot(request.slot))
        return detail::refusalFor(LedgerVerdict::NotOwned);
    if (this->draining)
        return detail::refusedAsDraining();
    if (!request.anyServer && this->pausedSlots.contains(request.slot))
        return detail::refusedAsMoving();
    if (request.deadline <= now)
        return detail::refusedAsExpired();
    if (const auto remaining = this->crashFilter->with(
                [&](const CrashFilter &filter) { return filter.banned(request.fingerprint, now); }))
        return detail::refusedAsBanned(*remaining);
    const core::Duration wait = this->expectedWait(request, now);
    if (now + wait >= request.deadline)
        return detail::refusedAsOverloaded(wait);
    return std::nullopt;
}

core::Duration ServerDispatcher::expectedWait(const RequestInfo &request, core::TimePoint now) const
{
    const unsigned currentLimit = this->limit->current(now);
    if (this->queue.size() == 0 && this->inFlight < currentLimit)
        return {};
    return this->queue.expectedWait(request.brand, this->serviceTime, currentLimit);
}

void ServerDispatcher::enqueue(Ticket ticket, const RequestInfo &request, core::TimePoint now,
                               Actions &actions)
{
    const PushResult pushed = this->queue.push(QueueEntry{ticket, request.brand, request.deadline});
    const Refusal overloaded = detail::refusedAsOverloaded(this->expectedWait(request, now));
    if (pushed.evicted)
        this->refuseUnsent(*pushed.evicted, overloaded, now, actions);
    if (!pushed.accepted) {
        actions.emplace_back(RefuseRequest{ticket, overloaded});
        return;
    }
    if (!request.idempotent)
        this->ledger.begin(request, ticket, now);
    this->pending[ticket].request = request;
}

void ServerDispatcher::attach(Ticket ticket, const RequestInfo &request, Ticket owner,
                              Actions &actions)
{
    const auto found = this->pending.find(owner);
    assert(found != this->pending.end());
    found->second.waiters.push_back(ticket);
    Pending &attached = this->pending[ticket];
    attached.request = request;
    attached.stage = Stage::Attached;
    attached.owner = owner;
    actions.emplace_back(AttachRequest{ticket, owner});
}

void ServerDispatcher::sendQueued(core::TimePoint now, Actions &actions)
{
    while (this->authority && this->inFlight < this->limit->current(now)) {
        const std::optional<QueueEntry> next = this->queue.pop();
        if (!next)
            return;
        this->send(next->ticket, now, actions);
    }
}

void ServerDispatcher::send(Ticket ticket, core::TimePoint now, Actions &actions)
{
    Pending &item = this->pending.at(ticket);
    if (item.request.deadline <= now) {
        this->refuseUnsent(ticket, detail::refusedAsExpired(), now, actions);
        return;
    }
    // The fingerprint may have been banned while the request was queued.
    const auto remaining = this->crashFilter->with([&](const CrashFilter &filter) {
        return filter.banned(item.request.fingerprint, now);
    });
    if (remaining) {
        this->refuseUnsent(ticket, detail::refusedAsBanned(*remaining), now, actions);
        return;
    }
    item.stage = Stage::InFlight;
    item.sentAt = now;
    ++this->inFlight;
    actions.emplace_back(SendRequest{ticket});
}

Actions ServerDispatcher::completed(Ticket ticket, const Completion &completion,
                                    core::TimePoint now)
{
    Actions actions;
    const auto found = this->pending.find(ticket);
    if (found == this->pending.end() || found->second.stage != Stage::InFlight)
        return actions;
    const Pending ended = std::move(found->second);
    this->pending.erase(found);
    this->recordCompletion(ended, completion, now);
    --this->inFlight;

    Refusal refusal;
    if (completion.outcome != RunOutcome::Answered) {
        refusal = detail::refusedAfterSending(completion.outcome, completion.kind,
                                              this->expectedWait(ended.request, now));
        actions.emplace_back(RefuseRequest{ticket, refusal});
    }
    this->completeWaiters(ended, completion, refusal, now, actions);
    this->sendQueued(now, actions);
    return actions;
}

void ServerDispatcher::recordCompletion(const Pending &ended, const Completion &completion,
                                        core::TimePoint now)
{
    const core::Duration age = now - ended.sentAt;
    if (completion.outcome == RunOutcome::Answered) {
        this->limit->answered(completion.latency.value_or(age), this->inFlight, now);
        this->serviceTime += (age - this->serviceTime) / serviceTimeWeight;
        this->crashFilter->with(
                [&](CrashFilter &filter) { filter.answered(ended.request.fingerprint); });
        return;
    }
    switch (completion.kind) {
    case core::ErrorKind::Overloaded:
        this->limit->refused(now);
        break;
    case core::ErrorKind::ConnectionLost:
        this->crashSuspects.push_back(CrashSuspect{ended.request.fingerprint, now});
        this->limit->connectionLost(now);
        break;
    case core::ErrorKind::Unavailable:
        this->limit->connectionLost(now);
        break;
    case core::ErrorKind::Timeout:
        this->limit->requestPending(age, now);
        break;
    default:
        break;
    }
}

void ServerDispatcher::completeWaiters(const Pending &owner, const Completion &completion,
                                       const Refusal &refusal, core::TimePoint now,
                                       Actions &actions)
{
    std::shared_ptr<const StoredResponse> response;
    if (completion.outcome == RunOutcome::Answered) {
        StoredResponse stored;
        stored.bodyStored = false;
        response = std::make_shared<const StoredResponse>(completion.response.value_or(stored));
    }
    if (!owner.request.idempotent)
        this->ledger.complete(owner.request, completion.outcome, response, now);
    for (Ticket waiter : owner.waiters) {
        this->pending.erase(waiter);
        if (response)
            actions.emplace_back(ReturnStoredResponse{waiter, response});
        else
            actions.emplace_back(RefuseRequest{waiter, refusal});
    }
}

} // namespace amaranthdale::decisions
