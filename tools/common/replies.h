// Responses and request bodies that all stand-ins share.
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

/// A response whose body breaks off before its first byte: the client gets no usable response.
core::HttpResponse replyLost();

/// Hash of a body as the echo response shows it: 16 hexadecimal digits.
std::string hashText(const std::string &body);

/// Reads a request body with `read`, which gets an ObjectReader. Returns a 400 response that lists
/// all faults, or nothing when there were none.
template<class Function>
std::optional<core::HttpResponse> readBody(const std::string &body, Function &&read)
{
    records::Faults faults;
    if (const auto value = records::parseJson(body, faults)) {
        records::ObjectReader reader(*value, "", faults);
        read(reader);
        reader.finish();
    }
    if (faults.empty())
        return std::nullopt;
    return replyError(statusBadRequest, toError(faults).message);
}

/// Calls `respond` after `delay`; at once when it is zero.
void respondAfter(clock::Clock &clock, core::Duration delay, core::ResponseHandler respond,
                  core::HttpResponse response);

} // namespace amaranthdale::tools
