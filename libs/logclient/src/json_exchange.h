// JSON requests to the platform's services, used by the log and instance list clients.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/records/object_reader.h"

#include <functional>
#include <string>
#include <string_view>

namespace amaranthdale::logclient::detail {

/// Upper bound on response bodies, so that a faulty service can't exhaust memory.
inline constexpr std::size_t maxResponseBytes = 64 * 1024 * 1024;

using BodyHandler = std::function<void(core::Outcome<std::string>)>;

/// Sends `request` and passes the body of a 200 response to `handler`. Status 503 and 4xx become
/// errors that mean that the operation was not performed (Unavailable, InvalidArgument, NotFound);
/// any other status becomes Protocol.
void sendJsonRequest(core::HttpSender &sender, const core::Endpoint &to, core::HttpRequest request,
                     core::Duration timeout, BodyHandler handler);

/// Parses `body` by calling `read` with an ObjectReader. Returns a Protocol error when the body is
/// not valid JSON or `read` reports a fault.
template<class Value, class Function>
core::Outcome<Value> parseJsonBody(std::string_view body, Function &&read)
{
    records::Faults faults;
    Value value;
    if (const auto parsed = records::parseJson(body, faults)) {
        records::ObjectReader reader(*parsed, "", faults);
        read(reader, value);
    }
    if (!faults.empty())
        return core::Error{core::ErrorKind::Protocol,
                           "unexpected response from the platform; " + toError(faults).message};
    return value;
}

} // namespace amaranthdale::logclient::detail
