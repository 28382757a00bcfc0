// One request with a whole response body, as both clients of the platform need it.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/records/object_reader.h"

#include <functional>
#include <string>
#include <string_view>

namespace amaranthdale::logclient::detail {

/// Bound on a response, so that a faulty service can't exhaust memory.
inline constexpr std::size_t mostResponseBytes = 64 * 1024 * 1024;

using BodyHandler = std::function<void(core::Outcome<std::string>)>;

/// Sends `request` and passes on the body of a 200 response. Status 503 and 4xx become errors that
/// say that nothing was done (Unavailable, InvalidArgument, NotFound); any other one is Protocol.
void exchangeJson(core::HttpSender &sender, const core::Endpoint &to, core::HttpRequest request,
                  core::Duration timeout, BodyHandler handler);

/// Parses `body` with `read`, which gets an ObjectReader; any fault makes it a Protocol error.
template<class Value, class Function>
core::Outcome<Value> readJson(std::string_view body, Function &&read)
{
    records::Faults faults;
    Value value;
    if (const auto parsed = records::parseJson(body, faults)) {
        records::ObjectReader reader(*parsed, "", faults);
        read(reader, value);
    }
    if (!faults.empty())
        return core::Error{core::ErrorKind::Protocol,
                           "unexpected response of the platform; " + toError(faults).message};
    return value;
}

} // namespace amaranthdale::logclient::detail
