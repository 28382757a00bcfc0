// HTTP/1.1 server.
#include "amaranthdale/http/server.h"

#include "server_connection.h"

namespace amaranthdale::http {

namespace {

void acceptConnection(const std::shared_ptr<ServerContext> &serverContext, net::Socket socket)
{
    auto connection = std::make_shared<ServerConnection>(std::move(socket), serverContext);
    if (!serverContext->connections.add(connection))
        return;
    connection->start();
    if (serverContext->connections.isDraining())
        connection->drain();
}

} // namespace

core::Result<std::unique_ptr<core::HttpListener>> makeHttpServer(boost::asio::io_context &context,
                                                                 const core::Endpoint &address,
                                                                 core::RequestHandler &handler,
                                                                 ServerLimits limits)
{
    auto server = std::make_unique<net::Listener<ServerLimits>>(context, handler, limits,
                                                                &acceptConnection);
    BOOST_LEAF_CHECK(server->listen(address));
    return std::unique_ptr<core::HttpListener>(std::move(server));
}

} // namespace amaranthdale::http
