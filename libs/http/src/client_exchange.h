// A request in progress in the HTTP/1.1 client.
#pragma once

#include "amaranthdale/core/message.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace amaranthdale::http {

class ClientConnection;
class ConnectionPool;

/// Guarded by the pool's mutex while queued; used on the strand of its connection once assigned.
class ClientExchange : public core::Exchange, public std::enable_shared_from_this<ClientExchange>
{
public:
    ClientExchange(std::weak_ptr<ConnectionPool> connectionPool, core::Endpoint endpoint)
        : pool(std::move(connectionPool)), remoteEndpoint(std::move(endpoint))
    { }

    void cancel() override;
    void withdraw() override;

    /// Calls the handler on the first call only. The pool's mutex must not be held.
    void finish(core::Outcome<core::HttpResponse> outcome)
    {
        if (const auto call = std::exchange(this->handler, nullptr))
            call(std::move(outcome));
    }

    const std::string &bodyText() const
    {
        return this->sharedBody ? *this->sharedBody : this->body;
    }

    const std::weak_ptr<ConnectionPool> pool;
    const core::Endpoint remoteEndpoint;
    std::string header;
    std::string body;
    std::shared_ptr<const std::string> sharedBody; ///< Sent instead of `body` if set.
    bool isHead = false;                           ///< Method HEAD: the response has no body.
    bool resendable = false;                       ///< May be resent on a new connection.
    bool newConnection = false;                    ///< Must be the first one on its connection.
    std::optional<core::Header> correlationHeader; ///< Field that the response must echo.
    core::Duration timeout{};
    core::TimePoint expiresAt;
    core::TimePoint completionDeadline = core::TimePoint::max(); ///< For the end of the body.
    core::ResponseHandler handler;

    // Guarded by the pool's mutex.
    std::weak_ptr<ClientConnection> connection; ///< Connection that the exchange is assigned to.
    std::optional<boost::asio::steady_timer> waitTimer; ///< Set while queued.
};

} // namespace amaranthdale::http
