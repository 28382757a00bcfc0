// HTTP/1.1 server, used for callers, operators and stand-in services.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/memory/budget.h"

#include <atomic>
#include <cstddef>
#include <limits>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace amaranthdale::http {

/// Limits that may change while a listener runs. Thread-safe.
class AdjustableLimits
{
public:
    void set(std::size_t headerBytes, std::size_t bodyBytes, core::Duration headerTimeout,
             core::Duration idleTimeout);

    std::size_t maxHeaderBytes() const { return this->headerBytes; }
    std::size_t maxBodyBytes() const { return this->bodyBytes; }
    core::Duration headerTimeout() const { return this->headerTime.load(); }
    core::Duration idleTimeout() const { return this->idleTime.load(); }

private:
    std::atomic<std::size_t> headerBytes{std::numeric_limits<std::size_t>::max()};
    std::atomic<std::size_t> bodyBytes{std::numeric_limits<std::size_t>::max()};
    std::atomic<core::Duration> headerTime{core::Duration::max()};
    std::atomic<core::Duration> idleTime{core::Duration::max()};
};

/// Limits and timeouts of client connections.
struct ServerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024; ///< Larger request headers are rejected with 431.
    std::size_t maxBodyBytes = 1024 * 1024; ///< Larger request bodies are rejected with 413.
    /// For all requests in memory together, from their arrival to the end of the response, unless
    /// `budget` is set. A larger total is rejected with 503, so that the caller tries again
    /// elsewhere; a request alone is not.
    std::size_t maxTotalBodyBytes = 256 * 1024 * 1024;
    /// Counts all requests in memory; may be shared by several listeners.
    std::shared_ptr<memory::Budget> budget = nullptr;
    /// Counts what responses hold that are passed on while they arrive. Null: not counted.
    std::shared_ptr<memory::Budget> responseBudget = nullptr;
    /// What one of these holds while its caller doesn't read: chunks on both sides, and what the
    /// system has received from the server.
    std::size_t streamBytes = 0;
    /// Bodies from this size are passed on as `sharedBody` of the request, which copies of the
    /// request share. The memory is given back when the last of them is destroyed.
    std::size_t shareBodiesFrom = std::numeric_limits<std::size_t>::max();
    /// When this many are open, idle connections are closed for new ones; 0: no bound.
    std::size_t maxConnections = 0;
    /// Maximum size of what the system receives for a connection in advance; 0: as it sets it.
    std::size_t receiveBufferBytes = 0;
    /// Connections whose reading stops at the same time because the budget is used up; a further
    /// one is rejected at once.
    std::size_t maxPausedConnections = 64;
    /// Limits that are changed while the listener runs; they apply where they are lower.
    std::shared_ptr<const AdjustableLimits> adjustable = nullptr;
    /// For receiving the complete request header, counted from its first byte.
    core::Duration headerTimeout = std::chrono::seconds(5);
    /// For receiving the complete request body; extended by the time that what has arrived takes at
    /// `minBodyRate`.
    core::Duration bodyTimeout = std::chrono::seconds(15);
    std::size_t minBodyRate = 32 * 1024; ///< Bytes per second.
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
