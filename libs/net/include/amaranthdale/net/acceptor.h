// Accepts connections and keeps track of those that are open, for both kinds of listener.
#pragma once

#include "amaranthdale/net/socket.h"

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace amaranthdale::net {

/// A connection that a listener accepted. Both functions may be called from any thread.
class Connection
{
public:
    virtual ~Connection() = default;

    /// Closes now, whatever is in progress.
    virtual void close() = 0;

    /// Finishes the requests in progress, then closes.
    virtual void drain() = 0;
};

/// The open connections of one listener. Thread-safe. The lock is a leaf: nothing is called under
/// it.
class ConnectionSet
{
public:
    /// Enters a connection. Returns false when the set was told to close or drain.
    bool add(const std::shared_ptr<Connection> &connection);

    /// Removes a connection that has closed.
    void remove(const Connection *connection);

    void closeAll();

    /// Drains all connections and calls `drained` when none remains.
    void drainAll(std::function<void()> drained);

private:
    std::vector<std::shared_ptr<Connection>> current();

    std::mutex mutex;
    bool ending = false;
    std::function<void()> whenEmpty;
    std::unordered_map<const Connection *, std::weak_ptr<Connection>> connections;
};

/// Accepts on one address until it is stopped.
class Acceptor : public std::enable_shared_from_this<Acceptor>
{
public:
    using SocketHandler = std::function<void(Socket)>;

    Acceptor(boost::asio::io_context &ioContext, SocketHandler socketHandler);

    /// Fails with Unavailable when the address can't be bound.
    core::Result<core::Endpoint> listen(const core::Endpoint &address);

    /// Accepts no further connection. Thread-safe.
    void stop();

private:
    void acceptNext();
    void onAccepted(const ErrorCode &error, Socket socket);

    boost::asio::io_context &context;
    Strand strand;
    boost::asio::basic_socket_acceptor<Tcp, Strand> acceptor;
    boost::asio::steady_timer retryTimer;
    SocketHandler handler;
};

} // namespace amaranthdale::net
