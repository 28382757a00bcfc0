// TCP acceptor and the set of open connections, shared by the HTTP/1.1 and peer listeners.
#pragma once

#include "amaranthdale/net/socket.h"

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace amaranthdale::net {

/// A connection accepted by a listener. Thread-safe.
class Connection
{
public:
    virtual ~Connection() = default;

    /// Closes immediately and aborts requests in progress.
    virtual void close() = 0;

    /// Closes once the requests in progress have completed.
    virtual void drain() = 0;

    /// Time since which no request has been in progress or arriving; nothing if one is.
    virtual std::optional<core::TimePoint> idleSince() const { return std::nullopt; }
};

/// The open connections of one listener. Thread-safe. The mutex is a leaf lock: no callback or
/// connection method is called while it is held.
class ConnectionSet
{
public:
    /// Adds a connection. Returns false after `closeAll`, and after the end of a drain. During a
    /// drain, the caller has to drain the connection once it is started.
    bool add(const std::shared_ptr<Connection> &connection);

    /// True after `closeAll` or `drainAll`.
    bool isDraining() const;

    /// Removes a closed connection. The last removal completes a drain.
    void remove(const Connection *connection);

    /// Closes up to `count` idle connections, those first that have been idle for longest. One that
    /// gets a request in the meantime serves it first.
    void closeLongestIdle(std::size_t count);

    void closeAll();

    /// Drains all connections and calls `drained` once none is left, possibly before returning.
    void drainAll(std::function<void()> drained);

private:
    // Rejects further connections and returns those that are open.
    std::vector<std::shared_ptr<Connection>> beginShutdown();

    mutable std::mutex mutex;
    bool shuttingDown = false;
    std::function<void()> onDrained; // Set while a drain waits for the last removal.
    std::unordered_map<const Connection *, std::weak_ptr<Connection>> connections;
};

/// Accepts connections on one address until stopped.
class Acceptor : public std::enable_shared_from_this<Acceptor>
{
public:
    using SocketHandler = std::function<void(Socket)>;

    Acceptor(boost::asio::io_context &ioContext, SocketHandler socketHandler);

    /// Binds the address and returns it with the actual port. Fails with InvalidArgument when it is
    /// not an IP address, with Unavailable when it can't be bound.
    /// Accepted connections have a receive buffer of `receiveBufferBytes`; 0: as the system sets
    /// it.
    core::Result<core::Endpoint> listen(const core::Endpoint &address,
                                        std::size_t receiveBufferBytes = 0);

    /// Closes the acceptor before it returns: later connections are refused. A connection that was
    /// accepted before may still reach the handler. Thread-safe.
    void stop();

    /// Passes the connections that wait in the listen queue to the handler. To be called before
    /// `stop`, which resets them. Thread-safe.
    void drainBacklog();

private:
    void acceptNext();
    void onAccepted(const ErrorCode &error, Socket socket);

    boost::asio::io_context &context;
    Strand strand;
    std::mutex mutex; // Guards acceptor and retryTimer; a leaf lock, not held during the handler.
    boost::asio::basic_socket_acceptor<Tcp, Strand> acceptor;
    boost::asio::steady_timer retryTimer;
    SocketHandler handler;
};

} // namespace amaranthdale::net
