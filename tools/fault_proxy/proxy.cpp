// TCP proxy that injects faults.
#include "fault_proxy/proxy.h"

#include "common/replies.h"

namespace amaranthdale::tools {

namespace {

boost::asio::ip::tcp::endpoint toAsio(const core::Endpoint &endpoint)
{
    return {boost::asio::ip::make_address(endpoint.address), endpoint.port};
}

} // namespace

Proxy::Proxy(boost::asio::io_context &ioContext, clock::Clock &timeSource,
             const core::Endpoint &listen, const core::Endpoint &targetEndpoint)
    : context(ioContext), clock(timeSource), acceptor(ioContext, toAsio(listen)),
      target(toAsio(targetEndpoint)), faults(tables::LockRank::Configuration),
      connections(tables::LockRank::BackendServers)
{ }

core::Endpoint Proxy::localEndpoint() const
{
    const auto endpoint = this->acceptor.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

void Proxy::accept()
{
    this->acceptor.async_accept(boost::asio::make_strand(this->context),
                                [this](const ErrorCode &error, Tcp::socket socket) {
                                    if (error == boost::asio::error::operation_aborted)
                                        return;
                                    if (!error)
                                        this->onAccept(std::move(socket));
                                    this->accept();
                                });
}

void Proxy::onAccept(Tcp::socket socket)
{
    ErrorCode ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    const auto connection =
            std::make_shared<ProxyConnection>(std::move(socket), this->clock, this->faults);
    this->connections.with([&connection](Connections &list) {
        std::erase_if(list, [](const auto &each) { return each.expired(); });
        list.push_back(connection);
    });
    connection->start(this->target);
}

std::shared_ptr<core::Exchange> Proxy::handle(core::HttpRequest request,
                                              core::ResponseHandler respond)
{
    const bool known = request.target == "/control";
    respond(known ? this->control(request)
                  : replyError(statusNotFound, "no such resource; see /control"));
    return nullptr;
}

core::HttpResponse Proxy::control(const core::HttpRequest &request)
{
    ProxyControlRequest update;
    update.faults = this->faults.with([](ProxyFaults &shared) { return shared; });
    if (request.method != "PUT")
        return replyJson(statusOk, toJson(update.faults));
    auto fault = readJsonBody(request.body,
                              [&update](auto &reader) { readControlRequest(reader, update); });
    if (fault)
        return std::move(*fault);
    this->faults.with([&update](ProxyFaults &shared) { shared = update.faults; });
    const Connections openConnections =
            this->connections.with([](Connections &list) { return list; });
    for (const auto &weak : openConnections) {
        const auto connection = weak.lock();
        if (connection && update.reset)
            connection->reset();
        else if (connection)
            connection->onFaultsChanged();
    }
    return replyJson(statusOk, toJson(update.faults));
}

} // namespace amaranthdale::tools
