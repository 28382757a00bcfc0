// HTTP/2 transport between instances, with one multiplexed connection per client and peer.
#pragma once

#include "amaranthdale/core/message.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace amaranthdale::peer {

/// Limits of a session; used by clients and servers.
struct SessionLimits
{
    std::size_t maxRequestBodyBytes = 1024 * 1024; ///< A longer body resets its stream.
    std::uint32_t maxConcurrentStreams = 4096;
    std::uint32_t streamWindowBytes = 256 * 1024; ///< Flow control; bounds a stream's memory.
    core::Duration connectTimeout = std::chrono::milliseconds(500);
    core::Duration reconnectDelay = std::chrono::milliseconds(50); ///< After a failed connect.
};

/// Monotonic counters for reports.
struct SessionCounters
{
    std::uint64_t protocolErrors = 0; ///< Sessions closed because of malformed frames from a peer.
    std::uint64_t bytesReceived = 0;
    std::uint64_t bytesSent = 0;
};

/// Listens for peers on `address`. `handler` must outlive the listener.
/// Fails with Unavailable if the address cannot be bound.
core::Result<std::unique_ptr<core::HttpListener>> makePeerServer(boost::asio::io_context &context,
                                                                 const core::Endpoint &address,
                                                                 core::RequestHandler &handler,
                                                                 SessionLimits limits = {});

/// An `HttpSender` that keeps one persistent HTTP/2 session per endpoint.
std::unique_ptr<core::HttpSender> makePeerClient(boost::asio::io_context &context,
                                                 SessionLimits limits = {});

/// Totals over all sessions of this process.
SessionCounters sessionCounters();

} // namespace amaranthdale::peer
