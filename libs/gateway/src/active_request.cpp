// Processing of a request: server selection, attempts and retries.
#include "active_request.h"

#include "body_prefix.h"
#include "hedged_attempt.h"
#include "request_outcome.h"

#include <algorithm>
#include <cmath>

namespace amaranthdale::gateway {

using namespace detail;

namespace {

// An attempt that the sender hasn't ended this long after the deadline is ended here.
constexpr auto overdueMargin = std::chrono::milliseconds(100);

// No attempt is started with less time left than this.
constexpr auto minAttemptTime = std::chrono::milliseconds(15);

// Time that a new owner needs to receive its grant after the change of ownership is known here.
constexpr auto grantDelay = std::chrono::milliseconds(25);

// Delay before a request is sent to the owner again. A full server may reset connections; it has a
// free slot again after about this time.
constexpr auto ownerRetryDelay = std::chrono::milliseconds(30);

} // namespace

ActiveRequest::ActiveRequest(Gateway &owner, core::ResponseHandler responseHandler)
    : gateway(owner), number(++owner.lastRequestNumber), respond(std::move(responseHandler))
{ }

ActiveRequest::~ActiveRequest() = default;

std::shared_ptr<core::Exchange> ActiveRequest::begin(Gateway &owner, core::HttpRequest message,
                                                     core::ResponseHandler respond)
{
    auto active = std::make_shared<ActiveRequest>(owner, std::move(respond));
    owner.activeRequests.with([&active](auto &all) { all.emplace(active->number, active); });
    active->start(std::move(message));
    return active;
}

void ActiveRequest::scheduleDeadline(core::TimePoint time, void (ActiveRequest::*onExpiry)())
{
    this->gateway.clock.schedule(time, [weak = this->weak_from_this(), onExpiry] {
        if (const auto self = weak.lock())
            (self.get()->*onExpiry)();
    });
}

// Slot allocators and table changes are expected to decide a request long before its deadline. This
// doesn't rely on them. An attempt in progress is ended by the sender's own timeout.
void ActiveRequest::onDeadline()
{
    if (this->tryFinish(true)) {
        this->releaseSlot(balance::AttemptResult::Cancelled, {});
        return this->deliver(this->sends > 0 ? makeFailure(gatewayTimeoutStatus, "deadline")
                                             : this->makeRefusal(ownerRetryAfter, "deadline"));
    }
    if (!this->isFinished())
        this->scheduleDeadline(this->demand.deadline + overdueMargin, &ActiveRequest::onOverdue);
}

void ActiveRequest::onOverdue()
{
    this->abort([this] { this->deliver(makeFailure(gatewayTimeoutStatus, "deadline")); });
}

core::Duration ActiveRequest::timeLeft() const
{
    return this->demand.deadline - this->gateway.clock.now();
}

void ActiveRequest::startAttempt()
{
    if (this->isFinished())
        return;
    if (this->gateway.sendingStopped)
        return this->refuse(stoppingRetryAfter, "stopping");
    if (const auto blocked = this->blockedFor())
        return this->refuseBlocked(*blocked);
    const core::TimePoint now = this->gateway.clock.now();
    if (this->timeLeft() < minAttemptTime)
        return this->sends > 0 ? this->fail(gatewayTimeoutStatus, "deadline")
                               : this->refuse(ownerRetryAfter, "deadline");
    if (this->request.key) {
        const auto owner = this->gateway.findOwner(this->service, *this->request.key);
        const bool refusedByOwner = this->ownerRefused && owner == this->demand.owner;
        this->demand.owner = owner;
        if (!owner || refusedByOwner) {
            if (now >= this->ownerWaitEnd)
                return this->refuse(ownerRetryAfter, owner ? "owner-refused" : "no-owner");
            this->ownerRefused = false;
            return this->wait(std::min(this->ownerWaitEnd, now + 4 * grantDelay));
        }
        this->endStartupWait();
    }
    if (this->gateway.slotAllocator == nullptr || this->isOwnerPaused())
        return this->chooseLocally();
    if (!this->keyedService)
        return this->requestSlot(std::nullopt);
    if (const auto target = this->demand.owner ? this->demand.owner : this->pickServer())
        return this->requestSlot(target);
    this->chooseLocally();
}

void ActiveRequest::chooseLocally()
{
    const core::TimePoint now = this->gateway.clock.now();
    const balance::BalancerDecision choice = this->gateway.balancers.with([&](auto &all) {
        return this->gateway.balancerFor(all, this->service).choose(this->demand, now);
    });
    if (const auto *chosen = std::get_if<balance::SendTo>(&choice))
        return this->send(chosen->server);
    if (const auto *later = std::get_if<balance::WaitUntil>(&choice))
        return this->wait(later->until);
    const auto &refusal = std::get<balance::Refuse>(choice);
    this->reportShortage();
    this->refuse(refusal.retryAfter, refusal.reason);
}

void ActiveRequest::wait(core::TimePoint until)
{
    // Either the timer or a table change continues the request; the later one sees a new generation
    // and does nothing.
    this->beginWaiting();
    const unsigned waitGeneration = ++this->generation;
    const auto proceed = [self = this->shared_from_this(), waitGeneration] {
        {
            std::lock_guard lock(self->mutex);
            if (self->finished || self->generation != waitGeneration)
                return;
            ++self->generation;
        }
        self->gateway.removeWaiter(self->number);
        self->startAttempt();
    };
    this->gateway.clock.schedule(until, proceed);
    if (!this->request.key)
        return;
    clock::Clock &timers = this->gateway.clock;
    this->gateway.addWaiter(this->number, [proceed, &timers] {
        timers.schedule(timers.now() + grantDelay, proceed);
    });
    // The request may have ended on another thread before the waiter was added.
    if (this->isFinished())
        this->gateway.removeWaiter(this->number);
}

void ActiveRequest::send(const catalog::BackendServer &target)
{
    this->server = target.name;
    this->serverIncarnation = target.incarnation;
    this->sentAt = this->gateway.clock.now();
    bool alreadyFinished = false;
    {
        std::lock_guard lock(this->mutex);
        alreadyFinished = this->finished;
        this->waiting = false;
    }
    if (alreadyFinished)
        return this->endAttempt(balance::AttemptResult::Cancelled);
    if (!this->isStillAuthorised())
        return this->endUnauthorised();
    if (const auto blocked = this->blockedFor()) {
        this->endAttempt(balance::AttemptResult::Cancelled);
        return this->refuseBlocked(*blocked);
    }
    if (!this->useQuota(target))
        return;
    this->loadReport.reset();
    this->reportSend(target);
    const core::Duration time = this->timeLeft();
    core::HttpRequest message =
            this->gateway.wireFormat.encodeForServer(this->request, target.name, time);
    // The sender must not retry: only the gateway knows the retry budget that all instances share.
    message.resendable = false;
    // A late copy of the response to an earlier attempt bears the id of this request too.
    message.newConnection = std::find(this->sentTo.begin(), this->sentTo.end(), target.endpoint)
            != this->sentTo.end();
    this->sentTo.push_back(target.endpoint);
    const unsigned attemptGeneration = ++this->generation;
    if (this->hedge)
        this->hedge->onPrimarySent();
    auto started =
            this->gateway.sender.send(target.endpoint, std::move(message), time + responseMargin,
                                      [self = this->shared_from_this(), attemptGeneration](
                                              core::Outcome<core::HttpResponse> outcome) {
                                          self->onResponse(attemptGeneration, std::move(outcome));
                                      });
    std::unique_lock lock(this->mutex);
    if (this->finished) {
        lock.unlock();
        started->cancel();
        return;
    }
    this->exchange = std::move(started);
    this->exchangeTarget = {target.name, target.incarnation, this->demand.owner.has_value()};
    lock.unlock();
    // The server may have left before the exchange was known here.
    this->withdrawIfUnusable();
}

// An attempt may wait in the sender, which doesn't know whether its server is still in use.
void ActiveRequest::withdrawIfUnusable()
{
    ExchangeTarget target;
    {
        std::lock_guard lock(this->mutex);
        if (this->finished || this->exchange == nullptr)
            return;
        target = this->exchangeTarget;
    }
    const bool usable = this->gateway.withDirectory([&](const catalog::Directory &servers) {
        return target.ownsKey
                ? this->gateway.mayServeKeys(servers, target.server, target.incarnation)
                : servers.isUsable(target.server, target.incarnation);
    });
    if (!usable)
        this->withdraw();
}

void ActiveRequest::withdraw()
{
    std::shared_ptr<core::Exchange> pending;
    {
        std::lock_guard lock(this->mutex);
        pending = this->exchange;
    }
    if (pending)
        pending->withdraw();
}

void ActiveRequest::onResponse(unsigned attemptGeneration,
                               core::Outcome<core::HttpResponse> outcome)
{
    if (attemptGeneration != this->generation || this->isFinished())
        return this->endAttempt(balance::AttemptResult::Cancelled);
    if (this->hedge)
        this->hedge->onPrimaryResponse();
    if (!outcome)
        return this->onTransportError(outcome.error());
    const ServerResponse parsed = this->gateway.wireFormat.classifyResponse(*outcome);
    this->loadReport = parsed.load;
    this->reportResponse(*outcome, parsed);
    this->applyServerState(parsed, this->server, this->serverIncarnation);
    switch (parsed.responseClass) {
    case ResponseClass::Answered:
        return this->readBody(std::move(*outcome));
    case ResponseClass::Failed:
        return this->onServerFailure(std::move(*outcome));
    case ResponseClass::Shed:
        ++this->sends;
        this->endAttempt(balance::AttemptResult::Shed);
        this->reportShortage();
        return this->continueAfterHedge(
                [self = this->shared_from_this()] { self->retryOrRefuse("server-full"); });
    case ResponseClass::NotOwner:
        ++this->sends;
        this->endAttempt(balance::AttemptResult::Misdirected);
        this->ownerRefused = this->request.key.has_value();
        return this->continueAfterHedge(
                [self = this->shared_from_this()] { self->retryOrRefuse("not-owner"); });
    case ResponseClass::Invalid:
        return this->onTransportError(
                core::Error{core::ErrorKind::Protocol, "invalid response from the backend server"});
    }
}

// Applies what a response says about the server itself.
void ActiveRequest::applyServerState(const ServerResponse &parsed, const core::ServerName &from,
                                     std::uint64_t incarnation)
{
    const core::TimePoint now = this->gateway.clock.now();
    if (parsed.load || parsed.pause) {
        this->gateway.balancers.with([&](auto &all) {
            balance::ServiceBalancer &balancer = this->gateway.balancerFor(all, this->service);
            if (parsed.load)
                balancer.onReport(from, *parsed.load, now);
            if (parsed.pause)
                balancer.pause(from, incarnation, *parsed.pause, now);
        });
    }
    if (parsed.pause)
        this->gateway.events.write(log::Severity::Info, "server-paused",
                                   {{"request", this->request.id.value},
                                    {"server", from.value},
                                    {"seconds", formatSeconds(*parsed.pause)}});
    if (parsed.serverLeaving)
        this->gateway.markLeaving(from, incarnation);
}

void ActiveRequest::onTransportError(const core::Error &error)
{
    const bool notSent = error.kind == core::ErrorKind::Unavailable;
    const bool timedOut = error.kind == core::ErrorKind::Timeout;
    this->endAttempt(notSent            ? balance::AttemptResult::Unreachable
                             : timedOut ? balance::AttemptResult::TimedOut
                                        : balance::AttemptResult::Failed);
    this->demand.tried.push_back(this->lastServer);
    if (error.kind == core::ErrorKind::ConnectionLost)
        this->reportLost(this->lastServer, this->serverIncarnation);
    if (notSent)
        return this->continueAfterHedge(
                [self = this->shared_from_this()] { self->continueUnsent(); });
    ++this->sends;
    ++this->attempts;
    this->continueAfterHedge([self = this->shared_from_this(), timedOut, message = error.message] {
        if (!timedOut && self->tryTakeRetry(true))
            return self->retryLater();
        self->fail(timedOut ? gatewayTimeoutStatus : badGateway, message);
    });
}

void ActiveRequest::readBody(core::HttpResponse response)
{
    auto body = response.body;
    const unsigned attemptGeneration = this->generation.load();
    const core::TimePoint bodyDeadline = this->demand.deadline + responseMargin;
    readPrefix(std::move(body), this->gateway.limits.maxBufferedBytes, this->gateway.buffers,
               [self = this->shared_from_this(), attemptGeneration, bodyDeadline,
                response = std::move(response)](core::Outcome<BodyPrefix> prefix) mutable {
                   if (attemptGeneration != self->generation || self->isFinished())
                       return self->endAttempt(balance::AttemptResult::Cancelled);
                   if (!prefix)
                       return self->onBodyError(prefix.error());
                   self->endAttempt(balance::AttemptResult::Answered);
                   self->reportAnswered();
                   if (prefix->complete)
                       response.contentLength = prefix->text.size();
                   const auto rest = prefix->complete ? nullptr : std::move(response.body);
                   response.body = joinBody(std::move(*prefix), rest, self->gateway.clock,
                                            bodyDeadline + maxStreamOverrun);
                   self->finish({std::move(response), "answered", ""});
               });
    if (attemptGeneration == this->generation && !this->isFinished())
        this->scheduleBodyDeadline(attemptGeneration, bodyDeadline);
}

// The sender's timeout covers the header, then each read of the body. A server that sends the body
// slowly or without end would otherwise keep the caller waiting past its deadline.
void ActiveRequest::scheduleBodyDeadline(unsigned attemptGeneration, core::TimePoint bodyDeadline)
{
    this->gateway.clock.schedule(bodyDeadline, [weak = this->weak_from_this(), attemptGeneration] {
        const auto self = weak.lock();
        if (!self || self->generation != attemptGeneration)
            return;
        std::shared_ptr<core::Exchange> pending;
        {
            std::lock_guard lock(self->mutex);
            if (!self->finished)
                pending = self->exchange;
        }
        if (pending)
            pending->cancel();
    });
}

void ActiveRequest::onBodyError(const core::Error &error)
{
    // The expiry of the deadline cancels the body, which fails as a lost connection.
    if (this->gateway.clock.now() >= this->demand.deadline + responseMargin)
        return this->onTransportError(core::Error{core::ErrorKind::Timeout,
                                                  "the response was incomplete at the deadline"});
    this->onTransportError(error);
}

void ActiveRequest::onServerFailure(core::HttpResponse response)
{
    const bool serverError = response.status >= 500;
    this->endAttempt(serverError ? balance::AttemptResult::Failed
                                 : balance::AttemptResult::Answered);
    this->reportAnswered();
    ++this->sends;
    ++this->attempts;
    if (serverError)
        this->demand.tried.push_back(this->lastServer);
    if (!serverError && !impliesNotRun(response.status))
        return this->retryOrForward(std::move(response));
    this->continueAfterHedge([self = this->shared_from_this(), response = std::move(response)] {
        self->retryOrForward(response);
    });
}

void ActiveRequest::retryOrForward(core::HttpResponse response)
{
    if (response.status >= 500 && this->tryTakeRetry(true))
        return this->retryLater();
    if (impliesNotRun(response.status))
        return this->fail(badGateway, "server-status-" + std::to_string(response.status));
    response.body = joinBody({}, std::move(response.body), this->gateway.clock,
                             this->demand.deadline + responseMargin + maxStreamOverrun);
    this->finish({std::move(response), "failed", "server-failed"});
}

// Retries at the owner of a key are delayed; retries at another server start immediately.
void ActiveRequest::retryLater()
{
    if (!this->request.key)
        return this->startAttempt();
    this->wait(this->gateway.clock.now() + ownerRetryDelay);
}

// Takes a retry from the budget if the request may be retried. `mayHaveRun`: the last attempt may
// have run the request.
bool ActiveRequest::tryTakeRetry(bool mayHaveRun)
{
    if (mayHaveRun && !catalog::isIdempotent(this->demand.kind))
        return false;
    if (mayHaveRun && this->attempts >= this->route->attempts)
        return false;
    return this->gateway.balancers.with([this](auto &all) {
        return this->gateway.balancerFor(all, this->service).tryTakeRetry();
    });
}

// Called when a server refused the request without running it. An earlier attempt may have run it;
// `refuse` takes that into account.
void ActiveRequest::retryOrRefuse(const char *reason)
{
    this->reclaimQuota();
    if (!this->request.key)
        this->demand.tried.push_back(this->lastServer);
    const bool ownerFull = this->request.key && !this->ownerRefused;
    if (!ownerFull && this->tryTakeRetry(false))
        return this->startAttempt();
    // With an allocator, the owner had a free slot when it shed the request, so it shed at random
    // and may accept a retry.
    const bool slotWasFree = ownerFull && this->gateway.slotAllocator != nullptr;
    if (slotWasFree && this->timeLeft() > this->route->targetLatency / 2
        && this->tryTakeRetry(false))
        return this->retryLater();
    this->refuse(ownerRetryAfter, reason);
}

void ActiveRequest::endAttempt(balance::AttemptResult result)
{
    if (this->server.empty())
        return;
    const core::TimePoint now = this->gateway.clock.now();
    this->gateway.balancers.with([&](auto &all) {
        this->gateway.balancerFor(all, this->service)
                .onEnd(this->server, this->demand.route, result, this->sentAt, now);
    });
    if (this->hedge && result == balance::AttemptResult::Answered)
        this->hedge->onPrimaryAnswered(now - this->sentAt);
    this->releaseSlot(result, now - this->sentAt);
    this->lastServer = std::exchange(this->server, core::ServerName());
}

bool ActiveRequest::isFinished()
{
    std::lock_guard lock(this->mutex);
    return this->finished;
}

} // namespace amaranthdale::gateway
