// Sends the requests of a load plan and records the outcome of each attempt.
#include "load_tool/load_run.h"

#include "amaranthdale/records/object_reader.h"
#include "common/replies.h"
#include "load_tool/response_check.h"

#include <boost/json/array.hpp>

namespace amaranthdale::tools {

namespace {

constexpr std::size_t maxBodyBytes = 64 * 1024 * 1024;
constexpr auto openLoopInterval = std::chrono::milliseconds(1);
constexpr auto refusalBackoff = std::chrono::milliseconds(10);
constexpr auto idRetryDelay = std::chrono::milliseconds(100);

history::WallTime wallNow(const clock::Clock &clock)
{
    return std::chrono::time_point_cast<std::chrono::microseconds>(clock.wallNow());
}

std::vector<core::RequestId> readIds(const std::string &body)
{
    std::vector<core::RequestId> ids;
    records::Faults faults;
    const auto value = records::parseJson(body, faults);
    const auto *object = value ? value->if_object() : nullptr;
    const auto *list =
            object && object->if_contains("ids") ? object->at("ids").if_array() : nullptr;
    for (std::size_t index = 0; list && index < list->size(); ++index) {
        if (const auto *text = list->at(index).if_string())
            ids.emplace_back(std::string(text->data(), text->size()));
    }
    return ids;
}

} // namespace

LoadRun::LoadRun(const LoadPlan &loadPlan, core::HttpSender &httpSender, clock::Clock &timeSource,
                 history::EventSink &events)
    : plan(loadPlan), sender(httpSender), clock(timeSource), sink(events),
      state(tables::LockRank::Requests, loadPlan)
{ }

void LoadRun::start(std::function<void()> whenDone)
{
    this->done = std::move(whenDone);
    this->startTime = this->clock.now();
    this->clock.schedule(this->startTime + this->plan.duration, [this] {
        this->state.with([this](State &shared) {
            shared.timeUp = true;
            shared.summary.duration = this->clock.now() - this->startTime;
        });
        this->reportIfDone();
    });
    if (this->plan.ratePerSecond > 0)
        return this->startDueCalls();
    for (std::size_t index = 0; index < this->plan.concurrency; ++index)
        this->startCall(this->clock.now());
}

// Open loop: starts all calls that are due and schedules the next check.
void LoadRun::startDueCalls()
{
    const core::TimePoint now = this->clock.now();
    const auto dueTime = [this](std::uint64_t index) {
        const std::chrono::duration<double> offset(static_cast<double>(index)
                                                   / this->plan.ratePerSecond);
        return this->startTime + std::chrono::duration_cast<core::Duration>(offset);
    };
    std::vector<core::TimePoint> due;
    const bool timeUp = this->state.with([&](State &shared) {
        while (!shared.timeUp && dueTime(shared.startedCalls) <= now)
            due.push_back(dueTime(shared.startedCalls++));
        return shared.timeUp;
    });
    for (const core::TimePoint time : due)
        this->startCall(time);
    if (!timeUp)
        this->clock.schedule(now + openLoopInterval, [this] { this->startDueCalls(); });
}

void LoadRun::startCall(core::TimePoint due)
{
    const auto call = std::make_shared<Call>();
    call->due = due;
    const bool started = this->state.with([&](State &shared) {
        if (shared.timeUp)
            return false;
        call->request = shared.generator.next();
        call->instance = shared.nextInstance++ % this->plan.instances.size();
        ++shared.inFlight;
        return true;
    });
    if (!started)
        return;
    if (call->request.idempotent)
        return this->sendAttempt(call);
    this->assignId(call);
}

void LoadRun::assignId(const CallPointer &call)
{
    if (this->plan.ownIds) {
        call->id = core::RequestId("load-" + std::to_string(this->plan.seed) + "-"
                                   + std::to_string(call->request.number));
        return this->sendAttempt(call);
    }
    const bool assigned = this->state.with([&call](State &shared) {
        if (shared.ids.empty()) {
            shared.waitingForId.push_back(call);
            return false;
        }
        call->id = shared.ids.front();
        shared.ids.pop_front();
        return true;
    });
    if (assigned)
        this->sendAttempt(call);
    else
        this->fetchIds();
}

void LoadRun::fetchIds()
{
    std::size_t instance = 0;
    const bool shouldFetch = this->state.with([&](State &shared) {
        const bool idle = !shared.fetchingIds && !shared.waitingForId.empty();
        shared.fetchingIds = shared.fetchingIds || idle;
        instance = shared.nextInstance++ % this->plan.instances.size();
        return idle;
    });
    if (!shouldFetch)
        return;
    const std::string target = "/-/request-id?count=" + std::to_string(this->plan.idBatch);
    this->sender.send(this->plan.instances[instance], {"GET", target, {}, {}}, this->plan.timeout,
                      [this](core::Outcome<core::HttpResponse> response) {
                          if (!response)
                              return this->onIdsFetched(response.error());
                          core::readWholeBody(response->body, maxBodyBytes, [this](auto body) {
                              this->onIdsFetched(std::move(body));
                          });
                      });
}

void LoadRun::onIdsFetched(core::Outcome<std::string> body)
{
    const std::vector<core::RequestId> ids = body ? readIds(*body) : std::vector<core::RequestId>();
    std::vector<CallPointer> ready;
    std::vector<CallPointer> abandoned;
    this->state.with([&](State &shared) {
        shared.fetchingIds = false;
        shared.ids.insert(shared.ids.end(), ids.begin(), ids.end());
        while (!shared.ids.empty() && !shared.waitingForId.empty()) {
            shared.waitingForId.front()->id = shared.ids.front();
            ready.push_back(shared.waitingForId.front());
            shared.ids.pop_front();
            shared.waitingForId.pop_front();
        }
        if (shared.timeUp)
            abandoned.assign(shared.waitingForId.begin(), shared.waitingForId.end());
        if (shared.timeUp)
            shared.waitingForId.clear();
    });
    for (const CallPointer &call : ready)
        this->sendAttempt(call);
    for (std::size_t index = 0; index < abandoned.size(); ++index)
        this->finishCall();
    if (ids.empty())
        this->clock.schedule(this->clock.now() + idRetryDelay, [this] { this->fetchIds(); });
    else
        this->fetchIds();
}

void LoadRun::sendAttempt(const CallPointer &call)
{
    ++call->attempts;
    call->sentAt = wallNow(this->clock);
    core::HttpRequest request = call->request.http;
    if (!call->id.empty())
        core::setHeader(request.headers, "Idempotency-Key", call->id.value);
    const auto timeoutMs =
            std::chrono::duration_cast<std::chrono::milliseconds>(this->plan.timeout);
    core::setHeader(request.headers, "X-Timeout-Ms", std::to_string(timeoutMs.count()));
    this->sender.send(this->plan.instances[call->instance], std::move(request), this->plan.timeout,
                      [this, call](core::Outcome<core::HttpResponse> response) {
                          this->onResponse(call, std::move(response));
                      });
}

void LoadRun::onResponse(const CallPointer &call, core::Outcome<core::HttpResponse> response)
{
    history::CallEvent event;
    event.at = call->sentAt;
    event.requestId = call->id;
    event.service = this->plan.service;
    event.method = call->request.http.method;
    event.idempotent = call->request.idempotent;
    if (!response) {
        // Unavailable means that no byte of the request was sent.
        if (response.error().kind == core::ErrorKind::Unavailable)
            event.outcome = history::CallOutcome::NotRun;
        return this->finishAttempt(call, event);
    }
    event.status = response->status;
    event.outcome = this->plan.direct ? directCallOutcome(*response) : callOutcome(*response);
    if (call->id.empty())
        event.requestId = core::RequestId(
                std::string(core::findHeader(response->headers, "X-Request-Id").value_or("")));
    const core::Headers headers = response->headers;
    const auto length = response->contentLength;
    core::readWholeBody(
            response->body, maxBodyBytes,
            [this, call, event, headers, length](core::Outcome<std::string> body) mutable {
                const bool answered = event.outcome == history::CallOutcome::Answered;
                if (!body && answered)
                    event.outcome = history::CallOutcome::Unknown;
                if (body && answered && event.status == statusOk)
                    event.response =
                            checkEcho(call->request.http, call->id, headers, *body, length);
                this->finishAttempt(call, event);
            });
}

void LoadRun::finishAttempt(const CallPointer &call, history::CallEvent event)
{
    event.until = wallNow(this->clock);
    this->sink.write(event);
    const bool answered = event.outcome == history::CallOutcome::Answered;
    const bool resend = event.outcome == history::CallOutcome::Unknown && !call->request.idempotent
            && call->attempts <= this->plan.resends;
    const core::Duration latency = this->clock.now() - call->due;
    this->state.with([&](State &shared) {
        shared.summary.count(event);
        shared.summary.resent += resend ? 1 : 0;
        if (answered)
            shared.summary.latencies.push_back(latency);
    });
    if (resend) {
        call->instance = (call->instance + 1) % this->plan.instances.size();
        return this->sendAttempt(call);
    }
    // Backs off after a refusal; otherwise the closed loop would measure only refusals.
    if (event.outcome == history::CallOutcome::NotRun)
        this->clock.schedule(this->clock.now() + refusalBackoff, [this] { this->finishCall(); });
    else
        this->finishCall();
}

void LoadRun::finishCall()
{
    this->state.with([](State &shared) { --shared.inFlight; });
    if (this->plan.ratePerSecond <= 0)
        this->startCall(this->clock.now());
    this->reportIfDone();
}

void LoadRun::reportIfDone()
{
    const bool finished = this->state.with([](State &shared) {
        const bool first = shared.timeUp && shared.inFlight == 0 && !shared.reported;
        shared.reported = shared.reported || first;
        return first;
    });
    if (finished)
        this->done();
}

LoadSummary LoadRun::summary()
{
    return this->state.with([](State &shared) { return shared.summary; });
}

} // namespace amaranthdale::tools
