// Kept connections and waiting requests of the HTTP/1.1 client.
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

/// Hands requests to connections. Thread-safe. The lock is a leaf: no handler is called and no I/O
/// is started under it.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
    ConnectionPool(boost::asio::io_context &ioContext, ClientLimits clientLimits)
        : context(ioContext), limits(clientLimits)
    { }

    /// Gives the exchange to an idle or new connection, or queues it.
    void submit(const std::shared_ptr<ClientExchange> &exchange);

    /// Takes back a connection that finished its exchange. Returns the next exchange for it, or
    /// null when it is idle now.
    std::shared_ptr<ClientExchange> release(const std::shared_ptr<ClientConnection> &connection);

    /// Removes an idle connection that the other side closed. Returns false when an exchange is
    /// already on its way to it; the connection then opens anew.
    bool removeIdle(const std::shared_ptr<ClientConnection> &connection);

    /// Removes a connection that ended with its exchange.
    void removeBusy(const std::shared_ptr<ClientConnection> &connection);

    void cancel(const std::shared_ptr<ClientExchange> &exchange);

    /// Fails all exchanges and closes all connections.
    void closeAll();

    boost::asio::io_context &context;
    const ClientLimits limits;

private:
    struct EndpointState
    {
        // Most recently used last. Invariant: each is counted in `open`.
        std::vector<std::shared_ptr<ClientConnection>> idle;
        std::size_t open = 0; // Connections, at most limits.connectionsPerEndpoint.
        std::deque<std::shared_ptr<ClientExchange>> waiting; // Empty while a connection is idle.
    };

    std::shared_ptr<ClientConnection> takeConnection(EndpointState &state,
                                                     const core::Endpoint &endpoint);
    void enqueue(EndpointState &state, const std::shared_ptr<ClientExchange> &exchange);
    std::shared_ptr<ClientExchange> takeWaiting(EndpointState &state);
    bool removeWaiting(const std::shared_ptr<ClientExchange> &exchange);
    void forget(EndpointState &state, const ClientConnection *connection);
    void failLater(const std::shared_ptr<ClientExchange> &exchange, std::string message);

    std::mutex mutex;
    bool closed = false;
    std::map<core::Endpoint, EndpointState> endpoints;
    std::unordered_map<const ClientConnection *, std::weak_ptr<ClientConnection>> connections;
};

} // namespace amaranthdale::http
