// Sends planned requests and notes what callers learn of each.
#include "load_tool/load_run.h"

#include "amaranthdale/records/object_reader.h"
#include "common/replies.h"
#include "load_tool/response_check.h"

#include <boost/json/array.hpp>

namespace amaranthdale::tools {

namespace {

constexpr std::size_t mostBodyBytes = 64 * 1024 * 1024;
constexpr auto openLoopStep = std::chrono::milliseconds(1);
constexpr auto refusalPause = std::chrono::milliseconds(10);
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
    this->begin = this->clock.now();
    this->clock.schedule(this->begin + this->plan.length, [this] {
        this->state.with([this](State &held) {
            held.over = true;
            held.summary.length = this->clock.now() - this->begin;
        });
        this->reportIfDone();
    });
    if (this->plan.ratePerSecond > 0)
        return this->startDue();
    for (std::size_t index = 0; index < this->plan.concurrency; ++index)
        this->beginCall(this->clock.now());
}

// Starts all requests of the open loop that have fallen due, then waits for the next step.
void LoadRun::startDue()
{
    const core::TimePoint now = this->clock.now();
    const auto dueOf = [this](std::uint64_t index) {
        const std::chrono::duration<double> after(static_cast<double>(index)
                                                  / this->plan.ratePerSecond);
        return this->begin + std::chrono::duration_cast<core::Duration>(after);
    };
    std::vector<core::TimePoint> due;
    const bool over = this->state.with([&](State &held) {
        while (!held.over && dueOf(held.started) <= now)
            due.push_back(dueOf(held.started++));
        return held.over;
    });
    for (const core::TimePoint time : due)
        this->beginCall(time);
    if (!over)
        this->clock.schedule(now + openLoopStep, [this] { this->startDue(); });
}

void LoadRun::beginCall(core::TimePoint due)
{
    const auto call = std::make_shared<Call>();
    call->due = due;
    const bool begun = this->state.with([&](State &held) {
        if (held.over)
            return false;
        call->request = held.mix.next();
        call->instance = held.nextInstance++ % this->plan.instances.size();
        ++held.inFlight;
        return true;
    });
    if (!begun)
        return;
    if (call->request.idempotent)
        return this->attempt(call);
    this->giveId(call);
}

void LoadRun::giveId(const CallPointer &call)
{
    if (this->plan.ownIds) {
        call->id = core::RequestId("load-" + std::to_string(this->plan.seed) + "-"
                                   + std::to_string(call->request.number));
        return this->attempt(call);
    }
    const bool given = this->state.with([&call](State &held) {
        if (held.ids.empty()) {
            held.waitingForId.push_back(call);
            return false;
        }
        call->id = held.ids.front();
        held.ids.pop_front();
        return true;
    });
    if (given)
        this->attempt(call);
    else
        this->fetchIds();
}

void LoadRun::fetchIds()
{
    std::size_t instance = 0;
    const bool wanted = this->state.with([&](State &held) {
        const bool idle = !held.fetchingIds && !held.waitingForId.empty();
        held.fetchingIds = held.fetchingIds || idle;
        instance = held.nextInstance++ % this->plan.instances.size();
        return idle;
    });
    if (!wanted)
        return;
    const std::string target = "/-/request-id?count=" + std::to_string(this->plan.idBatch);
    this->sender.send(this->plan.instances[instance], {"GET", target, {}, {}}, this->plan.timeout,
                      [this](core::Outcome<core::HttpResponse> response) {
                          if (!response)
                              return this->onIds(response.error());
                          core::readWholeBody(response->body, mostBodyBytes,
                                              [this](auto body) { this->onIds(std::move(body)); });
                      });
}

void LoadRun::onIds(core::Outcome<std::string> body)
{
    const std::vector<core::RequestId> ids = body ? readIds(*body) : std::vector<core::RequestId>();
    std::vector<CallPointer> ready;
    std::vector<CallPointer> abandoned;
    this->state.with([&](State &held) {
        held.fetchingIds = false;
        held.ids.insert(held.ids.end(), ids.begin(), ids.end());
        while (!held.ids.empty() && !held.waitingForId.empty()) {
            held.waitingForId.front()->id = held.ids.front();
            ready.push_back(held.waitingForId.front());
            held.ids.pop_front();
            held.waitingForId.pop_front();
        }
        if (held.over)
            abandoned.assign(held.waitingForId.begin(), held.waitingForId.end());
        if (held.over)
            held.waitingForId.clear();
    });
    for (const CallPointer &call : ready)
        this->attempt(call);
    for (std::size_t index = 0; index < abandoned.size(); ++index)
        this->endCall();
    if (ids.empty())
        this->clock.schedule(this->clock.now() + idRetryDelay, [this] { this->fetchIds(); });
    else
        this->fetchIds();
}

void LoadRun::attempt(const CallPointer &call)
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
        // Unavailable says that no byte of the request was sent.
        if (response.error().kind == core::ErrorKind::Unavailable)
            event.outcome = history::CallOutcome::NotRun;
        return this->conclude(call, event);
    }
    event.status = response->status;
    event.outcome = this->plan.direct ? directOutcomeOf(*response) : outcomeOf(*response);
    if (call->id.empty())
        event.requestId = core::RequestId(
                std::string(core::findHeader(response->headers, "X-Request-Id").value_or("")));
    const core::Headers headers = response->headers;
    const auto length = response->contentLength;
    core::readWholeBody(
            response->body, mostBodyBytes,
            [this, call, event, headers, length](core::Outcome<std::string> body) mutable {
                const bool answered = event.outcome == history::CallOutcome::Answered;
                if (!body && answered)
                    event.outcome = history::CallOutcome::Unknown;
                if (body && answered && event.status == statusOk)
                    event.response =
                            checkEcho(call->request.http, call->id, headers, *body, length);
                this->conclude(call, event);
            });
}

void LoadRun::conclude(const CallPointer &call, history::CallEvent event)
{
    event.until = wallNow(this->clock);
    this->sink.write(event);
    const bool answered = event.outcome == history::CallOutcome::Answered;
    const bool resend = event.outcome == history::CallOutcome::Unknown && !call->request.idempotent
            && call->attempts <= this->plan.resends;
    const core::Duration latency = this->clock.now() - call->due;
    this->state.with([&](State &held) {
        held.summary.count(event);
        held.summary.resent += resend ? 1 : 0;
        if (answered)
            held.summary.latencies.push_back(latency);
    });
    if (resend) {
        call->instance = (call->instance + 1) % this->plan.instances.size();
        return this->attempt(call);
    }
    // A refused caller pauses, or the closed loop would only measure refusals.
    if (event.outcome == history::CallOutcome::NotRun)
        this->clock.schedule(this->clock.now() + refusalPause, [this] { this->endCall(); });
    else
        this->endCall();
}

void LoadRun::endCall()
{
    this->state.with([](State &held) { --held.inFlight; });
    if (this->plan.ratePerSecond <= 0)
        this->beginCall(this->clock.now());
    this->reportIfDone();
}

void LoadRun::reportIfDone()
{
    const bool finished = this->state.with([](State &held) {
        const bool first = held.over && held.inFlight == 0 && !held.reported;
        held.reported = held.reported || first;
        return first;
    });
    if (finished)
        this->done();
}

LoadSummary LoadRun::summary()
{
    return this->state.with([](State &held) { return held.summary; });
}

} // namespace amaranthdale::tools
