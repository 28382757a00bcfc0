// TCP proxy that injects faults, and the HTTP handler of its control port.
#pragma once

#include "amaranthdale/core/message.h"
#include "fault_proxy/proxy_connection.h"

#include <boost/asio/io_context.hpp>

#include <vector>

namespace amaranthdale::tools {

class Proxy : public core::RequestHandler
{
public:
    /// Throws boost::system::system_error if `listen` can't be bound.
    Proxy(boost::asio::io_context &context, clock::Clock &clock, const core::Endpoint &listen,
          const core::Endpoint &target);

    core::Endpoint localEndpoint() const;

    /// Accepts connections until the context stops.
    void accept();

    /// Serves `/control`.
    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override;

private:
    using Tcp = boost::asio::ip::tcp;
    using Connections = std::vector<std::weak_ptr<ProxyConnection>>;

    void onAccept(Tcp::socket socket);
    core::HttpResponse control(const core::HttpRequest &request);

    boost::asio::io_context &context;
    clock::Clock &clock;
    Tcp::acceptor acceptor;
    const Tcp::endpoint target;
    SharedFaults faults;
    tables::Guarded<Connections> connections;
};

} // namespace amaranthdale::tools
