// The HTTP/1.1 listener.
#include "amaranthdale/http/server.h"

#include "server_connection.h"

namespace amaranthdale::http {

namespace {

class Server : public core::HttpListener
{
public:
    Server(boost::asio::io_context &context, core::RequestHandler &handler, ServerLimits limits)
        : shared(std::make_shared<ServerShared>(handler, limits)),
          acceptor(std::make_shared<net::Acceptor>(context, [target = this->shared](auto socket) {
              acceptConnection(target, std::move(socket));
          }))
    { }

    ~Server() override
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
    static void acceptConnection(const std::shared_ptr<ServerShared> &target, net::Socket socket)
    {
        auto connection = std::make_shared<ServerConnection>(std::move(socket), target);
        if (target->connections.add(connection))
            connection->start();
    }

    const std::shared_ptr<ServerShared> shared;
    const std::shared_ptr<net::Acceptor> acceptor;
    core::Endpoint bound;
};

} // namespace

core::Result<std::unique_ptr<core::HttpListener>> makeHttpServer(boost::asio::io_context &context,
                                                                 const core::Endpoint &address,
                                                                 core::RequestHandler &handler,
                                                                 ServerLimits limits)
{
    auto server = std::make_unique<Server>(context, handler, limits);
    BOOST_LEAF_CHECK(server->listen(address));
    return std::unique_ptr<core::HttpListener>(std::move(server));
}

} // namespace amaranthdale::http
