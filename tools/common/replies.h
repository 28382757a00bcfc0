// Helpers for responses and request bodies, shared by the stand-ins.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/core/message.h"
#include "amaranthdale/records/object_reader.h"

#include <boost/json/object.hpp>

namespace amaranthdale::tools {

inline constexpr unsigned statusOk = 200;
inline constexpr unsigned statusBadRequest = 400;
inline constexpr unsigned statusNotFound = 404;
inline constexpr unsigned statusConflict = 409;
inline constexpr unsigned statusUnavailable = 503;

core::HttpResponse replyJson(unsigned status, const boost::json::object &body);

/// `{"error": message}`.
core::HttpResponse replyError(unsigned status, std::string_view message);

/// A response whose body fails before its first byte, so that the client gets no usable response.
core::HttpResponse makeBrokenResponse();

/// Hash of a body as 16 hexadecimal digits, as in the echo response.
std::string hashHex(const std::string &body);

/// Parses a JSON request body and passes an ObjectReader for it to `read`. Returns a 400 response
/// that lists all errors, or nullopt if there are none.
template<class Function>
std::optional<core::HttpResponse> readJsonBody(const std::string &body, Function &&read)
{
    records::Faults faults;
    if (const auto value = records::parseJson(body, faults)) {
        records::ObjectReader reader(*value, "", faults);
        read(reader);
        reader.rejectUnknownFields();
    }
    if (faults.empty())
        return std::nullopt;
    return replyError(statusBadRequest, toError(faults).message);
}

/// Calls `respond` after `delay`, or immediately if it is zero.
void respondAfter(clock::Clock &clock, core::Duration delay, core::ResponseHandler respond,
                  core::HttpResponse response);

} // namespace amaranthdale::tools
