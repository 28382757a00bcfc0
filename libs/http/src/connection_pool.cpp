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
            if (this->fits(state, *exchange))
                connection = this->acquireConnection(state, *exchange);
            if (connection)
                this->assign(state, exchange, connection);
            else
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
    if (this->connections.size() >= this->limits.maxConnections)
        this->closeLongestIdle();
    ++state.openCount;
    auto connection =
            std::make_shared<ClientConnection>(this->shared_from_this(), exchange.remoteEndpoint);
    this->connections.emplace(connection.get(), connection);
    return connection;
}

void ConnectionPool::addIdle(EndpointState &state, std::shared_ptr<ClientConnection> connection)
{
    connection->idleSince = net::Deadline::now();
    state.idle.push_back(std::move(connection));
}

void ConnectionPool::closeLongestIdle()
{
    EndpointState *found = nullptr;
    for (auto &[endpoint, state] : this->endpoints) {
        if (!state.idle.empty()
            && (!found || state.idle.front()->idleSince < found->idle.front()->idleSince))
            found = &state;
    }
    if (!found)
        return;
    const auto connection = std::move(found->idle.front());
    found->idle.erase(found->idle.begin());
    this->unregister(*found, connection.get());
    connection->close();
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

// Removes the first exchange whose body fits.
std::shared_ptr<ClientExchange> ConnectionPool::dequeue(EndpointState &state)
{
    const auto found =
            std::find_if(state.queue.begin(), state.queue.end(),
                         [&](const auto &exchange) { return this->fits(state, *exchange); });
    if (found == state.queue.end())
        return nullptr;
    auto exchange = std::move(*found);
    state.queue.erase(found);
    exchange->waitTimer.reset();
    return exchange;
}

const ClientExchange *ConnectionPool::nextFitting(const EndpointState &state) const
{
    const auto found =
            std::find_if(state.queue.begin(), state.queue.end(),
                         [&](const auto &exchange) { return this->fits(state, *exchange); });
    return found == state.queue.end() ? nullptr : found->get();
}

bool ConnectionPool::fits(const EndpointState &state, const ClientExchange &exchange) const
{
    const std::size_t limit = this->limits.maxBodyBytesPerEndpoint;
    const std::size_t size = exchange.bodyText().size();
    return size == 0 || state.bodyBytes == 0
            || (state.bodyBytes <= limit && size <= limit - state.bodyBytes);
}

void ConnectionPool::assign(EndpointState &state, const std::shared_ptr<ClientExchange> &exchange,
                            const std::shared_ptr<ClientConnection> &connection)
{
    exchange->connection = connection;
    connection->assignedBodyBytes = exchange->bodyText().size();
    state.bodyBytes += connection->assignedBodyBytes;
}

void ConnectionPool::unassign(EndpointState &state, ClientConnection &connection)
{
    state.bodyBytes -= std::exchange(connection.assignedBodyBytes, 0);
}

// Assigns queued exchanges while their bodies fit and connections are available.
ConnectionPool::Started ConnectionPool::assignQueued(EndpointState &state)
{
    Started assigned;
    while (const ClientExchange *next = this->nextFitting(state)) {
        const auto connection = this->acquireConnection(state, *next);
        if (!connection)
            break;
        const auto exchange = this->dequeue(state);
        this->assign(state, exchange, connection);
        assigned.emplace_back(connection, exchange);
    }
    return assigned;
}

void ConnectionPool::start(const Started &assigned)
{
    for (const auto &[connection, exchange] : assigned)
        connection->start(exchange);
}

bool ConnectionPool::release(const std::shared_ptr<ClientConnection> &connection,
                             std::shared_ptr<ClientExchange> &next)
{
    Started others;
    {
        std::lock_guard lock(this->mutex);
        if (this->closed)
            return true;
        EndpointState &state = this->endpoints[connection->endpoint()];
        unassign(state, *connection);
        if (const ClientExchange *first = this->nextFitting(state); first && first->newConnection)
            return false;
        next = this->dequeue(state);
        if (next)
            this->assign(state, next, connection);
        else
            addIdle(state, connection);
        // More than one may have waited for the body that is now complete.
        if (!state.queue.empty())
            others = this->assignQueued(state);
    }
    start(others);
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
    Started assigned;
    {
        std::lock_guard lock(this->mutex);
        EndpointState &state = this->endpoints[connection->endpoint()];
        unassign(state, *connection);
        this->unregister(state, connection.get());
        // No connection is available if this one made room for another one before it closed.
        if (!this->closed)
            assigned = this->assignQueued(state);
    }
    start(assigned);
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

void ConnectionPool::withdraw(const std::shared_ptr<ClientExchange> &exchange)
{
    if (this->removeQueued(exchange))
        this->postFailure(exchange, "the request was withdrawn before it was sent");
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
            for (auto &exchange : state.queue) {
                exchange->waitTimer.reset();
                queued.push_back(std::move(exchange));
            }
            state.queue.clear();
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

void ClientExchange::withdraw()
{
    if (const auto owner = this->pool.lock())
        owner->withdraw(this->shared_from_this());
}

} // namespace amaranthdale::http
