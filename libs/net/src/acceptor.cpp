// Accept loop and connection set.
#include "amaranthdale/net/acceptor.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace amaranthdale::net {

namespace {

// Delay after a failed accept. The usual cause is file descriptor exhaustion, which persists until
// connections close; retrying immediately would busy-loop.
constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

bool ConnectionSet::add(const std::shared_ptr<Connection> &connection)
{
    std::lock_guard lock(this->mutex);
    if (this->shuttingDown && !this->onDrained)
        return false;
    this->connections.emplace(connection.get(), connection);
    return true;
}

bool ConnectionSet::isDraining() const
{
    std::lock_guard lock(this->mutex);
    return this->shuttingDown;
}

void ConnectionSet::remove(const Connection *connection)
{
    std::function<void()> callback;
    {
        std::lock_guard lock(this->mutex);
        this->connections.erase(connection);
        if (this->connections.empty())
            callback = std::exchange(this->onDrained, nullptr);
    }
    if (callback)
        callback();
}

void ConnectionSet::closeLongestIdle(std::size_t count)
{
    std::vector<std::pair<core::TimePoint, std::shared_ptr<Connection>>> idle;
    std::vector<std::shared_ptr<Connection>> open;
    {
        std::lock_guard lock(this->mutex);
        open.reserve(this->connections.size());
        for (const auto &[key, weak] : this->connections) {
            if (auto connection = weak.lock())
                open.push_back(std::move(connection));
        }
    }
    for (auto &connection : open) {
        if (const auto since = connection->idleSince())
            idle.emplace_back(*since, std::move(connection));
    }
    count = std::min(count, idle.size());
    std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(count), idle.end());
    for (std::size_t index = 0; index < count; ++index)
        idle[index].second->drain();
}

void ConnectionSet::closeAll()
{
    for (const auto &connection : this->beginShutdown())
        connection->close();
}

void ConnectionSet::drainAll(std::function<void()> drained)
{
    const auto open = this->beginShutdown();
    {
        std::lock_guard lock(this->mutex);
        if (!this->connections.empty())
            std::swap(this->onDrained, drained);
    }
    // The swap was skipped because no connection is open.
    if (drained)
        return drained();
    for (const auto &connection : open)
        connection->drain();
}

std::vector<std::shared_ptr<Connection>> ConnectionSet::beginShutdown()
{
    std::lock_guard lock(this->mutex);
    this->shuttingDown = true;
    std::vector<std::shared_ptr<Connection>> open;
    open.reserve(this->connections.size());
    for (const auto &[key, weak] : this->connections) {
        if (auto connection = weak.lock())
            open.push_back(std::move(connection));
    }
    return open;
}

Acceptor::Acceptor(boost::asio::io_context &ioContext, SocketHandler socketHandler)
    : context(ioContext), strand(boost::asio::make_strand(ioContext)), acceptor(this->strand),
      retryTimer(this->strand), handler(std::move(socketHandler))
{ }

core::Result<core::Endpoint> Acceptor::listen(const core::Endpoint &address,
                                              std::size_t receiveBufferBytes)
{
    BOOST_LEAF_AUTO(endpoint, toTcpEndpoint(address));
    ErrorCode error;
    this->acceptor.open(endpoint.protocol(), error);
    if (!error)
        this->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    // Connections inherit it from the listener. Set later, it would not bound what the system has
    // already offered to receive.
    if (!error && receiveBufferBytes > 0)
        this->acceptor.set_option(
                boost::asio::socket_base::receive_buffer_size(static_cast<int>(receiveBufferBytes)),
                error);
    if (!error)
        this->acceptor.bind(endpoint, error);
    if (!error)
        this->acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return core::fail(core::ErrorKind::Unavailable,
                          "failed to listen on " + core::formatEndpoint(address) + ": "
                                  + error.message() + "; free the port or configure another one");
    boost::asio::post(this->strand, [self = this->shared_from_this()] { self->acceptNext(); });
    return fromTcpEndpoint(this->acceptor.local_endpoint());
}

void Acceptor::stop()
{
    std::lock_guard lock(this->mutex);
    ErrorCode ignored; // The descriptor is released even when closing reports an error.
    this->acceptor.close(ignored);
    this->retryTimer.cancel();
}

void Acceptor::drainBacklog()
{
    std::vector<Socket> waiting;
    {
        std::lock_guard lock(this->mutex);
        ErrorCode error;
        this->acceptor.non_blocking(true, error);
        while (!error) {
            Socket socket(boost::asio::make_strand(this->context));
            this->acceptor.accept(socket, error);
            if (!error)
                waiting.push_back(std::move(socket));
        }
    }
    for (Socket &socket : waiting) {
        tuneSocket(socket);
        this->handler(std::move(socket));
    }
}

void Acceptor::acceptNext()
{
    std::lock_guard lock(this->mutex);
    if (!this->acceptor.is_open())
        return;
    this->acceptor.async_accept(
            boost::asio::make_strand(this->context),
            [self = this->shared_from_this()](const ErrorCode &error, Socket socket) {
                self->onAccepted(error, std::move(socket));
            });
}

void Acceptor::onAccepted(const ErrorCode &error, Socket socket)
{
    if (!error) {
        tuneSocket(socket);
        this->handler(std::move(socket));
        return this->acceptNext();
    }
    std::lock_guard lock(this->mutex);
    if (!this->acceptor.is_open())
        return;
    this->retryTimer.expires_after(acceptRetryDelay);
    this->retryTimer.async_wait(
            [self = this->shared_from_this()](const ErrorCode &) { self->acceptNext(); });
}

} // namespace amaranthdale::net
