// Assigns requests to connections within the limit of each endpoint.
#include "connection_pool.h"

#include "client_connection.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace amaranthdale::http {

void ConnectionPool::submit(const std::shared_ptr<ClientExchange> &exchange)
{
    std::shared_ptr<ClientConnection> connection;
    bool poolClosed = false;
    {
        std::lock_guard lock(this->mutex);
        poolClosed = this->closed;
        if (!poolClosed) {
            EndpointState &state = this->endpoints[exchange->remoteEndpoint];
            connection = this->acquireConnection(state, *exchange);
            exchange->connection = connection;
            if (!connection)
                this->enqueue(state, exchange);
        }
    }
    if (poolClosed)
        this->postFailure(exchange, "the client has been shut down");
    else if (connection)
        connection->start(exchange);
}

std::shared_ptr<ClientConnection> ConnectionPool::takeIdle(EndpointState &state)
{
    if (state.idle.empty())
        return nullptr;
    auto connection = std::move(state.idle.back());
    state.idle.pop_back();
    return connection;
}

std::shared_ptr<ClientConnection> ConnectionPool::acquireConnection(EndpointState &state,
                                                                    const ClientExchange &exchange)
{
    const bool isFull = state.openCount >= this->limits.maxConnectionsPerEndpoint;
    if (!exchange.newConnection || isFull) {
        auto connection = this->takeIdle(state);
        if (connection && !exchange.newConnection)
            return connection;
        if (connection) {
            this->unregister(state, connection.get());
            connection->close();
        } else if (isFull) {
            return nullptr;
        }
    }
    ++state.openCount;
    auto connection =
            std::make_shared<ClientConnection>(this->shared_from_this(), exchange.remoteEndpoint);
    this->connections.emplace(connection.get(), connection);
    return connection;
}

void ConnectionPool::enqueue(EndpointState &state, const std::shared_ptr<ClientExchange> &exchange)
{
    state.queue.push_back(exchange);
    exchange->waitTimer.emplace(this->context, exchange->expiresAt);
    exchange->waitTimer->async_wait([weak = this->weak_from_this(),
                                     exchange](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (error || !self || !self->removeQueued(exchange))
            return;
        exchange->finish(core::Error{core::ErrorKind::Unavailable,
                                     "timed out waiting for a free connection to "
                                             + core::formatEndpoint(exchange->remoteEndpoint)
                                             + "; consider raising the connection limit"});
    });
}

std::shared_ptr<ClientExchange> ConnectionPool::dequeue(EndpointState &state)
{
    if (state.queue.empty())
        return nullptr;
    auto exchange = std::move(state.queue.front());
    state.queue.pop_front();
    exchange->waitTimer.reset();
    return exchange;
}

bool ConnectionPool::release(const std::shared_ptr<ClientConnection> &connection,
                             std::shared_ptr<ClientExchange> &next)
{
    std::lock_guard lock(this->mutex);
    if (this->closed)
        return true;
    EndpointState &state = this->endpoints[connection->endpoint()];
    if (!state.queue.empty() && state.queue.front()->newConnection)
        return false;
    next = this->dequeue(state);
    if (next)
        next->connection = connection;
    else
        state.idle.push_back(connection);
    return true;
}

bool ConnectionPool::removeIdle(const std::shared_ptr<ClientConnection> &connection)
{
    std::lock_guard lock(this->mutex);
    EndpointState &state = this->endpoints[connection->endpoint()];
    if (std::erase(state.idle, connection) == 0)
        return this->closed;
    this->unregister(state, connection.get());
    return true;
}

void ConnectionPool::removeBusy(const std::shared_ptr<ClientConnection> &connection)
{
    std::shared_ptr<ClientExchange> exchange;
    std::shared_ptr<ClientConnection> replacement;
    {
        std::lock_guard lock(this->mutex);
        EndpointState &state = this->endpoints[connection->endpoint()];
        this->unregister(state, connection.get());
        if (!this->closed && !state.queue.empty())
            replacement = this->acquireConnection(state, *state.queue.front());
        // None is available if this connection made room for another one before it closed.
        if (replacement) {
            exchange = this->dequeue(state);
            exchange->connection = replacement;
        }
    }
    if (replacement)
        replacement->start(exchange);
}

void ConnectionPool::unregister(EndpointState &state, const ClientConnection *connection)
{
    if (this->connections.erase(connection) > 0)
        --state.openCount;
}

bool ConnectionPool::removeQueued(const std::shared_ptr<ClientExchange> &exchange)
{
    std::lock_guard lock(this->mutex);
    if (std::erase(this->endpoints[exchange->remoteEndpoint].queue, exchange) == 0)
        return false;
    exchange->waitTimer.reset();
    return true;
}

void ConnectionPool::cancel(const std::shared_ptr<ClientExchange> &exchange)
{
    if (this->removeQueued(exchange))
        return this->postFailure(exchange, "the request was cancelled before it was sent");
    std::shared_ptr<ClientConnection> connection;
    {
        std::lock_guard lock(this->mutex);
        connection = exchange->connection.lock();
    }
    if (connection)
        connection->cancel(exchange);
}

void ConnectionPool::closeAll()
{
    std::vector<std::shared_ptr<ClientConnection>> open;
    std::vector<std::shared_ptr<ClientExchange>> queued;
    {
        std::lock_guard lock(this->mutex);
        this->closed = true;
        for (const auto &[key, weak] : this->connections) {
            if (auto connection = weak.lock())
                open.push_back(std::move(connection));
        }
        for (auto &[endpoint, state] : this->endpoints) {
            state.idle.clear();
            while (auto exchange = this->dequeue(state))
                queued.push_back(std::move(exchange));
        }
    }
    for (const auto &exchange : queued)
        this->postFailure(exchange, "the client was shut down before the request was sent");
    for (const auto &connection : open)
        connection->close();
}

void ConnectionPool::postFailure(const std::shared_ptr<ClientExchange> &exchange,
                                 std::string message)
{
    boost::asio::post(this->context, [exchange, message = std::move(message)] {
        exchange->finish(core::Error{core::ErrorKind::Unavailable, message});
    });
}

void ClientExchange::cancel()
{
    if (const auto owner = this->pool.lock())
        owner->cancel(this->shared_from_this());
}

} // namespace amaranthdale::http
