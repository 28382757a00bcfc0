// Error responses with JSON bodies.
#include "error_response.h"

#include <array>
#include <cstdio>

namespace amaranthdale::http {

namespace {

constexpr unsigned internalServerError = 500;
constexpr unsigned badGateway = 502;
constexpr unsigned serviceUnavailable = 503;
constexpr unsigned gatewayTimeoutStatus = 504;

std::string escapeJson(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            escaped.append(1, '\\').append(1, c);
        } else if (static_cast<unsigned char>(c) < 0x20) {
            std::array<char, 8> code{};
            std::snprintf(code.data(), code.size(), "\\u%04x", static_cast<unsigned>(c));
            escaped += code.data();
        } else {
            escaped += c;
        }
    }
    return escaped;
}

// Only these kinds guarantee that the request was not executed.
bool isKnownNotExecuted(core::ErrorKind kind)
{
    return kind == core::ErrorKind::Unavailable || kind == core::ErrorKind::Overloaded;
}

unsigned statusFor(core::ErrorKind kind)
{
    switch (kind) {
    case core::ErrorKind::Unavailable:
    case core::ErrorKind::Overloaded:
        return serviceUnavailable;
    case core::ErrorKind::Timeout:
    case core::ErrorKind::ConnectionLost:
        return gatewayTimeoutStatus;
    case core::ErrorKind::Protocol:
        return badGateway;
    default:
        return internalServerError;
    }
}

} // namespace

core::HttpResponse makeErrorResponse(unsigned status, std::string_view kind,
                                     std::string_view message, std::string_view outcome)
{
    std::string body;
    body.append(R"({"error":{"kind":")").append(escapeJson(kind));
    body.append(R"(","message":")").append(escapeJson(message));
    body.append(R"("},"outcome":")").append(outcome).append(R"("})");
    core::HttpResponse response = core::makeResponse(status, std::move(body));
    core::setHeader(response.headers, "X-Outcome", std::string(outcome));
    return response;
}

core::HttpResponse makeErrorResponse(const core::Error &error)
{
    return makeErrorResponse(statusFor(error.kind), core::errorKindName(error.kind), error.message,
                             isKnownNotExecuted(error.kind) ? "not-run" : "unknown");
}

} // namespace amaranthdale::http
