// Connection pool and request queue of the HTTP/1.1 client.
#pragma once

#include "client_exchange.h"

#include "amaranthdale/http/backend_client.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace amaranthdale::http {

/// Assigns requests to connections. Thread-safe. The mutex is a leaf lock: no handler is called and
/// no I/O is started while it is held.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
    ConnectionPool(boost::asio::io_context &ioContext, ClientLimits clientLimits)
        : context(ioContext), limits(clientLimits)
    { }

    /// Assigns the exchange to an idle or new connection, or queues it when the endpoint has
    /// reached its connection limit.
    void submit(const std::shared_ptr<ClientExchange> &exchange);

    /// Returns a connection to the pool after its exchange. `next` is the next queued exchange,
    /// which is now assigned to it, or null when the connection is idle or the pool closed. Returns
    /// false if the next exchange needs a new connection; the caller then closes this one and
    /// reports it to `removeBusy`.
    bool release(const std::shared_ptr<ClientConnection> &connection,
                 std::shared_ptr<ClientExchange> &next);

    /// Removes an idle connection that was closed. Returns false when an exchange has already been
    /// assigned to it; the connection must then reconnect.
    bool removeIdle(const std::shared_ptr<ClientConnection> &connection);

    /// Removes a connection that closed with its exchange, and starts a replacement when requests
    /// are queued.
    void removeBusy(const std::shared_ptr<ClientConnection> &connection);

    void cancel(const std::shared_ptr<ClientExchange> &exchange);

    /// Fails the exchange if it is queued.
    void withdraw(const std::shared_ptr<ClientExchange> &exchange);

    /// Fails all exchanges and closes all connections. Later submissions fail.
    void closeAll();

    boost::asio::io_context &context;
    const ClientLimits limits;

private:
    struct EndpointState
    {
        // Most recently used last. Invariant: each is counted in `openCount`.
        std::vector<std::shared_ptr<ClientConnection>> idle;
        std::size_t openCount = 0; // At most limits.maxConnectionsPerEndpoint.
        // Of the bodies under way. Exceeds limits.maxBodyBytesPerEndpoint only by a single one.
        std::size_t bodyBytes = 0;
        // Invariant: no exchange whose body fits waits while `idle` isn't empty.
        std::deque<std::shared_ptr<ClientExchange>> queue;
    };

    // Exchanges to be started on their connections once the mutex is released.
    using Started = std::vector<
            std::pair<std::shared_ptr<ClientConnection>, std::shared_ptr<ClientExchange>>>;

    std::shared_ptr<ClientConnection> acquireConnection(EndpointState &state,
                                                        const ClientExchange &exchange);
    std::shared_ptr<ClientConnection> takeIdle(EndpointState &state);
    static void addIdle(EndpointState &state, std::shared_ptr<ClientConnection> connection);
    void closeLongestIdle();
    void enqueue(EndpointState &state, const std::shared_ptr<ClientExchange> &exchange);
    std::shared_ptr<ClientExchange> dequeue(EndpointState &state);
    bool fits(const EndpointState &state, const ClientExchange &exchange) const;
    const ClientExchange *nextFitting(const EndpointState &state) const;
    void assign(EndpointState &state, const std::shared_ptr<ClientExchange> &exchange,
                const std::shared_ptr<ClientConnection> &connection);
    static void unassign(EndpointState &state, ClientConnection &connection);
    Started assignQueued(EndpointState &state);
    static void start(const Started &assigned);
    bool removeQueued(const std::shared_ptr<ClientExchange> &exchange);
    void unregister(EndpointState &state, const ClientConnection *connection);
    void postFailure(const std::shared_ptr<ClientExchange> &exchange, std::string message);

    std::mutex mutex;
    bool closed = false;
    std::map<core::Endpoint, EndpointState> endpoints;
    std::unordered_map<const ClientConnection *, std::weak_ptr<ClientConnection>> connections;
};

} // namespace amaranthdale::http
