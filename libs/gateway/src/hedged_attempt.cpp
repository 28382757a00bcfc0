// Start and stop of the second attempt of a request.
#include "hedged_attempt.h"

#include "hedge_table.h"
#include "request_outcome.h"

#include <algorithm>

namespace amaranthdale::gateway {

using namespace detail;

HedgedAttempt::HedgedAttempt(Gateway &owner, ActiveRequest &activeRequest)
    : gateway(owner), request(activeRequest)
{
    this->gateway.hedges->with([&](auto &policy) {
        policy.onRequest(this->request.route->name, this->gateway.clock.now());
    });
}

void HedgedAttempt::onPrimarySent()
{
    const core::TimePoint now = this->gateway.clock.now();
    const double latencyRatio = this->gateway.balancers.with([&](auto &all) {
        return this->gateway.balancerFor(all, this->request.service)
                .latencyRatio(this->request.server);
    });
    const auto delay = this->gateway.hedges->with([&](auto &policy) {
        return policy.delay(this->request.demand.route, latencyRatio, now);
    });
    const bool wanted = delay && now + *delay < this->request.demand.deadline
            && this->request.sentTo.size() < this->request.route->attempts;
    unsigned timerArming = 0;
    {
        std::lock_guard lock(this->mutex);
        this->primaryLatencyRatio = latencyRatio;
        this->delayExceeded = false;
        if (!wanted || this->phase == Phase::Ended)
            return;
        this->plan = {this->request.demand, this->request.sentTo, now};
        this->plan.demand.tried.push_back(this->request.server);
        this->phase = Phase::Waiting;
        timerArming = ++this->arming;
    }
    const clock::TimerId scheduled = this->gateway.clock.schedule(
            now + *delay, [weak = this->request.weak_from_this(), this, timerArming] {
                if (const auto self = weak.lock())
                    this->onTimer(timerArming);
            });
    std::lock_guard lock(this->mutex);
    this->timer = scheduled;
}

void HedgedAttempt::onPrimaryResponse()
{
    clock::TimerId cancelled = 0;
    {
        std::lock_guard lock(this->mutex);
        if (this->phase != Phase::Waiting && this->phase != Phase::Asking)
            return;
        this->phase = Phase::Idle;
        cancelled = std::exchange(this->timer, 0);
    }
    if (cancelled != 0)
        this->gateway.clock.cancel(cancelled);
    this->releaseSlot(balance::AttemptResult::Cancelled, {});
}

void HedgedAttempt::onPrimaryAnswered(core::Duration elapsed)
{
    bool exceeded = false;
    {
        std::lock_guard lock(this->mutex);
        exceeded = this->delayExceeded;
    }
    this->gateway.hedges->with([&](auto &policy) {
        policy.onLatency(this->request.route->name, elapsed, this->primaryLatencyRatio, exceeded,
                         this->gateway.clock.now());
    });
}

bool HedgedAttempt::tryDefer(std::function<void()> &proceed)
{
    {
        std::lock_guard lock(this->mutex);
        if (this->phase == Phase::InProgress) {
            this->deferred = std::move(proceed);
            return true;
        }
    }
    this->addToRequest();
    return false;
}

void HedgedAttempt::stop(bool answered)
{
    std::shared_ptr<core::Exchange> pending;
    std::function<void()> dropped;
    clock::TimerId cancelled = 0;
    bool wasSent = false;
    {
        std::lock_guard lock(this->mutex);
        wasSent = this->phase == Phase::InProgress && this->sent;
        this->phase = Phase::Ended;
        pending = std::move(this->exchange);
        dropped = std::move(this->deferred);
        cancelled = std::exchange(this->timer, 0);
    }
    if (cancelled != 0)
        this->gateway.clock.cancel(cancelled);
    if (!wasSent) // `send` releases the server of an attempt that is just being sent.
        return this->releaseSlot(balance::AttemptResult::Cancelled, {});
    if (pending)
        pending->cancel();
    this->count("hedges_lost_total");
    const core::TimePoint now = this->gateway.clock.now();
    if (answered)
        this->gateway.hedges->with(
                [&](auto &policy) { policy.onHedgeEnd(this->request.route->name, false, now); });
    this->gateway.clock.schedule(now + cancellationTime,
                                 [self = this->request.shared_from_this(), this] {
                                     this->releaseServer(balance::AttemptResult::Cancelled);
                                 });
}

// Until a slot is granted, the first attempt isn't held up, and a retry may replace the plan.
void HedgedAttempt::onTimer(unsigned timerArming)
{
    balance::Demand demand;
    {
        std::lock_guard lock(this->mutex);
        if (this->phase != Phase::Waiting || this->arming != timerArming)
            return;
        this->phase = Phase::Asking;
        demand = this->plan.demand;
        this->timer = 0;
        this->delayExceeded = true;
    }
    const core::TimePoint now = this->gateway.clock.now();
    this->gateway.hedges->with([&](auto &policy) { policy.onDelayExceeded(demand.route, now); });
    auto pool = this->mayStart() ? this->takeToken(demand, now) : std::nullopt;
    if (!pool)
        return this->withdraw();
    this->askForSlot(std::move(demand), std::move(*pool));
}

// A key that was withdrawn, a stop and a new configuration count as for any other attempt. Under a
// new configuration the request might not be repeatable any more.
bool HedgedAttempt::mayStart() const
{
    return !this->gateway.sendingStopped && !this->gateway.stopping && !this->request.isFinished()
            && this->gateway.routes() == this->request.table && this->request.isStillAuthorised()
            && !this->request.blockedFor();
}

// Takes the token of a hedge if a server of the first attempt's pool may run it. The token isn't
// returned if the allocator refuses, so it also limits the messages to the allocator.
std::optional<balance::HedgePool> HedgedAttempt::takeToken(const balance::Demand &demand,
                                                           core::TimePoint now)
{
    if (this->gateway.slotAllocator == nullptr) {
        this->countRefusal("no-allocator");
        return std::nullopt;
    }
    auto decision = hedging::HedgeDecision::Granted;
    auto pool = this->gateway.balancers.with([&](auto &all) {
        auto &balancer = this->gateway.balancerFor(all, this->request.service);
        auto found = balancer.findHedgePool(demand, demand.tried.back(), now);
        if (found)
            decision = this->gateway.hedges->with([&](auto &policy) {
                return policy.tryTake(demand.route, this->request.service, now);
            });
        return found;
    });
    if (pool && decision == hedging::HedgeDecision::Granted)
        return pool;
    this->countRefusal(!pool                                                ? "no-server"
                               : decision == hedging::HedgeDecision::Paused ? "paused"
                                                                            : "share");
    return std::nullopt;
}

void HedgedAttempt::askForSlot(balance::Demand demand, balance::HedgePool pool)
{
    demand.tried = std::move(pool.excluded);
    demand.hedgePool = std::move(pool.dataCentre);
    unsigned ask = 0;
    {
        std::lock_guard lock(this->mutex);
        ask = ++this->asks;
    }
    const balance::Ticket requested = this->gateway.slotAllocator->request(
            this->request.service, demand, std::nullopt,
            [self = this->request.shared_from_this(), this, ask](balance::Ticket decided,
                                                                 auto decision) {
                this->onSlotDecision(ask, decided, std::move(decision));
            });
    {
        std::lock_guard lock(this->mutex);
        // The decision may have arrived on another thread.
        if (this->lastDecided >= ask)
            return;
        if (this->phase == Phase::Asking && this->asks == ask) {
            this->slotTicket = requested;
            return;
        }
    }
    this->gateway.slotAllocator->release(requested, balance::AttemptResult::Cancelled, {}, {});
}

void HedgedAttempt::onSlotDecision(unsigned ask, balance::Ticket decided,
                                   std::optional<balance::SlotDecision> decision)
{
    bool isCurrent = false;
    {
        std::lock_guard lock(this->mutex);
        this->lastDecided = std::max(this->lastDecided, ask);
        isCurrent = this->phase == Phase::Asking && this->asks == ask;
        if (isCurrent) {
            this->slotTicket = decided;
            this->phase = Phase::InProgress;
        }
    }
    if (!isCurrent)
        return this->gateway.slotAllocator->release(decided, balance::AttemptResult::Cancelled, {},
                                                    {});
    const core::TimePoint now = this->gateway.clock.now();
    if (const auto *name = decision ? std::get_if<core::ServerName>(&*decision) : nullptr) {
        if (const auto target = this->mayStart() ? this->acquireServer(*name, now) : std::nullopt)
            return this->send(*target, now);
        this->countRefusal("unusable");
    } else if (!decision) {
        this->countRefusal("no-allocator");
    } else {
        const std::string &reason = std::get<balance::Refuse>(*decision).reason;
        if (reason == hedgeNoFreeSlot)
            this->request.reportShortage();
        this->countRefusal(reason == hedgeNoFreeSlot || reason == hedgeBudgetUsed
                                           || reason == hedgeNotAssigned
                                   ? std::string_view(reason)
                                   : "other");
    }
    this->releaseSlot(balance::AttemptResult::Cancelled, {});
    this->withdraw();
}

// The server that granted a slot, if this instance considers it usable too.
std::optional<catalog::BackendServer> HedgedAttempt::acquireServer(const core::ServerName &name,
                                                                   core::TimePoint now)
{
    auto usable = this->gateway.usableServer(this->request.service, name, false);
    const auto &used = this->plan.usedEndpoints;
    if (!usable || std::find(used.begin(), used.end(), usable->endpoint) != used.end())
        return std::nullopt;
    const bool accepted = this->gateway.balancers.with([&](auto &all) {
        auto &balancer = this->gateway.balancerFor(all, this->request.service);
        if (!balancer.acceptsHedge(name, this->plan.demand, now))
            return false;
        balancer.onSent(name);
        return true;
    });
    return accepted ? usable : std::nullopt;
}

void HedgedAttempt::send(const catalog::BackendServer &target, core::TimePoint now)
{
    bool stopped = false;
    {
        std::lock_guard lock(this->mutex);
        this->server = target;
        this->sentAt = now;
        stopped = this->phase != Phase::InProgress;
        this->sent = !stopped;
    }
    if (stopped)
        return this->releaseServer(balance::AttemptResult::Cancelled);
    this->count("hedges_sent_total");
    const core::Duration time = this->plan.demand.deadline - now;
    core::HttpRequest message =
            this->gateway.wireFormat.encodeForServer(this->request.request, target.name, time);
    message.resendable = false;
    auto started =
            this->gateway.sender.send(target.endpoint, std::move(message), time + responseMargin,
                                      [self = this->request.shared_from_this(),
                                       this](core::Outcome<core::HttpResponse> outcome) {
                                          this->onResponse(std::move(outcome));
                                      });
    {
        std::lock_guard lock(this->mutex);
        if (this->phase == Phase::InProgress) {
            this->exchange = std::move(started);
            return;
        }
    }
    // The request may have ended, or this attempt been answered, on another thread.
    if (this->request.isFinished())
        started->cancel();
}

void HedgedAttempt::releaseSlot(balance::AttemptResult result, core::Duration elapsed)
{
    std::optional<balance::Ticket> released;
    std::optional<balance::LoadReport> report;
    {
        std::lock_guard lock(this->mutex);
        released = std::exchange(this->slotTicket, std::nullopt);
        report = this->loadReport;
    }
    if (released)
        this->gateway.slotAllocator->release(*released, result, elapsed, report);
}

// `reason` is a constant, so that the number of series is bounded.
void HedgedAttempt::countRefusal(std::string_view reason) const
{
    this->gateway.stats.count("hedges_refused_total",
                              "route=\"" + Statistics::escapeLabelValue(this->request.route->name)
                                      + "\",reason=\"" + std::string(reason) + '"');
}

void HedgedAttempt::count(const char *name) const
{
    this->gateway.stats.count(
            name, "route=\"" + Statistics::escapeLabelValue(this->request.route->name) + '"');
}

// Hedging of a service pauses while its requests are refused or have to wait.
void ActiveRequest::reportShortage()
{
    if (this->gateway.hedges)
        this->gateway.hedges->with([this](auto &policy) {
            policy.onShortage(this->service, this->gateway.clock.now());
        });
}

void ActiveRequest::startHedging()
{
    // Each server of a keyed service has a slot pool of its own, which keeps no budget for hedges.
    if (!this->gateway.hedges || this->keyedService || this->route->attempts < 2
        || !catalog::isIdempotent(this->demand.kind))
        return;
    auto created = std::make_unique<HedgedAttempt>(this->gateway, *this);
    std::lock_guard lock(this->mutex);
    this->hedge = std::move(created);
}

void ActiveRequest::stopHedge(bool answered)
{
    HedgedAttempt *stopped = nullptr;
    {
        std::lock_guard lock(this->mutex);
        stopped = this->hedge.get();
    }
    if (stopped != nullptr)
        stopped->stop(answered);
}

// Calls `proceed` at once, or when the second attempt in progress has failed.
void ActiveRequest::continueAfterHedge(std::function<void()> proceed)
{
    if (!this->hedge || !this->hedge->tryDefer(proceed))
        proceed();
}

} // namespace amaranthdale::gateway
