// The backend server's protocol: the system's own resources.
#include "backend_standin/backend_handler.h"

#include "common/replies.h"

#include <random>

namespace amaranthdale::tools {

namespace {

core::Incarnation drawIncarnation()
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
      state(tables::LockRank::BackendServers, this->settings, drawIncarnation(), timeSource.now())
{
    const auto incarnation = this->state.with([](BackendState &held) { return held.incarnation; });
    this->sink.write(history::StartEvent{this->wallNow(), this->settings.name, incarnation});
}

std::shared_ptr<core::Exchange> BackendHandler::handle(core::HttpRequest request,
                                                       core::ResponseHandler respond)
{
    const HttpTarget target = parseTarget(request.target);
    const bool isOwn = !target.segments.empty()
            && (target.segments.front() == "-" || target.segments.front() == "control");
    if (isOwn)
        respond(this->handleOwn(request, target));
    else
        this->runRequest(request, respond);
    return nullptr;
}

core::HttpResponse BackendHandler::handleOwn(const core::HttpRequest &request,
                                             const HttpTarget &target)
{
    const auto &segments = target.segments;
    const auto is = [&](std::string_view method, std::string_view resource) {
        return request.method == method && segments.size() == 2 && segments[1] == resource;
    };
    if (segments.front() == "control")
        return this->control(request);
    if (is("PUT", "grant"))
        return this->takeGrant(request);
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
    BackendControl order;
    order.faults = this->state.with([](BackendState &held) { return held.faults; });
    if (request.method == "PUT") {
        auto fault =
                readJsonBody(request.body, [&order](auto &reader) { readControl(reader, order); });
        if (fault)
            return std::move(*fault);
        this->state.with([&order, now = this->clock.now()](BackendState &held) {
            held.faults = order.faults;
            if (order.turnCold)
                held.capacity.turnCold(now);
        });
        if (order.restart)
            this->restart();
    }
    return replyJson(statusOk, toJson(order.faults));
}

core::HttpResponse BackendHandler::takeGrant(const core::HttpRequest &request)
{
    Grant grant;
    if (auto fault =
                readJsonBody(request.body, [&grant](auto &reader) { readGrant(reader, grant); }))
        return std::move(*fault);
    const bool accepted = this->state.with([&](BackendState &held) {
        const bool addressed =
                grant.incarnation == held.incarnation && grant.service == this->settings.service;
        if (!addressed || !held.grants.accept(grant, this->settings.checksFence))
            return false;
        // Timed under the lock: two grants at once must stand in the order in which they held.
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
    RequestFate fate = RequestFate::Unknown;
    const auto cancelled = this->state.with([&](BackendState &held) {
        fate = held.fateOf(id);
        return held.end(held.findRunning(id), this->clock.now());
    });
    if (cancelled) {
        this->clock.cancel(cancelled->timer);
        cancelled->respond(replyError(statusUnavailable, "cancelled while it ran"));
    }
    const bool finished = fate == RequestFate::Finished;
    return replyJson(statusOk,
                     {{"state", cancelled ? "cancelled" : (finished ? "finished" : "unknown")}});
}

core::HttpResponse BackendHandler::health()
{
    const std::string_view text = this->state.with([this](BackendState &held) -> std::string_view {
        if (held.draining)
            return "draining";
        const bool warm = held.capacity.limitAt(this->clock.now()) == this->settings.requestSlots;
        return warm ? "serving" : "cold";
    });
    return replyJson(statusOk, {{"state", std::string(text)}});
}

core::HttpResponse BackendHandler::drain()
{
    this->state.with([](BackendState &held) { held.draining = true; });
    return this->report(statusOk);
}

core::HttpResponse BackendHandler::report(unsigned status)
{
    return replyJson(status,
                     this->state.with([this](BackendState &held) { return this->reportOf(held); }));
}

boost::json::object BackendHandler::reportOf(const BackendState &held) const
{
    const core::TimePoint now = this->clock.now();
    return {{"incarnation", held.incarnation.value},
            {"epoch", held.grants.epoch().value},
            {"nowMs", milliseconds(now)},
            {"inFlight", held.inFlight()},
            {"load", held.reportedLoad(now)}};
}

void BackendHandler::restart()
{
    const core::Incarnation incarnation = drawIncarnation();
    const auto lost = this->state.with([&](BackendState &held) {
        auto running = held.running;
        held.restart(incarnation, this->clock.now());
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
