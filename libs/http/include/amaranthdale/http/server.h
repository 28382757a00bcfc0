// HTTP/1.1 listener for callers, operators and stand-ins.
#pragma once

#include "amaranthdale/core/message.h"

#include <cstddef>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace amaranthdale::http {

/// Bounds on what a client may send; a client beyond them gets the status named here.
struct ServerLimits
{
    std::size_t headerBytes = 16 * 1024; ///< 431 beyond this.
    std::size_t bodyBytes = 1024 * 1024; ///< 413 beyond this.
    core::Duration headerTimeout =
            std::chrono::seconds(5); ///< Whole header, counted from its first byte.
    core::Duration bodyTimeout = std::chrono::seconds(15); ///< Whole body.
    core::Duration idleTimeout = std::chrono::seconds(60); ///< Between requests of one connection.
    core::Duration writeTimeout =
            std::chrono::seconds(30); ///< For each write of a piece of a response.
};

/// Listens on `address` and passes each request to `handler`, which must outlive the listener.
/// Responses that fail midway close the connection, so that a short body is never taken for whole.
/// Fails with Unavailable when the address can't be bound.
core::Result<std::unique_ptr<core::HttpListener>> makeHttpServer(boost::asio::io_context &context,
                                                                 const core::Endpoint &address,
                                                                 core::RequestHandler &handler,
                                                                 ServerLimits limits = {});

} // namespace amaranthdale::http
