// Backend server stand-in: execution of requests.
#include "backend_standin/backend_handler.h"

#include "backend_standin/blob_body.h"
#include "common/replies.h"

#include <boost/json/serialize.hpp>

namespace amaranthdale::tools {

namespace {

constexpr unsigned outcomeUnknownStatus = 504;

std::string header(const core::HttpRequest &request, std::string_view name)
{
    return std::string(core::findHeader(request.headers, name).value_or(""));
}

std::optional<core::Fence> parseFence(const std::string &text)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string::npos)
        return std::nullopt;
    const auto epoch = parseUnsigned(std::string_view(text).substr(0, dot));
    const auto sequence = parseUnsigned(std::string_view(text).substr(dot + 1));
    if (!epoch || !sequence)
        return std::nullopt;
    return core::Fence{core::Epoch(*epoch), *sequence};
}

OwnershipClaim parseOwnershipClaim(const core::HttpRequest &request)
{
    OwnershipClaim claim;
    claim.fence = parseFence(header(request, "X-Fence"));
    if (const auto slot = parseUnsigned(header(request, "X-Slot")))
        claim.slot = static_cast<core::SlotIndex>(*slot);
    claim.hotKey = header(request, "X-Hot-Key");
    return claim;
}

// Body size from a target of the form .../blob/<bytes>.
std::optional<std::uint64_t> blobBytes(const std::string &target)
{
    const std::vector<std::string> segments = parseTarget(target).segments;
    if (segments.size() < 2 || segments[segments.size() - 2] != "blob")
        return std::nullopt;
    return parseUnsigned(segments.back());
}

core::HttpResponse refuse(unsigned status, const std::string &reason)
{
    core::HttpResponse response = replyError(status, reason);
    response.headers.push_back({"X-Not-Run", "true"});
    return response;
}

} // namespace

void BackendHandler::runRequest(const core::HttpRequest &request,
                                const core::ResponseHandler &respond)
{
    const OwnershipClaim claim = parseOwnershipClaim(request);
    const core::RequestId id(header(request, "X-Request-Id"));
    const std::string deadlineText = header(request, "X-Deadline-Ms");
    const auto deadline = parseUnsigned(deadlineText);
    const bool badDeadline = !deadlineText.empty() && (!deadline || *deadline == 0);
    if (badDeadline)
        return respond(refuse(statusUnavailable, "the deadline has passed or is malformed"));

    const core::TimePoint now = this->clock.now();
    history::RunEvent event{this->wallNow(),        this->settings.name,
                            this->settings.service, id,
                            request.method,         claim.slot,
                            claim.hotKey,           claim.fence.value_or(core::Fence())};
    std::uint64_t number = 0;
    core::Duration duration{};
    bool crashes = false;
    const auto refusal = this->state.with([&](BackendState &shared) {
        auto reason = shared.checkAdmission(claim, now);
        if (reason.status != 0)
            return reason;
        number = shared.begin(RunningRequest{id, respond, 0}, now);
        event.running = shared.inFlight();
        event.limit = shared.capacity.limitAt(now);
        shared.capacity.observe(shared.inFlight(), now);
        duration = shared.sampleServiceTime(now);
        crashes = !shared.faults.crashBody.empty()
                && request.body.find(shared.faults.crashBody) != std::string::npos;
        return reason;
    });
    if (refusal.status != 0)
        return respond(refuse(refusal.status, refusal.reason));
    this->sink.write(event);
    if (crashes)
        this->crash();

    core::HttpResponse response = this->makeResponse(request);
    const bool late = deadline && std::chrono::milliseconds(*deadline) < duration;
    if (late) {
        duration = std::chrono::milliseconds(*deadline);
        response = replyError(outcomeUnknownStatus,
                              "the deadline passed while the request was running");
    }
    const auto timer =
            this->clock.schedule(now + duration, [this, number, response = std::move(response)] {
                this->finish(number, response);
            });
    this->state.with([number, timer](BackendState &shared) {
        const auto found = shared.running.find(number);
        if (found != shared.running.end())
            found->second.timer = timer;
    });
}

void BackendHandler::finish(std::uint64_t number, core::HttpResponse response)
{
    const auto request = this->state.with(
            [this, number](BackendState &shared) { return shared.end(number, this->clock.now()); });
    if (request)
        request->respond(std::move(response));
}

core::HttpResponse BackendHandler::makeResponse(const core::HttpRequest &request) const
{
    const std::string id = header(request, "X-Request-Id");
    core::HttpResponse response;
    if (const auto bytes = blobBytes(request.target)) {
        const auto cut =
                this->state.with([](BackendState &shared) { return shared.faults.cutBodyAfter; });
        response.contentLength = *bytes;
        response.headers.push_back({"Content-Type", "application/octet-stream"});
        response.body = makeBlobBody(*bytes, cut);
    } else {
        boost::json::object body = {{"server", this->settings.name.value},
                                    {"requestId", id},
                                    {"method", request.method},
                                    {"target", request.target},
                                    {"bodyHash", hashHex(request.body)}};
        const std::size_t length = boost::json::serialize(body).size();
        if (length < this->settings.responseBytes)
            body["padding"] = std::string(this->settings.responseBytes - length, 'x');
        response = replyJson(statusOk, body);
    }
    core::setHeader(response.headers, "X-Request-Id", id);
    core::setHeader(response.headers, "X-Body-Hash", hashHex(request.body));
    core::setHeader(response.headers, "X-Server", this->settings.name.value);
    return response;
}

} // namespace amaranthdale::tools
