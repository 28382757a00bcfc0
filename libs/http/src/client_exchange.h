// A request of the HTTP/1.1 client on its way.
#pragma once

#include "amaranthdale/core/message.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace amaranthdale::http {

class ClientConnection;
class ConnectionPool;

/// Until a connection takes it, an exchange belongs to the pool and is guarded by the pool's lock;
/// from then on it is used on the strand of that connection.
class ClientExchange : public core::Exchange, public std::enable_shared_from_this<ClientExchange>
{
public:
    ClientExchange(std::weak_ptr<ConnectionPool> connectionPool, core::Endpoint endpoint)
        : pool(std::move(connectionPool)), to(std::move(endpoint))
    { }

    void cancel() override;

    /// Calls the handler, the first time only. No lock is held.
    void finish(core::Outcome<core::HttpResponse> outcome)
    {
        if (const auto call = std::exchange(this->handler, nullptr))
            call(std::move(outcome));
    }

    const std::weak_ptr<ConnectionPool> pool;
    const core::Endpoint to;
    std::string header;
    std::string body;
    bool head = false;                  ///< The response has no body.
    bool repeatable = false;            ///< May be sent again on a fresh connection.
    std::optional<core::Header> echoed; ///< Field that the response has to repeat.
    core::Duration timeout{};
    core::TimePoint dueAt;
    core::ResponseHandler handler;

    // Guarded by the pool's lock.
    std::weak_ptr<ClientConnection> connection;         ///< That took the exchange.
    std::optional<boost::asio::steady_timer> waitTimer; ///< While no connection has.
};

} // namespace amaranthdale::http
