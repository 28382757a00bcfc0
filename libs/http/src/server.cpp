// HTTP/1.1 server.
#include "amaranthdale/http/server.h"

#include "server_connection.h"

namespace amaranthdale::http {

namespace {

// Part of the bound at which idle connections start to be closed. They close asynchronously, and
// closing several at once keeps the cost of finding them low.
constexpr std::size_t idleBatchDivisor = 16;

// Returns false if no further connection may be opened.
bool makeRoom(ServerContext &context)
{
    const std::size_t bound = context.limits.maxConnections;
    const std::size_t open = bound == 0 ? 0 : context.openConnections.load();
    const std::size_t batch = bound / idleBatchDivisor + 1;
    if (open + batch < bound || bound == 0)
        return true;
    context.connections.closeLongestIdle(batch);
    context.limits.budget->evictStalled(1, net::Deadline::now() - stallTime);
    return open < bound;
}

void acceptConnection(const std::shared_ptr<ServerContext> &serverContext, net::Socket socket)
{
    if (!makeRoom(*serverContext))
        return;
    auto connection = std::make_shared<ServerConnection>(std::move(socket), serverContext);
    if (!serverContext->connections.add(connection))
        return;
    connection->start();
    if (serverContext->connections.isDraining())
        connection->drain();
}

} // namespace

void AdjustableLimits::set(std::size_t maxHeader, std::size_t maxBody, core::Duration headerTimeout,
                           core::Duration idleTimeout)
{
    this->headerBytes = maxHeader;
    this->bodyBytes = maxBody;
    this->headerTime = headerTimeout;
    this->idleTime = idleTimeout;
}

core::Result<std::unique_ptr<core::HttpListener>> makeHttpServer(boost::asio::io_context &context,
                                                                 const core::Endpoint &address,
                                                                 core::RequestHandler &handler,
                                                                 ServerLimits limits)
{
    if (!limits.budget) {
        memory::BudgetLimits budget;
        budget.bytes = limits.maxTotalBodyBytes;
        budget.singleHoldBytes = std::numeric_limits<std::size_t>::max();
        limits.budget = std::make_shared<memory::Budget>(budget);
    }
    auto server = std::make_unique<net::Listener<ServerLimits>>(context, handler, limits,
                                                                &acceptConnection);
    BOOST_LEAF_CHECK(server->listen(address, limits.receiveBufferBytes));
    return std::unique_ptr<core::HttpListener>(std::move(server));
}

} // namespace amaranthdale::http
