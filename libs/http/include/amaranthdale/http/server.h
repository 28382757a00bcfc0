// HTTP/1.1 server, used for callers, operators and stand-in services.
#pragma once

#include "amaranthdale/core/message.h"

#include <cstddef>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace amaranthdale::http {

/// Limits and timeouts of client connections.
struct ServerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024; ///< Larger request headers are rejected with 431.
    std::size_t maxBodyBytes = 1024 * 1024; ///< Larger request bodies are rejected with 413.
    /// For all request bodies in memory together, from the arrival of a body to the end of the
    /// response. A larger total is rejected with 503, so that the caller tries again elsewhere; a
    /// body alone is not. Bodies up to `uncountedBodyBytes` aren't affected.
    std::size_t maxTotalBodyBytes = 256 * 1024 * 1024;
    std::size_t uncountedBodyBytes = 16 * 1024;
    /// For receiving the complete request header, counted from its first byte.
    core::Duration headerTimeout = std::chrono::seconds(5);
    /// For receiving the complete request body.
    core::Duration bodyTimeout = std::chrono::seconds(15);
    /// Between two requests on a connection.
    core::Duration idleTimeout = std::chrono::seconds(60);
    /// For each write of part of a response.
    core::Duration writeTimeout = std::chrono::seconds(30);
};

/// Listens on `address` and passes each request to `handler`, which must outlive the listener. When
/// a response body fails midway, the connection is reset, so that the client can't mistake the
/// truncated body for a complete one. Fails with Unavailable when the address can't be bound.
core::Result<std::unique_ptr<core::HttpListener>> makeHttpServer(boost::asio::io_context &context,
                                                                 const core::Endpoint &address,
                                                                 core::RequestHandler &handler,
                                                                 ServerLimits limits = {});

} // namespace amaranthdale::http
