// Serialization of HTTP/1.1 message headers.
#pragma once

#include "amaranthdale/core/message.h"

#include <boost/beast/http/fields.hpp>

#include <string>

namespace amaranthdale::http {

/// How the end of a response body is determined.
enum class BodyFraming {
    None,       ///< No body, regardless of the headers.
    Length,     ///< Content-Length.
    Chunked,    ///< Chunked transfer coding.
    UntilClose, ///< Connection close; HTTP/1.0 without a known length.
};

/// Properties of a request that determine how its response is sent.
struct RequestTraits
{
    bool isHead = false;         ///< Method HEAD: the response has no body.
    bool keepAlive = true;       ///< The connection may be reused.
    bool supportsChunked = true; ///< HTTP/1.1 or later.
};

BodyFraming chooseFraming(const core::HttpResponse &response, const RequestTraits &traits);

/// Serializes the status line and headers. Connection-specific fields are generated; those in
/// `response` are omitted, as are fields with invalid names or values.
std::string formatResponseHeader(const core::HttpResponse &response, BodyFraming framing,
                                 bool keepAlive);

/// Serializes the request line and headers. Returns nullopt when method or target is invalid.
std::optional<std::string> formatRequestHeader(const core::HttpRequest &request,
                                               const core::Endpoint &to);

core::Headers toHeaders(const boost::beast::http::fields &fields);

} // namespace amaranthdale::http
