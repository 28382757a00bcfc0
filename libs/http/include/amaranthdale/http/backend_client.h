// HTTP/1.1 client with a bounded pool of keep-alive connections per endpoint.
#pragma once

#include "amaranthdale/core/message.h"

#include <cstddef>
#include <limits>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace amaranthdale::http {

/// Limits and timeouts of the client.
struct ClientLimits
{
    std::size_t maxConnectionsPerEndpoint = 100; ///< Further requests are queued.
    /// For all endpoints together: beyond it, the longest idle connection is closed for a new one.
    /// Busy connections may exceed it.
    std::size_t maxConnections = std::numeric_limits<std::size_t>::max();
    std::size_t maxHeaderBytes = 16 * 1024; ///< Maximum size of a response header.
    std::size_t maxChunkBytes = 64 * 1024;  ///< Maximum size of one read of a response body.
    /// Maximum size of what precedes a response: interim responses (100 Continue) and responses to
    /// other requests. A faulty server may send them without end.
    std::size_t maxSkippedBytes = 1024 * 1024;
    /// Request bodies under way to one endpoint, from the start of a request to the end of its
    /// response. Further ones are queued; one alone may be larger. A server ends when the requests
    /// that it holds exceed its memory.
    std::size_t maxBodyBytesPerEndpoint = std::numeric_limits<std::size_t>::max();
    /// Maximum size of what the system receives for a connection in advance; 0: as it sets it.
    std::size_t receiveBufferBytes = 0;
    core::Duration connectTimeout = std::chrono::seconds(1);
    core::Duration idleTimeout = std::chrono::seconds(20); ///< For idle pooled connections.
};

/// Creates an HTTP/1.1 `HttpSender`. When a reused connection closes before the first byte of the
/// response, `resendable` requests (by default GET and HEAD) are resent once on a new connection.
/// Others fail with ConnectionLost, since they may have been executed.
std::unique_ptr<core::HttpSender> makeBackendClient(boost::asio::io_context &context,
                                                    ClientLimits limits = {});

} // namespace amaranthdale::http
