// Listener implementation shared by the HTTP/1.1 and peer transports.
#pragma once

#include "amaranthdale/net/acceptor.h"
#include "amaranthdale/net/handler_gate.h"

#include <atomic>
#include <memory>
#include <utility>

namespace amaranthdale::net {

/// State shared by a listener and its connections, which keep it alive.
template<class Limits>
struct ListenerContext
{
    ListenerContext(core::RequestHandler &handler, Limits connectionLimits)
        : gate(handler), limits(std::move(connectionLimits))
    { }

    HandlerGate gate;
    ConnectionSet connections;
    const Limits limits;
    std::atomic<bool> closeAfterResponse{false}; ///< Connections close after their next response.
    std::atomic<std::size_t> openConnections{0}; ///< Including those that linger.
    std::atomic<std::size_t> lingeringConnections{0};
    std::atomic<std::size_t> pausedConnections{0}; ///< They wait for memory to read into.
};

/// A listener that calls the `startConnection` function of its transport for each accepted socket.
template<class Limits>
class Listener : public core::HttpListener
{
public:
    using Shared = std::shared_ptr<ListenerContext<Limits>>;

    /// `startConnection` creates a connection and adds it to the shared set.
    Listener(boost::asio::io_context &context, core::RequestHandler &handler, Limits limits,
             void (*startConnection)(const Shared &, Socket))
        : shared(std::make_shared<ListenerContext<Limits>>(handler, std::move(limits))),
          acceptor(std::make_shared<Acceptor>(
                  context, [sharedState = this->shared, startConnection](Socket socket) {
                      startConnection(sharedState, std::move(socket));
                  }))
    { }

    ~Listener() override
    {
        this->acceptor->stop();
        this->shared->connections.closeAll();
        this->shared->gate.close();
    }

    /// Fails with InvalidArgument when `address` is not an IP address, with Unavailable when it
    /// can't be bound.
    core::Result<void> listen(const core::Endpoint &address, std::size_t receiveBufferBytes = 0)
    {
        BOOST_LEAF_ASSIGN(this->boundEndpoint, this->acceptor->listen(address, receiveBufferBytes));
        return {};
    }

    core::Endpoint localEndpoint() const override { return this->boundEndpoint; }

    void disableKeepAlive() override { this->shared->closeAfterResponse = true; }

    void drain(std::function<void()> drained) override
    {
        this->acceptor->drainBacklog();
        this->acceptor->stop();
        this->shared->connections.drainAll(std::move(drained));
    }

private:
    const Shared shared;
    const std::shared_ptr<Acceptor> acceptor;
    core::Endpoint boundEndpoint;
};

} // namespace amaranthdale::net
