// The HTTP/2 listener for peers.
#include "server_stream.h"

#include <boost/asio/post.hpp>

namespace amaranthdale::peer {

namespace {

class ServerSession : public FrameSession
{
public:
    ServerSession(net::Socket connectedSocket, std::shared_ptr<ServerShared> serverShared)
        : FrameSession(std::move(connectedSocket), Role::Server, serverShared->limits),
          shared(std::move(serverShared))
    { }

    std::shared_ptr<net::Connection> connection; ///< Its entry in the listener's set.

protected:
    std::shared_ptr<Stream> acceptStream() override
    {
        return std::make_shared<ServerStream>(this->shared, this->strand());
    }

    void onClosed() override { this->shared->connections.remove(this->connection.get()); }

private:
    const std::shared_ptr<ServerShared> shared;
};

// The listener's view of a session, usable from any thread.
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
        this->post([](ServerSession &target) { target.finishStreams(); });
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

class PeerServer : public core::HttpListener
{
public:
    PeerServer(boost::asio::io_context &context, core::RequestHandler &handler,
               SessionLimits limits)
        : shared(std::make_shared<ServerShared>(handler, limits)),
          acceptor(std::make_shared<net::Acceptor>(context, [target = this->shared](auto socket) {
              acceptSession(target, std::move(socket));
          }))
    { }

    ~PeerServer() override
    {
        this->acceptor->stop();
        this->shared->connections.closeAll();
        this->shared->gate.close();
    }

    core::Result<void> listen(const core::Endpoint &address)
    {
        BOOST_LEAF_ASSIGN(this->bound, this->acceptor->listen(address));
        return {};
    }

    core::Endpoint localEndpoint() const override { return this->bound; }

    void drain(std::function<void()> drained) override
    {
        this->acceptor->stop();
        this->shared->connections.drainAll(std::move(drained));
    }

private:
    static void acceptSession(const std::shared_ptr<ServerShared> &target, net::Socket socket)
    {
        auto session = std::make_shared<ServerSession>(std::move(socket), target);
        session->connection = std::make_shared<SessionConnection>(session);
        if (!target->connections.add(session->connection))
            return;
        boost::asio::post(session->strand(), [session] {
            if (session->isOpen())
                session->start();
        });
    }

    const std::shared_ptr<ServerShared> shared;
    const std::shared_ptr<net::Acceptor> acceptor;
    core::Endpoint bound;
};

} // namespace

core::Result<std::unique_ptr<core::HttpListener>> makePeerServer(boost::asio::io_context &context,
                                                                 const core::Endpoint &address,
                                                                 core::RequestHandler &handler,
                                                                 SessionLimits limits)
{
    auto server = std::make_unique<PeerServer>(context, handler, limits);
    BOOST_LEAF_CHECK(server->listen(address));
    return std::unique_ptr<core::HttpListener>(std::move(server));
}

} // namespace amaranthdale::peer
