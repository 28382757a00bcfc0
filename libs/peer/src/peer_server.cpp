// HTTP/2 listener for peers.
#include "server_stream.h"

#include <boost/asio/post.hpp>

namespace amaranthdale::peer {

namespace {

class ServerSession : public Http2Session
{
public:
    ServerSession(net::Socket connectedSocket, std::shared_ptr<ServerShared> serverShared)
        : Http2Session(std::move(connectedSocket), Role::Server, serverShared->limits),
          shared(std::move(serverShared))
    { }

    std::shared_ptr<net::Connection> connection; ///< Entry in the listener's set of connections.

protected:
    std::shared_ptr<Stream> acceptStream() override
    {
        return std::make_shared<ServerStream>(this->shared, this->strand());
    }

    void onClosed() override { this->shared->connections.remove(this->connection.get()); }

private:
    const std::shared_ptr<ServerShared> shared;
};

// Handle through which the listener closes or drains a session; thread-safe.
class SessionConnection : public net::Connection
{
public:
    explicit SessionConnection(const std::shared_ptr<ServerSession> &serverSession)
        : session(serverSession)
    { }

    void close() override
    {
        this->post([](ServerSession &target) { target.close(); });
    }

    void drain() override
    {
        this->post([](ServerSession &target) { target.startGracefulShutdown(); });
    }

private:
    template<class Function>
    void post(Function function)
    {
        if (const auto target = this->session.lock())
            boost::asio::post(target->strand(), [target, function] { function(*target); });
    }

    const std::weak_ptr<ServerSession> session;
};

void acceptSession(const std::shared_ptr<ServerShared> &shared, net::Socket socket)
{
    auto session = std::make_shared<ServerSession>(std::move(socket), shared);
    session->connection = std::make_shared<SessionConnection>(session);
    if (!shared->connections.add(session->connection))
        return;
    boost::asio::post(session->strand(), [session] {
        if (session->isOpen())
            session->start();
    });
    if (shared->connections.isDraining())
        session->connection->drain();
}

} // namespace

core::Result<std::unique_ptr<core::HttpListener>> makePeerServer(boost::asio::io_context &context,
                                                                 const core::Endpoint &address,
                                                                 core::RequestHandler &handler,
                                                                 SessionLimits limits)
{
    auto server = std::make_unique<net::Listener<SessionLimits>>(context, handler, limits,
                                                                 &acceptSession);
    BOOST_LEAF_CHECK(server->listen(address));
    return std::unique_ptr<core::HttpListener>(std::move(server));
}

} // namespace amaranthdale::peer
