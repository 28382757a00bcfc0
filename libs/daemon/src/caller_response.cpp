// Mapping of outcomes and error kinds to HTTP status codes and headers.
#include "caller_response.h"

#include "forward_codec.h"

#include <boost/json.hpp>

namespace amaranthdale::daemon {

namespace {

using core::ErrorKind;
using decisions::RunOutcome;
using report::NotRunReason;

unsigned httpStatus(const decisions::Refusal &refusal)
{
    switch (refusal.kind) {
    case ErrorKind::InvalidArgument:
        return 400;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::Conflict:
        return 409;
    default:
        return refusal.outcome == RunOutcome::NotRun ? 503 : 504;
    }
}

std::string retryAfterSeconds(core::Duration duration)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(duration);
    return std::to_string(std::max<std::int64_t>(seconds.count(), 1));
}

} // namespace

core::HttpResponse callerResponse(const core::RequestId &id, core::HttpResponse response)
{
    core::setHeader(response.headers, "X-Request-Id", id.value);
    core::setHeader(response.headers, "X-Outcome", std::string(outcomeName(RunOutcome::Answered)));
    return response;
}

core::HttpResponse refusalResponse(const core::RequestId &id, const decisions::Refusal &refusal)
{
    const std::string_view outcome = outcomeName(refusal.outcome);
    const boost::json::value body = {
            {"error", {{"kind", core::errorKindName(refusal.kind)}, {"message", refusal.message}}},
            {"outcome", outcome},
    };
    core::HttpResponse response =
            core::makeResponse(httpStatus(refusal), boost::json::serialize(body) + "\n");
    core::setHeader(response.headers, "X-Request-Id", id.value);
    core::setHeader(response.headers, "X-Outcome", std::string(outcome));
    if (response.status == 503)
        core::setHeader(response.headers, "Retry-After", retryAfterSeconds(refusal.retryAfter));
    return response;
}

NotRunReason notRunReason(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::Overloaded:
        return NotRunReason::Overloaded;
    case ErrorKind::Fenced:
        return NotRunReason::NoAuthority;
    case ErrorKind::Unavailable:
        return NotRunReason::Unreachable;
    case ErrorKind::InvalidArgument:
    case ErrorKind::NotFound:
    case ErrorKind::Conflict:
        return NotRunReason::InvalidRequest;
    default:
        return NotRunReason::Overloaded;
    }
}

} // namespace amaranthdale::daemon
