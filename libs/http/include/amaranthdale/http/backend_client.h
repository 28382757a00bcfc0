// HTTP/1.1 client with a bounded pool of kept connections for each endpoint.
#pragma once

#include "amaranthdale/core/message.h"

#include <cstddef>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace amaranthdale::http {

/// Bounds of the client.
struct ClientLimits
{
    std::size_t connectionsPerEndpoint = 100; ///< Further requests wait for a connection.
    std::size_t headerBytes = 16 * 1024;
    std::size_t chunkBytes = 64 * 1024; ///< Largest piece of a body held at a time.
    core::Duration connectTimeout = std::chrono::seconds(1);
    core::Duration idleTimeout = std::chrono::seconds(20); ///< Kept connections close after this.
};

/// An `HttpSender` over HTTP/1.1. A kept connection that turns out closed before any byte of the
/// response is retried on a fresh one only for methods GET and HEAD; for others the error is
/// ConnectionLost, since the request may have run.
std::unique_ptr<core::HttpSender> makeBackendClient(boost::asio::io_context &context,
                                                    ClientLimits limits = {});

} // namespace amaranthdale::http
