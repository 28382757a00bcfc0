// Validation and routing of incoming requests.
#include "entry_service.h"

#include "caller_response.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace amaranthdale::daemon {

namespace {

using core::ErrorKind;
using decisions::RunOutcome;

constexpr std::string_view idTarget = "/-/request-id";
constexpr unsigned maxIdsPerRequest = 1000;

unsigned parseCount(std::string_view target)
{
    constexpr std::string_view prefix = "?count=";
    const std::string_view query = target.substr(idTarget.size());
    unsigned count = 1;
    if (query.starts_with(prefix))
        std::from_chars(query.data() + prefix.size(), query.data() + query.size(), count);
    return std::clamp(count, 1U, maxIdsPerRequest);
}

} // namespace

core::HttpResponse EntryService::issueIds(const core::HttpRequest &request)
{
    const core::LogOffset offset = this->context.tables.state()->offset();
    const unsigned count = parseCount(request.target);
    boost::json::array ids;
    this->context.entry.with([&](EntryTable &table) {
        for (unsigned index = 0; index < count; ++index)
            ids.push_back(boost::json::value(decisions::makeIssuedId(offset, table.random).value));
    });
    const boost::json::value body = {{"ids", ids}};
    return core::makeResponse(200, boost::json::serialize(body) + "\n");
}

void EntryService::refuseUnrouted(const core::HttpRequest &request, const core::Error &error,
                                  const core::ResponseHandler &respond)
{
    const core::TimePoint now = this->context.clock.now();
    report::RequestFinished event;
    event.outcome = report::RequestOutcome::NotRun;
    event.reason = report::NotRunReason::InvalidRequest;
    this->context.recorder.requestFinished(event, now);
    const decisions::Refusal refusal{RunOutcome::NotRun, error.kind, error.message, {}};
    const auto id = core::findHeader(request.headers, "Idempotency-Key");
    respond(refusalResponse(core::RequestId(std::string(id.value_or(""))), refusal));
}

std::shared_ptr<core::Exchange> EntryService::handle(core::HttpRequest request,
                                                     core::ResponseHandler respond)
{
    if (request.target.starts_with(idTarget) && request.method == "GET") {
        respond(this->issueIds(request));
        return nullptr;
    }
    const StatePointer state = this->context.tables.state();
    const core::TimePoint now = this->context.clock.now();
    bool keyed = false;
    auto routed = core::attempt([&]() -> core::Result<decisions::RoutedRequest> {
        BOOST_LEAF_AUTO(name, decisions::serviceOf(request.target));
        const decisions::ServiceState *service = state->findService(name);
        if (!service)
            return core::fail(ErrorKind::NotFound,
                              "service '" + name.value
                                      + "' has no service document; publish one or "
                                        "correct the request target");
        keyed = service->document.keyed();
        if (request.body.size() > service->document.maxBodyBytes)
            return core::fail(
                    ErrorKind::InvalidArgument,
                    "the request body exceeds the service's maxBodyBytes; send a smaller one");
        return this->context.entry.with([&](EntryTable &table) {
            return decisions::routeRequest(*service, request, state->offset(), table.random, now);
        });
    });
    if (!routed) {
        this->refuseUnrouted(request, routed.error(), respond);
        return nullptr;
    }
    auto started = std::make_shared<CallerRequest>(this->context, std::move(*routed), keyed,
                                                   std::move(request), std::move(respond));
    started->start();
    return started;
}

} // namespace amaranthdale::daemon
