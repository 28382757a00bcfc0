// Attempts, waits, hedges and the end of a caller's request.
#include "caller_request.h"

#include "caller_response.h"
#include "observed_body.h"

#include <algorithm>

namespace amaranthdale::daemon {

namespace {

using core::ErrorKind;
using decisions::RunOutcome;
using report::NotRunReason;
using report::RequestOutcome;

// A change of owner or controller takes some hundred milliseconds; waiting costs no server any
// work, so it is bounded by the deadline and by memory only.
constexpr core::Duration ownerPollInterval = std::chrono::milliseconds(20);
constexpr std::size_t mostWaiting = 4096;

constexpr unsigned defaultBudgetBurst = 100;

// No server did any work: the controller is being replaced, or the slots are moving away from a
// server that can't be reached.
bool waitsForControl(const ForwardResult &result)
{
    const bool notReached = result.refusal.kind == ErrorKind::Fenced
            || result.refusal.kind == ErrorKind::Unavailable;
    return result.outcome == RunOutcome::NotRun && notReached;
}

} // namespace

EntryTable::EntryTable(std::uint64_t seed)
    : random(seed), budget(defaultBudgetBurst),
      retry(std::make_unique<decisions::BudgetedRetry>(this->budget, this->random)),
      hedge(std::make_unique<decisions::QuantileHedge>(this->budget)),
      selector(std::make_unique<decisions::TwoChoices>())
{ }

CallerRequest::CallerRequest(EntryContext entryContext, decisions::RoutedRequest routedRequest,
                             bool keyed, core::HttpRequest original, core::ResponseHandler respond)
    : context(entryContext), routed(std::move(routedRequest)), keyedService(keyed),
      arrivedAt(entryContext.clock.now()), request(std::move(original)), handler(std::move(respond))
{ }

void CallerRequest::start()
{
    this->context.entry.with([](EntryTable &table) { table.retry->firstAttempt(); });
    this->attempt(false);
}

void CallerRequest::cancel()
{
    if (!this->claimEnd())
        return;
    this->cancelOthers();
    this->record({}, RequestOutcome::Unknown, NotRunReason::Cancelled);
}

std::optional<core::ServerName> CallerRequest::chooseServer(const core::ServerName &except)
{
    const StatePointer state = this->context.shared.state();
    const decisions::ServiceState *service = state->findService(this->routed.info.service);
    if (!service)
        return std::nullopt;
    if (this->routed.ownerOnly)
        return decisions::ownerFor(*service, this->routed);
    const core::TimePoint now = this->context.clock.now();
    return this->context.entry.with([&](EntryTable &table) -> std::optional<core::ServerName> {
        const auto views = table.board.views(*state, *service);
        const auto index = table.selector->choose(views, except, now, table.random);
        if (!index)
            return std::nullopt;
        return views[*index].name;
    });
}

void CallerRequest::attempt(bool hedge)
{
    core::ServerName except;
    {
        std::lock_guard lock(this->mutex);
        if (this->ended)
            return;
        except = this->lastServer;
    }
    const auto server = this->chooseServer(except);
    if (!server) {
        if (!hedge)
            this->waitForOwner(refuse(RunOutcome::NotRun, ErrorKind::Fenced,
                                      "no server owns this key now; send the request again"));
        return;
    }

    unsigned number = 0;
    {
        std::lock_guard lock(this->mutex);
        number = ++this->attemptCount;
        this->lastServer = *server;
        this->attempts.push_back(Attempt{number, *server, nullptr});
        this->hedged = this->hedged || hedge;
    }
    this->context.entry.with([&](EntryTable &table) { table.board.sent(*server); });

    ForwardRequest forward;
    forward.server = *server;
    forward.info = this->routed.info;
    forward.key = this->routed.key;
    forward.ownerOnly = this->routed.ownerOnly;
    forward.request = this->request;
    auto exchange = this->context.forwarder.forward(
            std::move(forward),
            [self = this->shared_from_this(), number, server = *server](ForwardResult result) {
                self->attemptEnded(number, server, std::move(result));
            });
    bool over = false;
    {
        std::lock_guard lock(this->mutex);
        over = this->ended;
        for (Attempt &each : this->attempts) {
            if (each.number == number)
                each.exchange = exchange;
        }
    }
    // An end during the call found no exchange to cancel.
    if (over && exchange)
        exchange->cancel();
    if (!hedge && number == 1)
        this->scheduleHedge();
}

void CallerRequest::scheduleHedge()
{
    const core::TimePoint now = this->context.clock.now();
    const auto delay = this->context.entry.with([&](EntryTable &table) {
        return table.hedge->delayFor(this->routed.info, this->keyedService, now);
    });
    if (!delay)
        return;
    this->context.clock.schedule(now + *delay, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        {
            std::lock_guard lock(self->mutex);
            if (self->ended || self->attempts.empty())
                return;
        }
        if (self->context.entry.with([](EntryTable &table) { return table.hedge->mayHedge(); }))
            self->attempt(true);
    });
}

bool CallerRequest::forgetAttempt(unsigned number)
{
    std::lock_guard lock(this->mutex);
    std::erase_if(this->attempts, [number](const Attempt &each) { return each.number == number; });
    return this->attempts.empty();
}

void CallerRequest::attemptEnded(unsigned number, const core::ServerName &server,
                                 ForwardResult result)
{
    const core::TimePoint now = this->context.clock.now();
    this->context.entry.with(
            [&](EntryTable &table) { table.board.ended(server, result.load, now); });
    const bool lastOne = this->forgetAttempt(number);
    if (result.outcome == RunOutcome::Answered)
        return this->answer(server, std::move(result));
    {
        std::lock_guard lock(this->mutex);
        this->mayHaveRun = this->mayHaveRun || result.outcome == RunOutcome::Unknown;
        if (result.refusal.kind == ErrorKind::ConnectionLost)
            ++this->connectionsLost;
    }
    if (lastOne)
        this->decideAfter(result);
}

void CallerRequest::decideAfter(const ForwardResult &result)
{
    if (waitsForControl(result)) {
        this->renewId();
        return this->waitForOwner(result);
    }
    decisions::FailedAttempt failed;
    failed.outcome = result.outcome;
    failed.kind = result.refusal.kind;
    failed.retryAfter = result.refusal.retryAfter;
    {
        std::lock_guard lock(this->mutex);
        failed.attempts = this->attemptCount;
        failed.connectionsLost = this->connectionsLost;
    }
    const core::TimePoint now = this->context.clock.now();
    const decisions::RetryDecision decision = this->context.entry.with(
            [&](EntryTable &table) { return table.retry->decide(this->routed.info, failed, now); });
    if (decision.again)
        return this->again(decision.delay);
    this->giveUp(result);
}

void CallerRequest::renewId()
{
    // A controller whose memory starts later than the id never runs it. The id was made for this
    // request, and each attempt under it ended as not run, so it can't have run anywhere else.
    const StatePointer state = this->context.shared.state();
    const decisions::ServiceState *service = state->findService(this->routed.info.service);
    if (!service || this->routed.info.idempotent)
        return;
    this->context.entry.with([&](EntryTable &table) {
        decisions::renewId(*service, this->routed, state->offset(), table.random);
    });
}

void CallerRequest::waitForOwner(const ForwardResult &result)
{
    const bool inTime = this->context.clock.now() + ownerPollInterval < this->routed.info.deadline;
    const bool room = inTime && this->context.entry.with([](EntryTable &table) {
        if (table.waiting >= mostWaiting)
            return false;
        ++table.waiting;
        return true;
    });
    if (!room)
        return this->giveUp(result);
    this->context.clock.schedule(
            this->context.clock.now() + ownerPollInterval, [self = this->shared_from_this()] {
                self->context.entry.with([](EntryTable &table) { --table.waiting; });
                self->attempt(false);
            });
}

void CallerRequest::again(core::Duration delay)
{
    this->context.clock.schedule(this->context.clock.now() + delay,
                                 [self = this->shared_from_this()] { self->attempt(false); });
}

bool CallerRequest::claimEnd()
{
    std::lock_guard lock(this->mutex);
    return !std::exchange(this->ended, true);
}

void CallerRequest::cancelOthers()
{
    std::vector<Attempt> others;
    {
        std::lock_guard lock(this->mutex);
        others.swap(this->attempts);
    }
    for (const Attempt &each : others) {
        if (each.exchange)
            each.exchange->cancel();
    }
}

void CallerRequest::answer(const core::ServerName &server, ForwardResult result)
{
    if (!this->claimEnd())
        return; // The loser of a hedge: destroying its body gives the rest up.
    this->cancelOthers();
    core::HttpResponse response = callerResponse(this->routed.info.id, std::move(result.response));
    response.body = std::make_shared<ObservedBody>(
            std::move(response.body), [self = this->shared_from_this(), server](bool whole) {
                self->record(server, whole ? RequestOutcome::Answered : RequestOutcome::Unknown,
                             NotRunReason::None);
            });
    const core::Duration latency = this->context.clock.now() - this->arrivedAt;
    this->context.entry.with([latency](EntryTable &table) { table.hedge->observed(latency); });
    this->handler(std::move(response));
}

void CallerRequest::giveUp(const ForwardResult &result)
{
    if (!this->claimEnd())
        return;
    decisions::Refusal refusal = result.refusal;
    refusal.outcome = decisions::outcomeForCaller(this->routed.info, refusal);
    core::ServerName server;
    {
        std::lock_guard lock(this->mutex);
        server = this->lastServer;
        // An earlier attempt may have run even though the last one certainly didn't.
        if (this->mayHaveRun)
            refusal.outcome = RunOutcome::Unknown;
    }
    const bool notRun = refusal.outcome == RunOutcome::NotRun;
    this->record(server, notRun ? RequestOutcome::NotRun : RequestOutcome::Unknown,
                 notRun ? reasonOf(refusal.kind) : NotRunReason::None);
    this->handler(refusalResponse(this->routed.info.id, refusal));
}

void CallerRequest::record(const core::ServerName &server, RequestOutcome outcome,
                           NotRunReason reason)
{
    const core::TimePoint now = this->context.clock.now();
    report::RequestFinished event;
    event.service = this->routed.info.service;
    event.server = server;
    event.outcome = outcome;
    event.reason = reason;
    event.latency = now - this->arrivedAt;
    const StatePointer state = this->context.shared.state();
    if (const decisions::ServerState *known = state->findServer(server))
        event.dataCentre = known->spec.dataCentre;
    {
        std::lock_guard lock(this->mutex);
        event.hedged = this->hedged;
        event.retried = this->attemptCount > (this->hedged ? 2U : 1U);
    }
    this->context.recorder.requestFinished(event, now);
}

} // namespace amaranthdale::daemon
