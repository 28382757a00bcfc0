// One request with a whole response body.
#include "json_exchange.h"

namespace amaranthdale::logclient::detail {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusUnavailable = 503;

core::Error errorOfStatus(unsigned status)
{
    const std::string text = "the platform answered with status " + std::to_string(status);
    if (status == statusUnavailable)
        return {core::ErrorKind::Unavailable, text + "; try again later"};
    if (status == statusNotFound)
        return {core::ErrorKind::NotFound, text + "; check the name in the settings"};
    if (status >= 400 && status < 500)
        return {core::ErrorKind::InvalidArgument, text + "; correct the request"};
    return {core::ErrorKind::Protocol, text + "; the operation may have taken effect"};
}

// After the response header nothing may be reported as certainly not done.
core::Outcome<std::string> afterHeader(core::Outcome<std::string> body)
{
    if (!body && body.error().kind == core::ErrorKind::Unavailable)
        return core::Error{core::ErrorKind::ConnectionLost, body.error().message};
    return body;
}

} // namespace

void exchangeJson(core::HttpSender &sender, const core::Endpoint &to, core::HttpRequest request,
                  core::Duration timeout, BodyHandler handler)
{
    if (!request.body.empty())
        core::setHeader(request.headers, "Content-Type", "application/json");
    auto onResponse = [handler = std::move(handler)](core::Outcome<core::HttpResponse> response) {
        if (!response)
            return handler(response.error());
        if (response->status != statusOk)
            return handler(errorOfStatus(response->status));
        core::readWholeBody(response->body, mostResponseBytes,
                            [handler](core::Outcome<std::string> body) {
                                handler(afterHeader(std::move(body)));
                            });
    };
    sender.send(to, std::move(request), timeout, std::move(onResponse));
}

} // namespace amaranthdale::logclient::detail
