// JSON requests to the platform's services.
#include "json_exchange.h"

namespace amaranthdale::logclient::detail {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusUnavailable = 503;

core::Error errorForStatus(unsigned status)
{
    const std::string text = "the platform responded with status " + std::to_string(status);
    if (status == statusUnavailable)
        return {core::ErrorKind::Unavailable, text + "; retry later"};
    if (status == statusNotFound)
        return {core::ErrorKind::NotFound, text + "; check the configured name"};
    if (status >= 400 && status < 500)
        return {core::ErrorKind::InvalidArgument, text + "; correct the request"};
    return {core::ErrorKind::Protocol, text + "; the operation may have taken effect"};
}

// Once response headers have arrived the operation may have been performed, so an error while
// reading the body must not be reported as Unavailable.
core::Outcome<std::string> mapUnavailableToConnectionLost(core::Outcome<std::string> body)
{
    if (!body && body.error().kind == core::ErrorKind::Unavailable)
        return core::Error{core::ErrorKind::ConnectionLost, body.error().message};
    return body;
}

} // namespace

void sendJsonRequest(core::HttpSender &sender, const core::Endpoint &to, core::HttpRequest request,
                     core::Duration timeout, BodyHandler handler)
{
    if (!request.body.empty())
        core::setHeader(request.headers, "Content-Type", "application/json");
    auto onResponse = [handler = std::move(handler)](core::Outcome<core::HttpResponse> response) {
        if (!response)
            return handler(response.error());
        if (response->status != statusOk)
            return handler(errorForStatus(response->status));
        core::readWholeBody(response->body, maxResponseBytes,
                            [handler](core::Outcome<std::string> body) {
                                handler(mapUnavailableToConnectionLost(std::move(body)));
                            });
    };
    sender.send(to, std::move(request), timeout, std::move(onResponse));
}

} // namespace amaranthdale::logclient::detail
