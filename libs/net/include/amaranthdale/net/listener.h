// What the listeners of both transports have in common.
#pragma once

#include "amaranthdale/net/acceptor.h"
#include "amaranthdale/net/handler_gate.h"

#include <atomic>
#include <memory>
#include <utility>

namespace amaranthdale::net {

/// What all connections of one listener share; they keep it alive.
template<class Limits>
struct ListenerShared
{
    ListenerShared(core::RequestHandler &handler, Limits connectionLimits)
        : gate(handler), limits(std::move(connectionLimits))
    { }

    HandlerGate gate;
    ConnectionSet connections;
    const Limits limits;
    std::atomic<bool> ending{false}; ///< Responses end their connections.
};

/// A listener whose transport starts a connection for each accepted socket.
template<class Limits>
class Listener : public core::HttpListener
{
public:
    using Shared = std::shared_ptr<ListenerShared<Limits>>;

    /// `start` makes a connection and enters it into the shared set.
    Listener(boost::asio::io_context &context, core::RequestHandler &handler, Limits limits,
             void (*start)(const Shared &, Socket))
        : shared(std::make_shared<ListenerShared<Limits>>(handler, std::move(limits))),
          acceptor(std::make_shared<Acceptor>(context,
                                              [target = this->shared, start](Socket socket) {
                                                  start(target, std::move(socket));
                                              }))
    { }

    ~Listener() override
    {
        this->acceptor->stop();
        this->shared->connections.closeAll();
        this->shared->gate.close();
    }

    /// Fails with Unavailable when the address can't be bound.
    core::Result<void> listen(const core::Endpoint &address)
    {
        BOOST_LEAF_ASSIGN(this->bound, this->acceptor->listen(address));
        return {};
    }

    core::Endpoint localEndpoint() const override { return this->bound; }

    void endConnections() override { this->shared->ending = true; }

    void drain(std::function<void()> drained) override
    {
        this->acceptor->stop();
        this->shared->connections.drainAll(std::move(drained));
    }

private:
    const Shared shared;
    const std::shared_ptr<Acceptor> acceptor;
    core::Endpoint bound;
};

} // namespace amaranthdale::net
