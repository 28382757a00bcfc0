// Outcomes of the second attempt of a request.
#include "hedged_attempt.h"

#include "body_prefix.h"
#include "hedge_table.h"
#include "request_outcome.h"

namespace amaranthdale::gateway {

using namespace detail;

void HedgedAttempt::onResponse(core::Outcome<core::HttpResponse> outcome)
{
    if (!this->isInProgress())
        return;
    if (!outcome)
        return this->onTransportError(outcome.error());
    const ServerResponse parsed = this->gateway.wireFormat.classifyResponse(*outcome);
    {
        std::lock_guard lock(this->mutex);
        this->loadReport = parsed.load;
    }
    if (outcome->skippedResponses > 0)
        this->gateway.stats.count("responses_skipped_total", {}, outcome->skippedResponses);
    this->request.applyServerState(parsed, this->server.name, this->server.incarnation);
    switch (parsed.responseClass) {
    case ResponseClass::Answered:
        return this->readBody(std::move(*outcome));
    case ResponseClass::Failed:
        if (outcome->status >= 500)
            return this->end(balance::AttemptResult::Failed, Effect::MayHaveRun);
        if (impliesNotRun(outcome->status) || !this->isDeferring())
            return this->end(balance::AttemptResult::Answered, Effect::MayHaveRun);
        // The first attempt has failed, so this is the only response that there is.
        outcome->body = joinBody({}, std::move(outcome->body), this->gateway.clock,
                                 this->plan.demand.deadline + responseMargin + maxStreamOverrun);
        return this->win({std::move(*outcome), "failed", "server-failed"});
    case ResponseClass::Shed:
        this->request.reportShortage();
        return this->end(balance::AttemptResult::Shed, Effect::NotRun);
    case ResponseClass::NotOwner:
        return this->end(balance::AttemptResult::Misdirected, Effect::NotRun);
    case ResponseClass::Invalid:
        return this->end(balance::AttemptResult::Failed, Effect::MayHaveRun);
    }
}

void HedgedAttempt::onTransportError(const core::Error &error)
{
    if (error.kind == core::ErrorKind::Unavailable)
        return this->end(balance::AttemptResult::Unreachable, Effect::NotReached);
    if (error.kind == core::ErrorKind::ConnectionLost)
        this->request.reportLost(this->server.name, this->server.incarnation);
    this->end(error.kind == core::ErrorKind::Timeout ? balance::AttemptResult::TimedOut
                                                     : balance::AttemptResult::Failed,
              Effect::MayHaveRun);
}

// A body without end is cut off when the request is overdue.
void HedgedAttempt::readBody(core::HttpResponse response)
{
    auto body = response.body;
    const core::TimePoint expiry = this->plan.demand.deadline + responseMargin + maxStreamOverrun;
    readPrefix(std::move(body), this->gateway.limits.maxBufferedBytes, this->gateway.buffers,
               [self = this->request.shared_from_this(), this, expiry,
                response = std::move(response)](core::Outcome<BodyPrefix> prefix) mutable {
                   if (!this->isInProgress())
                       return;
                   if (!prefix)
                       return this->onTransportError(prefix.error());
                   if (prefix->complete)
                       response.contentLength = prefix->text.size();
                   const auto rest = prefix->complete ? nullptr : std::move(response.body);
                   response.body = joinBody(std::move(*prefix), rest, this->gateway.clock, expiry);
                   this->win({std::move(response), "answered", ""});
               });
}

bool HedgedAttempt::isInProgress()
{
    std::lock_guard lock(this->mutex);
    return this->phase == Phase::InProgress;
}

bool HedgedAttempt::isDeferring()
{
    std::lock_guard lock(this->mutex);
    return this->deferred != nullptr;
}

// No second attempt is sent. A later attempt of the request may start one.
void HedgedAttempt::withdraw()
{
    std::function<void()> proceed;
    {
        std::lock_guard lock(this->mutex);
        if (this->phase == Phase::InProgress || this->phase == Phase::Asking)
            this->phase = Phase::Idle;
        proceed = std::move(this->deferred);
    }
    if (proceed)
        proceed();
}

// The second attempt has failed. If the first one has failed too, the request continues here.
void HedgedAttempt::end(balance::AttemptResult result, Effect effect)
{
    std::function<void()> proceed;
    {
        std::lock_guard lock(this->mutex);
        if (this->phase != Phase::InProgress)
            return;
        this->phase = Phase::Ended;
        this->endEffect = effect;
        this->exchange.reset();
        proceed = std::move(this->deferred);
    }
    this->releaseServer(result);
    this->count("hedges_lost_total");
    this->gateway.hedges->with([&](auto &policy) {
        policy.onHedgeEnd(this->plan.demand.route, false, this->gateway.clock.now());
    });
    if (!proceed)
        return;
    this->addToRequest();
    proceed();
}

void HedgedAttempt::win(ActiveRequest::Result result)
{
    std::shared_ptr<core::Exchange> primary;
    std::optional<balance::Ticket> ticket;
    {
        std::lock_guard lock(this->request.mutex);
        if (this->request.finished)
            return; // Whoever ended it stops this attempt.
        this->request.finished = true;
        primary = std::move(this->request.exchange);
        ticket = std::exchange(this->request.slotTicket, std::nullopt);
    }
    std::function<void()> dropped;
    {
        std::lock_guard lock(this->mutex);
        this->phase = Phase::Ended;
        this->exchange.reset();
        dropped = std::move(this->deferred);
    }
    const core::TimePoint now = this->gateway.clock.now();
    this->releaseServer(balance::AttemptResult::Answered);
    this->request.reportAnswered();
    this->count("hedges_won_total");
    this->gateway.hedges->with([&](auto &policy) {
        if (!dropped)
            policy.onLatency(this->plan.demand.route, now - this->plan.primarySentAt,
                             this->primaryLatencyRatio, true, now);
        policy.onHedgeEnd(this->plan.demand.route, true, now);
    });
    this->request.deliver(std::move(result));
    if (primary && !dropped)
        primary->cancel();
    if (ticket)
        this->gateway.clock.schedule(
                now + cancellationTime, [self = this->request.shared_from_this(), this, ticket] {
                    this->gateway.slotAllocator->release(*ticket, balance::AttemptResult::Cancelled,
                                                         {}, {});
                });
}

void HedgedAttempt::releaseServer(balance::AttemptResult result)
{
    const core::TimePoint now = this->gateway.clock.now();
    this->gateway.balancers.with([&](auto &all) {
        this->gateway.balancerFor(all, this->request.service)
                .onEnd(this->server.name, this->plan.demand.route, result, this->sentAt, now);
    });
    this->releaseSlot(result, now - this->sentAt);
}

void HedgedAttempt::addToRequest()
{
    Effect effect = Effect::NotReached;
    {
        std::lock_guard lock(this->mutex);
        if (this->phase != Phase::Ended || !this->sent || std::exchange(this->added, true))
            return;
        effect = this->endEffect;
    }
    this->request.sends += effect != Effect::NotReached;
    this->request.attempts += effect == Effect::MayHaveRun;
    this->request.sentTo.push_back(this->server.endpoint);
    this->request.demand.tried.push_back(this->server.name);
}

} // namespace amaranthdale::gateway
