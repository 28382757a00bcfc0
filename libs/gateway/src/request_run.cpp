// The life of a request: choice of a server, repeats, refusals and the final answer.
#include "request_run.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace amaranthdale::gateway {

namespace {

constexpr unsigned badRequest = 400;
constexpr unsigned notFound = 404;
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned lateStatus = 504;

// A server answers at the deadline that it was given; its answer needs this long to arrive.
constexpr auto answerMargin = std::chrono::milliseconds(40);

// Less time than this is not worth an attempt.
constexpr auto leastAttempt = std::chrono::milliseconds(15);

// A server that has just become the owner takes its grant this long after the change is known.
constexpr auto grantDelay = std::chrono::milliseconds(25);

// A full server may reset connections; it has room again about this much later.
constexpr auto ownerRepeatDelay = std::chrono::milliseconds(30);

// Servers that are asked for a slot before a request without a key is decided on alone.
constexpr unsigned mostPicks = 2;

constexpr auto unconfiguredRetry = std::chrono::milliseconds(500);
constexpr auto stoppingRetry = std::chrono::milliseconds(50); // Another instance takes it at once.
constexpr auto ownerRetry = std::chrono::milliseconds(300);

// Statuses that promise that a request has not run; a server's own use of one promises nothing.
bool isPromise(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string formatSeconds(core::Duration duration)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", std::chrono::duration<double>(duration).count());
    return text;
}

// Gives the beginning of a body that was read already, then the rest.
class ResumedBody : public core::BodyReader
{
public:
    ResumedBody(std::string beginning, std::shared_ptr<core::BodyReader> remaining)
        : start(std::move(beginning)), rest(std::move(remaining))
    { }

    void read(std::function<void(core::Outcome<core::BodyChunk>)> handler) override
    {
        if (this->start.empty())
            return this->rest->read(std::move(handler));
        handler(core::BodyChunk{std::exchange(this->start, {}), false});
    }

private:
    std::string start;
    std::shared_ptr<core::BodyReader> rest;
};

struct BodyStart
{
    std::string text;
    bool complete = false;
};

// Reads up to `limit` bytes, or to the end of the body.
void readStart(std::shared_ptr<core::BodyReader> body, std::shared_ptr<std::string> text,
               std::size_t limit, std::function<void(core::Outcome<BodyStart>)> handler)
{
    const auto reader = body.get();
    reader->read([body = std::move(body), text = std::move(text), limit,
                  handler = std::move(handler)](core::Outcome<core::BodyChunk> chunk) mutable {
        if (!chunk)
            return handler(chunk.error());
        *text += chunk->data;
        if (chunk->last || text->size() > limit)
            return handler(BodyStart{std::move(*text), chunk->last});
        readStart(std::move(body), std::move(text), limit, std::move(handler));
    });
}

} // namespace

RequestRun::RequestRun(Gateway &owner, core::ResponseHandler responseHandler)
    : gateway(owner), respond(std::move(responseHandler))
{ }

std::shared_ptr<core::Exchange> RequestRun::begin(Gateway &owner, core::HttpRequest message,
                                                  core::ResponseHandler respond)
{
    auto run = std::make_shared<RequestRun>(owner, std::move(respond));
    ++owner.inProgress;
    run->start(std::move(message));
    return run;
}

void RequestRun::start(core::HttpRequest message)
{
    const core::TimePoint now = this->gateway.clock.now();
    this->demand.arrived = now;
    auto decoded = this->gateway.wire.readRequest(std::move(message));
    if (!decoded)
        return this->fail(badRequest, decoded.error().message);
    this->request = std::move(*decoded);
    if (this->gateway.stopping)
        return this->refuse(stoppingRetry, "stopping");
    this->table = this->gateway.routes();
    if (!this->table)
        return this->refuse(unconfiguredRetry, "no-configuration");
    this->route = this->table->find(this->request.host, this->request.path);
    if (this->route == nullptr)
        return this->fail(notFound, "no-route");
    const core::Duration patience = this->request.patience.value_or(this->gateway.limits.patience);
    this->demand.route = this->route->name;
    this->demand.kind = this->route->kind;
    this->demand.targetLatency = this->route->targetLatency;
    this->demand.priority = this->route->priority;
    this->demand.deadline = now + std::min(patience, this->route->timeout);
    this->ownerWaitEnd = now
            + std::min<core::Duration>(this->gateway.limits.ownerWait,
                                       (this->demand.deadline - now) / 2);
    this->service = this->gateway.chooseService(*this->route);
    this->gateway.balancers.with(
            [this](auto &all) { this->gateway.balancerOf(all, this->service).onRequest(); });
    const catalog::Service *configured = this->table->service(this->service);
    this->keyedService = configured != nullptr && configured->keyed;
    if (configured != nullptr && !configured->keyed)
        this->request.key.reset();
    if (this->request.key)
        this->gateway.countKey(this->service, *this->request.key);
    this->attempt();
}

core::Duration RequestRun::left() const
{
    return this->demand.deadline - this->gateway.clock.now();
}

void RequestRun::attempt()
{
    if (this->isOver())
        return;
    const core::TimePoint now = this->gateway.clock.now();
    if (this->left() < leastAttempt)
        return this->sends > 0 ? this->fail(lateStatus, "deadline")
                               : this->refuse(ownerRetry, "deadline");
    if (this->request.key) {
        const auto owner = this->gateway.ownerOf(this->service, *this->request.key);
        const bool refusedBy = this->ownerRefused && owner == this->demand.owner;
        this->demand.owner = owner;
        if (!owner || refusedBy) {
            if (now >= this->ownerWaitEnd)
                return this->refuse(ownerRetry, owner ? "owner-refused" : "no-owner");
            this->ownerRefused = false;
            return this->wait(std::min(this->ownerWaitEnd, now + 4 * grantDelay));
        }
    }
    if (this->gateway.advisor == nullptr)
        return this->decideAlone();
    if (!this->keyedService)
        return this->askAdvisor(std::nullopt);
    if (const auto server = this->demand.owner ? this->demand.owner : this->pickServer())
        return this->askAdvisor(server);
    this->decideAlone();
}

// The server of a request without a key, where the servers' slots are handed out one by one.
std::optional<core::ServerName> RequestRun::pickServer()
{
    if (++this->picks > mostPicks)
        return std::nullopt;
    return this->gateway.balancers.with([&](auto &all) {
        return this->gateway.balancerOf(all, this->service)
                .pick(this->demand, this->gateway.clock.now());
    });
}

void RequestRun::askAdvisor(const std::optional<core::ServerName> &target)
{
    const unsigned asking = ++this->number;
    const balance::Ticket ticket = this->gateway.advisor->request(
            this->service, this->demand, target,
            [self = this->shared_from_this(), asking, target](balance::Ticket answered,
                                                              auto advice) {
                self->onAdvice(asking, answered, target, std::move(advice));
            });
    bool late = false;
    {
        std::lock_guard lock(this->mutex);
        late = this->over;
        // Another thread may have the answer already and be further on.
        if (!late && this->number == asking)
            this->slot = ticket;
    }
    if (late)
        this->gateway.advisor->release(ticket, balance::AttemptResult::Cancelled, {}, {});
}

void RequestRun::onAdvice(unsigned asking, balance::Ticket ticket,
                          const std::optional<core::ServerName> &target,
                          std::optional<balance::SlotDecision> advice)
{
    bool wanted = false;
    {
        std::lock_guard lock(this->mutex);
        wanted = !this->over && this->number == asking;
        if (wanted)
            this->slot = ticket;
    }
    if (!wanted)
        return this->gateway.advisor->release(ticket, balance::AttemptResult::Cancelled, {}, {});
    if (!advice) {
        this->returnSlot(balance::AttemptResult::Cancelled, {});
        return this->decideAlone();
    }
    if (const auto *server = std::get_if<core::ServerName>(&*advice))
        return this->takeSlot(*server);
    this->returnSlot(balance::AttemptResult::Cancelled, {});
    const auto &refusal = std::get<balance::Refuse>(*advice);
    // A request without a key may find room at another server.
    if (target && !this->demand.owner && this->picks < mostPicks) {
        this->demand.tried.push_back(*target);
        return this->attempt();
    }
    this->refuse(refusal.retryAfter, refusal.reason);
}

// Sends to a server that has a slot for the request, if it may be used by what this instance knows.
void RequestRun::takeSlot(const core::ServerName &name)
{
    const auto usable = this->gateway.usableServer(this->service, name);
    if (!usable) {
        this->returnSlot(balance::AttemptResult::Cancelled, {});
        this->demand.tried.push_back(name);
        return this->decideAlone();
    }
    this->gateway.balancers.with(
            [&](auto &all) { this->gateway.balancerOf(all, this->service).onSent(name); });
    this->send(*usable);
}

void RequestRun::returnSlot(balance::AttemptResult result, core::Duration elapsed)
{
    std::optional<balance::Ticket> held;
    {
        std::lock_guard lock(this->mutex);
        held = std::exchange(this->slot, std::nullopt);
    }
    if (held)
        this->gateway.advisor->release(*held, result, elapsed, this->report);
}

void RequestRun::decideAlone()
{
    const core::TimePoint now = this->gateway.clock.now();
    const balance::BalancerDecision choice = this->gateway.balancers.with([&](auto &all) {
        return this->gateway.balancerOf(all, this->service).choose(this->demand, now);
    });
    if (const auto *chosen = std::get_if<balance::SendTo>(&choice))
        return this->send(chosen->server);
    if (const auto *later = std::get_if<balance::WaitUntil>(&choice))
        return this->wait(later->until);
    const auto &refusal = std::get<balance::Refuse>(choice);
    this->refuse(refusal.retryAfter, refusal.reason);
}

void RequestRun::wait(core::TimePoint until)
{
    // Whichever of timer and change of a table comes first goes on; the other finds a new number.
    const unsigned waiting = ++this->number;
    const auto proceed = [self = this->shared_from_this(), waiting] {
        {
            std::lock_guard lock(self->mutex);
            if (self->over || self->number != waiting)
                return;
            ++self->number;
        }
        self->attempt();
    };
    this->gateway.clock.schedule(until, proceed);
    if (this->request.key) {
        clock::Clock &timers = this->gateway.clock;
        this->gateway.addWaiter(
                [proceed, &timers] { timers.schedule(timers.now() + grantDelay, proceed); });
    }
}

void RequestRun::send(const catalog::BackendServer &target)
{
    this->server = target.name;
    this->sentAt = this->gateway.clock.now();
    this->report.reset();
    const core::Duration time = this->left();
    core::HttpRequest message = this->gateway.wire.forServer(this->request, target.name, time);
    // Repeats are decided here, where the budget that all instances share is known.
    message.repeatable = false;
    const unsigned current = ++this->number;
    auto started = this->gateway.sender.send(
            target.endpoint, std::move(message), time + answerMargin,
            [self = this->shared_from_this(), current](core::Outcome<core::HttpResponse> outcome) {
                self->onResponse(current, std::move(outcome));
            });
    std::unique_lock lock(this->mutex);
    if (this->over) {
        lock.unlock();
        started->cancel();
        return;
    }
    this->exchange = std::move(started);
}

void RequestRun::onResponse(unsigned attemptNumber, core::Outcome<core::HttpResponse> outcome)
{
    if (attemptNumber != this->number || this->isOver())
        return this->endAttempt(balance::AttemptResult::Cancelled);
    if (!outcome)
        return this->onTransportError(outcome.error());
    const ServerResponse said = this->gateway.wire.readResponse(*outcome);
    this->report = said.load;
    if (said.load) {
        this->gateway.balancers.with([&](auto &all) {
            this->gateway.balancerOf(all, this->service)
                    .onReport(this->server, *said.load, this->gateway.clock.now());
        });
    }
    switch (said.verdict) {
    case ServerVerdict::Answered:
        return this->readBody(std::move(*outcome));
    case ServerVerdict::Failed:
        return this->onServerFailure(std::move(*outcome));
    case ServerVerdict::Shed:
        ++this->sends;
        this->endAttempt(balance::AttemptResult::Shed);
        return this->repeatOrRefuse("server-full");
    case ServerVerdict::NotOwner:
        ++this->sends;
        this->endAttempt(balance::AttemptResult::Misdirected);
        this->ownerRefused = this->request.key.has_value();
        return this->repeatOrRefuse("not-owner");
    case ServerVerdict::Unreliable:
        return this->onTransportError(
                core::Error{core::ErrorKind::Protocol, "unexpected response"});
    }
}

void RequestRun::onTransportError(const core::Error &error)
{
    const bool unsent = error.kind == core::ErrorKind::Unavailable;
    const bool late = error.kind == core::ErrorKind::Timeout;
    this->endAttempt(unsent         ? balance::AttemptResult::Unreachable
                             : late ? balance::AttemptResult::TimedOut
                                    : balance::AttemptResult::Failed);
    this->demand.tried.push_back(this->lastServer);
    if (unsent) {
        // Nothing reached the server, so the request goes elsewhere at no cost.
        if (this->request.key)
            return this->refuse(ownerRetry, "owner-unreachable");
        return this->attempt();
    }
    ++this->sends;
    ++this->attempts;
    if (!late && this->mayRepeat(true))
        return this->repeatLater();
    this->fail(late ? lateStatus : badGateway, error.message);
}

void RequestRun::readBody(core::HttpResponse response)
{
    auto body = response.body;
    const unsigned current = this->number.load();
    readStart(std::move(body), std::make_shared<std::string>(), this->gateway.limits.bufferedBytes,
              [self = this->shared_from_this(), current,
               response = std::move(response)](core::Outcome<BodyStart> start) mutable {
                  if (current != self->number || self->isOver())
                      return self->endAttempt(balance::AttemptResult::Cancelled);
                  if (!start)
                      return self->onTransportError(start.error());
                  self->endAttempt(balance::AttemptResult::Answered);
                  if (start->complete) {
                      response.contentLength = start->text.size();
                      response.body = core::makeStringBody(std::move(start->text));
                  } else {
                      response.body = std::make_shared<ResumedBody>(std::move(start->text),
                                                                    std::move(response.body));
                  }
                  self->finish(std::move(response), "answered", "");
              });
}

void RequestRun::onServerFailure(core::HttpResponse response)
{
    const bool serverError = response.status >= 500;
    this->endAttempt(serverError ? balance::AttemptResult::Failed
                                 : balance::AttemptResult::Answered);
    ++this->sends;
    ++this->attempts;
    if (serverError) {
        this->demand.tried.push_back(this->lastServer);
        if (this->mayRepeat(true))
            return this->repeatLater();
    }
    if (isPromise(response.status))
        return this->fail(badGateway, "server-status-" + std::to_string(response.status));
    this->finish(std::move(response), "failed", "server-failed");
}

// The owner of a key gets a little time before it is asked again; another server needs none.
void RequestRun::repeatLater()
{
    if (!this->request.key)
        return this->attempt();
    this->wait(this->gateway.clock.now() + ownerRepeatDelay);
}

// Whether the request may go to a server again. `ran`: the last attempt may have run.
bool RequestRun::mayRepeat(bool ran)
{
    if (ran && !catalog::isRepeatable(this->demand.kind))
        return false;
    if (ran && this->attempts >= this->route->attempts)
        return false;
    return this->gateway.balancers.with([this](auto &all) {
        return this->gateway.balancerOf(all, this->service).tryTakeRetry();
    });
}

// After a refusal by a server, which did not run the request. `refuse` takes into account that an
// earlier attempt may have.
void RequestRun::repeatOrRefuse(const char *reason)
{
    if (!this->request.key)
        this->demand.tried.push_back(this->lastServer);
    const bool ownerFull = this->request.key && !this->ownerRefused;
    if (!ownerFull && this->mayRepeat(false))
        return this->attempt();
    // A server that sheds although it has a free slot does so by chance.
    const bool slotWasFree = ownerFull && this->gateway.advisor != nullptr;
    if (slotWasFree && this->left() > this->route->targetLatency / 2 && this->mayRepeat(false))
        return this->repeatLater();
    this->refuse(ownerRetry, reason);
}

void RequestRun::endAttempt(balance::AttemptResult result)
{
    if (this->server.empty())
        return;
    const core::TimePoint now = this->gateway.clock.now();
    this->gateway.balancers.with([&](auto &all) {
        this->gateway.balancerOf(all, this->service)
                .onEnd(this->server, this->demand.route, result, this->sentAt, now);
    });
    this->returnSlot(result, now - this->sentAt);
    this->lastServer = std::exchange(this->server, core::ServerName());
}

void RequestRun::refuse(core::Duration retryAfter, const std::string &reason)
{
    // An earlier attempt that may have run makes "not run" untrue.
    if (this->attempts > 0)
        return this->fail(badGateway, reason);
    core::HttpResponse response = core::makeResponse(
            unavailable, "{\"error\":\"" + reason + "\",\"outcome\":\"not-run\"}\n");
    core::setHeader(response.headers, "Retry-After", formatSeconds(retryAfter));
    this->finish(std::move(response), "refused", reason);
}

void RequestRun::fail(unsigned status, const std::string &reason)
{
    const bool notRun = status < 500;
    core::HttpResponse response = core::makeResponse(
            status, std::string("{\"outcome\":\"") + (notRun ? "not-run" : "unknown") + "\"}\n");
    this->finish(std::move(response), "failed", reason);
}

bool RequestRun::isOver()
{
    std::lock_guard lock(this->mutex);
    return this->over;
}

void RequestRun::finish(core::HttpResponse response, const char *outcome, const std::string &reason)
{
    {
        std::lock_guard lock(this->mutex);
        if (this->over)
            return;
        this->over = true;
        this->exchange.reset();
    }
    --this->gateway.inProgress;
    const core::Duration elapsed = this->gateway.clock.now() - this->demand.arrived;
    const std::string routeName = this->route == nullptr ? "" : this->route->name;
    this->gateway.stats.observe(routeName, elapsed);
    this->gateway.stats.count("requests_total", std::string("outcome=\"") + outcome + "\"");
    if (!reason.empty()) {
        this->gateway.stats.count("unanswered_total",
                                  "service=\"" + this->service.value + "\",status=\""
                                          + std::to_string(response.status) + "\"");
        this->gateway.events.write(
                log::Severity::Info, std::string("request-") + outcome,
                {{"request", this->request.id.value},
                 {"route", routeName},
                 {"service", this->service.value},
                 {"status", std::to_string(response.status)},
                 {"reason", reason},
                 {"key", this->request.key ? std::to_string(*this->request.key) : ""},
                 {"owner", this->demand.owner ? this->demand.owner->value : ""},
                 {"sends", std::to_string(this->sends)},
                 {"elapsed", formatSeconds(elapsed)},
                 {"left", this->route == nullptr ? "" : formatSeconds(this->left())},
                 {"configuration", this->table ? std::to_string(this->table->version()) : ""}});
    }
    this->respond(std::move(response));
}

void RequestRun::cancel()
{
    std::shared_ptr<core::Exchange> pending;
    {
        std::lock_guard lock(this->mutex);
        if (this->over)
            return;
        this->over = true;
        pending = std::move(this->exchange);
    }
    this->returnSlot(balance::AttemptResult::Cancelled, {});
    --this->gateway.inProgress;
    this->gateway.stats.count("requests_total", "outcome=\"cancelled\"");
    if (pending)
        pending->cancel();
}

} // namespace amaranthdale::gateway
