// Backend server stand-in: administrative resources under /-/ and /control.
#include "backend_standin/backend_handler.h"

#include "common/replies.h"

#include <random>

namespace amaranthdale::tools {

namespace {

core::Incarnation generateIncarnation()
{
    std::random_device device;
    return core::Incarnation((std::uint64_t(device()) << 32 | device()) >> 11);
}

std::uint64_t milliseconds(core::TimePoint time)
{
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

} // namespace

BackendHandler::BackendHandler(BackendSettings backend, clock::Clock &timeSource,
                               history::EventSink &events, std::function<void()> onCrash)
    : settings(std::move(backend)), clock(timeSource), sink(events), crash(std::move(onCrash)),
      state(tables::LockRank::BackendServers, this->settings, generateIncarnation(),
            timeSource.now())
{
    const auto incarnation =
            this->state.with([](BackendState &shared) { return shared.incarnation; });
    this->sink.write(history::StartEvent{this->wallNow(), this->settings.name, incarnation});
}

std::shared_ptr<core::Exchange> BackendHandler::handle(core::HttpRequest request,
                                                       core::ResponseHandler respond)
{
    const HttpTarget target = parseTarget(request.target);
    const bool isAdminRequest = !target.segments.empty()
            && (target.segments.front() == "-" || target.segments.front() == "control");
    if (isAdminRequest)
        respond(this->handleAdminRequest(request, target));
    else
        this->runRequest(request, respond);
    return nullptr;
}

core::HttpResponse BackendHandler::handleAdminRequest(const core::HttpRequest &request,
                                                      const HttpTarget &target)
{
    const auto &segments = target.segments;
    const auto is = [&](std::string_view method, std::string_view resource) {
        return request.method == method && segments.size() == 2 && segments[1] == resource;
    };
    if (segments.front() == "control")
        return this->control(request);
    if (is("PUT", "grant"))
        return this->applyGrant(request);
    if (is("GET", "load"))
        return this->report(statusOk);
    if (is("GET", "health"))
        return this->health();
    if (is("POST", "drain"))
        return this->drain();
    if (request.method == "DELETE" && segments.size() == 3 && segments[1] == "requests")
        return this->cancelRequest(core::RequestId(segments[2]));
    return replyError(statusNotFound, "no such resource under /-/");
}

core::HttpResponse BackendHandler::control(const core::HttpRequest &request)
{
    BackendControlRequest update;
    update.faults = this->state.with([](BackendState &shared) { return shared.faults; });
    if (request.method == "PUT") {
        auto fault = readJsonBody(request.body,
                                  [&update](auto &reader) { readControlRequest(reader, update); });
        if (fault)
            return std::move(*fault);
        this->state.with([&update, now = this->clock.now()](BackendState &shared) {
            shared.faults = update.faults;
            if (update.turnCold)
                shared.capacity.restartWarmUp(now);
        });
        if (update.restart)
            this->restart();
    }
    return replyJson(statusOk, toJson(update.faults));
}

core::HttpResponse BackendHandler::applyGrant(const core::HttpRequest &request)
{
    Grant grant;
    if (auto fault =
                readJsonBody(request.body, [&grant](auto &reader) { readGrant(reader, grant); }))
        return std::move(*fault);
    const bool accepted = this->state.with([&](BackendState &shared) {
        const bool matchesServer =
                grant.incarnation == shared.incarnation && grant.service == this->settings.service;
        if (!matchesServer || !shared.grants.accept(grant, this->settings.checksFence))
            return false;
        // Timestamped under the lock, so that concurrent grants are recorded in the order in which
        // they took effect.
        const core::TimePoint now = this->clock.now();
        const auto until = std::chrono::time_point_cast<std::chrono::microseconds>(
                this->wallNow() + (grant.expiresAt - now));
        this->sink.write(history::GrantEvent{this->wallNow(), until, this->settings.name,
                                             grant.service, grant.fence, grant.slots,
                                             grant.hotKeys});
        return true;
    });
    return this->report(accepted ? statusOk : statusConflict);
}

core::HttpResponse BackendHandler::cancelRequest(const core::RequestId &id)
{
    RequestState requestState = RequestState::Unknown;
    const auto cancelled = this->state.with([&](BackendState &shared) {
        requestState = shared.requestState(id);
        return shared.end(shared.findRunning(id), this->clock.now());
    });
    if (cancelled) {
        this->clock.cancel(cancelled->timer);
        cancelled->respond(replyError(statusUnavailable, "cancelled while running"));
    }
    const bool finished = requestState == RequestState::Finished;
    return replyJson(statusOk,
                     {{"state", cancelled ? "cancelled" : (finished ? "finished" : "unknown")}});
}

core::HttpResponse BackendHandler::health()
{
    const std::string_view text =
            this->state.with([this](BackendState &shared) -> std::string_view {
                if (shared.draining)
                    return "draining";
                const bool warm =
                        shared.capacity.limitAt(this->clock.now()) == this->settings.requestSlots;
                return warm ? "serving" : "cold";
            });
    return replyJson(statusOk, {{"state", std::string(text)}});
}

core::HttpResponse BackendHandler::drain()
{
    this->state.with([](BackendState &shared) { shared.draining = true; });
    return this->report(statusOk);
}

core::HttpResponse BackendHandler::report(unsigned status)
{
    return replyJson(status, this->state.with([this](BackendState &shared) {
        return this->loadReport(shared);
    }));
}

boost::json::object BackendHandler::loadReport(const BackendState &shared) const
{
    const core::TimePoint now = this->clock.now();
    return {{"incarnation", shared.incarnation.value},
            {"epoch", shared.grants.epoch().value},
            {"nowMs", milliseconds(now)},
            {"inFlight", shared.inFlight()},
            {"load", shared.reportedLoad(now)}};
}

void BackendHandler::restart()
{
    const core::Incarnation incarnation = generateIncarnation();
    const auto lost = this->state.with([&](BackendState &shared) {
        auto running = shared.running;
        shared.restart(incarnation, this->clock.now());
        return running;
    });
    this->sink.write(history::StartEvent{this->wallNow(), this->settings.name, incarnation});
    for (const auto &[number, request] : lost) {
        this->clock.cancel(request.timer);
        request.respond(makeBrokenResponse());
    }
}

history::WallTime BackendHandler::wallNow() const
{
    return std::chrono::time_point_cast<std::chrono::microseconds>(this->clock.wallNow());
}

} // namespace amaranthdale::tools
