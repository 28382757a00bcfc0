// HTTP/2 streams between instances, multiplexed over one connection for each pair.
#pragma once

#include "amaranthdale/core/message.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace amaranthdale::peer {

/// Bounds of both sides of a session.
struct SessionLimits
{
    std::size_t requestBodyBytes = 1024 * 1024; ///< A longer request body resets its stream.
    std::uint32_t concurrentStreams = 4096;
    std::uint32_t windowBytes = 256 * 1024; ///< Flow control window of one stream: memory bound.
    core::Duration connectTimeout = std::chrono::milliseconds(500);
    core::Duration reconnectDelay = std::chrono::milliseconds(50); ///< After a failed connect.
};

/// Counters for reports; values only grow.
struct SessionCounters
{
    std::uint64_t protocolErrors = 0; ///< Malformed frames from peers; each closes its session.
    std::uint64_t bytesReceived = 0;
    std::uint64_t bytesSent = 0;
};

/// Listens for peers on `address`. `handler` must outlive the listener.
/// Fails with Unavailable when the address can't be bound.
core::Result<std::unique_ptr<core::HttpListener>> makePeerServer(boost::asio::io_context &context,
                                                                 const core::Endpoint &address,
                                                                 core::RequestHandler &handler,
                                                                 SessionLimits limits = {});

/// An `HttpSender` with one kept HTTP/2 session for each endpoint.
std::unique_ptr<core::HttpSender> makePeerClient(boost::asio::io_context &context,
                                                 SessionLimits limits = {});

/// Sum over all sessions of this process.
SessionCounters sessionCounters();

} // namespace amaranthdale::peer
