// Text of HTTP/1.1 message headers.
#pragma once

#include "amaranthdale/core/message.h"

#include <boost/beast/http/fields.hpp>

#include <string>

namespace amaranthdale::http {

/// How the end of a response body is marked.
enum class BodyFraming {
    None,       ///< No body follows, whatever the headers announce.
    Length,     ///< Content-Length.
    Chunked,    ///< Chunked transfer coding.
    UntilClose, ///< The end of the connection; HTTP/1.0 without a known length.
};

/// Facts about a request that shape its response.
struct RequestTraits
{
    bool head = false;     ///< Method HEAD: the response has no body.
    bool keepAlive = true; ///< The connection may be used again.
    bool modern = true;    ///< HTTP/1.1, which knows the chunked coding.
};

BodyFraming chooseFraming(const core::HttpResponse &response, const RequestTraits &traits);

/// Status line and headers. Fields that describe the connection are the transport's own; those of
/// the response are left out, as are fields that can't be sent.
std::string formatResponseHeader(const core::HttpResponse &response, BodyFraming framing,
                                 bool keepAlive);

/// Request line and headers, or nothing when method or target can't be sent.
std::optional<std::string> formatRequestHeader(const core::HttpRequest &request,
                                               const core::Endpoint &to);

core::Headers toHeaders(const boost::beast::http::fields &fields);

} // namespace amaranthdale::http
