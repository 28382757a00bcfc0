// Attempts, retries, hedging and completion of a caller's request.
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

// A change of owner or controller takes some hundred milliseconds. Waiting costs the servers
// nothing, so only the deadline and the memory of waiting requests limit it.
constexpr core::Duration ownerPollInterval = std::chrono::milliseconds(20);
constexpr std::size_t maxWaitingRequests = 4096;

constexpr unsigned defaultBudgetBurst = 100;

// No server was reached: the controller is being replaced, or the slots are moving away from an
// unreachable server.
bool shouldWaitForController(const ForwardResult &result)
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
    if (!this->markEnded())
        return;
    this->cancelAttempts();
    this->reportOutcome({}, RequestOutcome::Unknown, NotRunReason::Cancelled);
}

std::optional<core::ServerName> CallerRequest::chooseServer(const core::ServerName &except)
{
    const StatePointer state = this->context.tables.state();
    const decisions::ServiceState *service = state->findService(this->routed.info.service);
    if (!service)
        return std::nullopt;
    if (this->routed.ownerOnly)
        return decisions::ownerFor(*service, this->routed);
    const core::TimePoint now = this->context.clock.now();
    return this->context.entry.with([&](EntryTable &table) -> std::optional<core::ServerName> {
        const auto views = table.loads.views(*state, *service);
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
                                      "no server currently owns this key; retry the request"));
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
    this->context.entry.with([&](EntryTable &table) { table.loads.requestSent(*server); });

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
    bool endedMeanwhile = false;
    {
        std::lock_guard lock(this->mutex);
        endedMeanwhile = this->ended;
        for (Attempt &each : this->attempts) {
            if (each.number == number)
                each.exchange = exchange;
        }
    }
    // If the request ended during the call, `cancelAttempts` found no exchange to cancel.
    if (endedMeanwhile && exchange)
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
        if (self->context.entry.with([](EntryTable &table) { return table.hedge->tryHedge(); }))
            self->attempt(true);
    });
}

bool CallerRequest::removeAttempt(unsigned number)
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
            [&](EntryTable &table) { table.loads.requestEnded(server, result.load, now); });
    const bool isLastAttempt = this->removeAttempt(number);
    if (result.outcome == RunOutcome::Answered)
        return this->sendResponse(server, std::move(result));
    {
        std::lock_guard lock(this->mutex);
        this->mayHaveRun = this->mayHaveRun || result.outcome == RunOutcome::Unknown;
        if (result.refusal.kind == ErrorKind::ConnectionLost)
            ++this->connectionsLost;
    }
    if (isLastAttempt)
        this->handleFailedAttempt(result);
}

void CallerRequest::handleFailedAttempt(const ForwardResult &result)
{
    if (shouldWaitForController(result)) {
        this->regenerateId();
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
    if (decision.shouldRetry)
        return this->scheduleRetry(decision.delay);
    this->sendRefusal(result);
}

void CallerRequest::regenerateId()
{
    // A controller whose ledger starts at a later offset than the id will never run it. The id was
    // generated for this request, and every attempt under it ended as not run, so no other instance
    // can have run it.
    const StatePointer state = this->context.tables.state();
    const decisions::ServiceState *service = state->findService(this->routed.info.service);
    if (!service || this->routed.info.idempotent)
        return;
    this->context.entry.with([&](EntryTable &table) {
        decisions::regenerateId(*service, this->routed, state->offset(), table.random);
    });
}

void CallerRequest::waitForOwner(const ForwardResult &result)
{
    const bool beforeDeadline =
            this->context.clock.now() + ownerPollInterval < this->routed.info.deadline;
    const bool admitted = beforeDeadline && this->context.entry.with([](EntryTable &table) {
        if (table.waiting >= maxWaitingRequests)
            return false;
        ++table.waiting;
        return true;
    });
    if (!admitted)
        return this->sendRefusal(result);
    this->context.clock.schedule(
            this->context.clock.now() + ownerPollInterval, [self = this->shared_from_this()] {
                self->context.entry.with([](EntryTable &table) { --table.waiting; });
                self->attempt(false);
            });
}

void CallerRequest::scheduleRetry(core::Duration delay)
{
    this->context.clock.schedule(this->context.clock.now() + delay,
                                 [self = this->shared_from_this()] { self->attempt(false); });
}

bool CallerRequest::markEnded()
{
    std::lock_guard lock(this->mutex);
    return !std::exchange(this->ended, true);
}

void CallerRequest::cancelAttempts()
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

void CallerRequest::sendResponse(const core::ServerName &server, ForwardResult result)
{
    if (!this->markEnded())
        return; // The slower attempt of a hedge; destroying its body cancels the rest.
    this->cancelAttempts();
    core::HttpResponse response = callerResponse(this->routed.info.id, std::move(result.response));
    response.body = std::make_shared<ObservedBody>(
            std::move(response.body), [self = this->shared_from_this(), server](bool whole) {
                self->reportOutcome(server,
                                    whole ? RequestOutcome::Answered : RequestOutcome::Unknown,
                                    NotRunReason::None);
            });
    const core::Duration latency = this->context.clock.now() - this->arrivedAt;
    this->context.entry.with([latency](EntryTable &table) { table.hedge->recordLatency(latency); });
    this->handler(std::move(response));
}

void CallerRequest::sendRefusal(const ForwardResult &result)
{
    if (!this->markEnded())
        return;
    decisions::Refusal refusal = result.refusal;
    refusal.outcome = decisions::outcomeForCaller(this->routed.info, refusal);
    core::ServerName server;
    {
        std::lock_guard lock(this->mutex);
        server = this->lastServer;
        // An earlier attempt may have run even if the last one did not.
        if (this->mayHaveRun)
            refusal.outcome = RunOutcome::Unknown;
    }
    const bool notRun = refusal.outcome == RunOutcome::NotRun;
    this->reportOutcome(server, notRun ? RequestOutcome::NotRun : RequestOutcome::Unknown,
                        notRun ? notRunReason(refusal.kind) : NotRunReason::None);
    this->handler(refusalResponse(this->routed.info.id, refusal));
}

void CallerRequest::reportOutcome(const core::ServerName &server, RequestOutcome outcome,
                                  NotRunReason reason)
{
    const core::TimePoint now = this->context.clock.now();
    report::RequestFinished event;
    event.service = this->routed.info.service;
    event.server = server;
    event.outcome = outcome;
    event.reason = reason;
    event.latency = now - this->arrivedAt;
    const StatePointer state = this->context.tables.state();
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
