// HTTP/1.1 client for backend servers and the platform's services.
#include "amaranthdale/http/backend_client.h"

#include "connection_pool.h"
#include "header_text.h"

#include "amaranthdale/net/deadline.h"

#include <boost/asio/post.hpp>

namespace amaranthdale::http {

namespace {

class BackendClient : public core::HttpSender
{
public:
    BackendClient(boost::asio::io_context &context, ClientLimits limits)
        : pool(std::make_shared<ConnectionPool>(context, limits))
    { }

    ~BackendClient() override { this->pool->closeAll(); }

    std::shared_ptr<core::Exchange> send(const core::Endpoint &to, core::HttpRequest request,
                                         core::Duration timeout,
                                         core::ResponseHandler handler) override
    {
        auto exchange = std::make_shared<ClientExchange>(this->pool, to);
        exchange->timeout = timeout;
        exchange->expiresAt = net::Deadline::now() + timeout;
        exchange->handler = std::move(handler);
        exchange->isHead = request.method == "HEAD";
        exchange->resendable =
                request.resendable.value_or(exchange->isHead || request.method == "GET");
        exchange->newConnection = request.newConnection;
        exchange->correlationHeader = request.correlationHeader;
        if (request.completionTimeout)
            exchange->completionDeadline = net::Deadline::now() + *request.completionTimeout;
        auto header = formatRequestHeader(request, to);
        if (!header) {
            this->rejectInvalidRequest(exchange);
            return exchange;
        }
        exchange->header = std::move(*header);
        exchange->body = std::move(request.body);
        exchange->sharedBody = std::move(request.sharedBody);
        this->pool->submit(exchange);
        return exchange;
    }

private:
    void rejectInvalidRequest(const std::shared_ptr<ClientExchange> &exchange)
    {
        boost::asio::post(this->pool->context, [exchange] {
            exchange->finish(core::Error{core::ErrorKind::Unavailable,
                                         "invalid request method or target; remove spaces and "
                                         "control characters"});
        });
    }

    const std::shared_ptr<ConnectionPool> pool;
};

} // namespace

std::unique_ptr<core::HttpSender> makeBackendClient(boost::asio::io_context &context,
                                                    ClientLimits limits)
{
    return std::make_unique<BackendClient>(context, limits);
}

} // namespace amaranthdale::http
