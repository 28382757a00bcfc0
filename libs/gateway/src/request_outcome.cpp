// Final responses of requests, and what is reported about their attempts.
#include "request_outcome.h"

#include "active_request.h"

#include <cstdio>

namespace amaranthdale::gateway {

using namespace detail;

std::string detail::formatSeconds(core::Duration duration)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", std::chrono::duration<double>(duration).count());
    return text;
}

// Reports what this instance knew when it sent to a cold server or sent a request again.
void ActiveRequest::reportSend(const catalog::BackendServer &target)
{
    bool hasSlot = false;
    {
        std::lock_guard lock(this->mutex);
        hasSlot = this->slotTicket.has_value();
    }
    const char *source = hasSlot ? "slot" : "local";
    if (target.coldUntil > this->sentAt) {
        this->gateway.stats.count("cold_server_sends_total",
                                  std::string("source=\"") + source + "\"");
        this->gateway.events.write(log::Severity::Info, "cold-server-send",
                                   {{"request", this->request.id.value},
                                    {"service", this->service.value},
                                    {"server", target.name.value},
                                    {"source", source},
                                    {"coldLeft", formatSeconds(target.coldUntil - this->sentAt)}});
    }
    if (this->lastServer.empty())
        return;
    this->gateway.stats.count("resends_total", std::string("source=\"") + source + "\"");
    this->gateway.events.write(log::Severity::Info, "request-resent",
                               {{"request", this->request.id.value},
                                {"service", this->service.value},
                                {"server", target.name.value},
                                {"previous", this->lastServer.value},
                                {"source", source},
                                {"sends", std::to_string(this->sends)},
                                {"mayHaveRun", std::to_string(this->attempts)}});
}

// Reports responses that say "not run" and responses that came out of step.
void ActiveRequest::reportResponse(const core::HttpResponse &response, const ServerResponse &parsed)
{
    const bool notRun = parsed.responseClass == ResponseClass::Shed
            || parsed.responseClass == ResponseClass::NotOwner;
    if (response.skippedResponses > 0)
        this->gateway.stats.count("responses_skipped_total", {}, response.skippedResponses);
    if (!notRun && response.skippedResponses == 0)
        return;
    this->gateway.events.write(
            log::Severity::Info, notRun ? "server-refused" : "response-out-of-step",
            {{"request", this->request.id.value},
             {"service", this->service.value},
             {"server", this->server.value},
             {"status", std::to_string(response.status)},
             {"identified", parsed.identified ? "true" : "false"},
             {"skipped", std::to_string(response.skippedResponses)},
             {"sends", std::to_string(this->sends + 1)},
             {"elapsed", formatSeconds(this->gateway.clock.now() - this->sentAt)}});
}

ActiveRequest::Result ActiveRequest::makeRefusal(core::Duration retryAfter,
                                                 const std::string &reason) const
{
    // The response must not say "not-run" if an earlier attempt may have run the request.
    if (this->attempts > 0)
        return makeFailure(badGateway, reason);
    core::HttpResponse response = core::makeResponse(
            serviceUnavailable, "{\"error\":\"" + reason + "\",\"outcome\":\"not-run\"}\n");
    core::setHeader(response.headers, "Retry-After", formatSeconds(retryAfter));
    return {std::move(response), "refused", reason};
}

ActiveRequest::Result ActiveRequest::makeFailure(unsigned status, const std::string &reason)
{
    const bool notRun = status < 500;
    core::HttpResponse response = core::makeResponse(
            status, std::string("{\"outcome\":\"") + (notRun ? "not-run" : "unknown") + "\"}\n");
    return {std::move(response), "failed", reason};
}

void ActiveRequest::refuse(core::Duration retryAfter, const std::string &reason)
{
    this->finish(this->makeRefusal(retryAfter, reason));
}

void ActiveRequest::fail(unsigned status, const std::string &reason)
{
    this->finish(makeFailure(status, reason));
}

bool ActiveRequest::tryFinish(bool onlyIfWaiting)
{
    std::lock_guard lock(this->mutex);
    if (this->finished || (onlyIfWaiting && !this->waiting))
        return false;
    this->finished = true;
    this->exchange.reset();
    return true;
}

void ActiveRequest::finish(Result result)
{
    if (this->tryFinish(false))
        this->deliver(std::move(result));
}

void ActiveRequest::deliver(Result result)
{
    auto &[response, outcome, reason] = result;
    this->stopHedge(true);
    this->unregister();
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
                 {"server", this->lastServer.value},
                 {"sends", std::to_string(this->sends)},
                 {"elapsed", formatSeconds(elapsed)},
                 {"left", this->route == nullptr ? "" : formatSeconds(this->timeLeft())},
                 {"configuration", this->table ? std::to_string(this->table->version()) : ""}});
    }
    this->respond(std::move(response));
}

void ActiveRequest::beginWaiting()
{
    std::lock_guard lock(this->mutex);
    this->waiting = true;
}

void ActiveRequest::unregister()
{
    this->releaseQuota();
    this->endStartupWait();
    this->gateway.activeRequests.with([this](auto &all) { all.erase(this->number); });
    this->gateway.removeWaiter(this->number);
}

void ActiveRequest::refuseIfWaiting()
{
    if (!this->tryFinish(true))
        return;
    this->releaseSlot(balance::AttemptResult::Cancelled, {});
    this->deliver(this->makeRefusal(stoppingRetryAfter, "stopping"));
}

void ActiveRequest::abandon()
{
    this->refuseIfWaiting();
    this->fail(gatewayTimeoutStatus, "stopping");
}

// Ends the request and what is in progress for it.
void ActiveRequest::abort(const std::function<void()> &report)
{
    std::shared_ptr<core::Exchange> pending;
    {
        std::lock_guard lock(this->mutex);
        if (this->finished)
            return;
        this->finished = true;
        pending = std::move(this->exchange);
    }
    this->releaseSlot(balance::AttemptResult::Cancelled, {});
    report();
    if (pending)
        pending->cancel();
}

void ActiveRequest::cancel()
{
    this->abort([this] {
        this->stopHedge(false);
        this->unregister();
        this->gateway.stats.count("requests_total", "outcome=\"cancelled\"");
    });
}

} // namespace amaranthdale::gateway
