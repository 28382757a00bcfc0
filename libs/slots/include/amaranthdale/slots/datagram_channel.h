// Short messages between instances that may be lost.
#pragma once

#include "amaranthdale/core/message.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace amaranthdale::slots {

/// Sends and receives datagrams. Thread-safe.
class DatagramChannel
{
public:
    virtual ~DatagramChannel() = default;

    using Receiver = std::function<void(const core::Endpoint &from, std::string_view message)>;

    /// Begins to receive; `receiver` is called on the threads of the context.
    virtual void start(Receiver receiver) = 0;

    /// Sends without waiting. A message that can't be sent is lost.
    virtual void send(const core::Endpoint &to, const std::string &message) = 0;
};

/// A channel over UDP at `address`. Fails with Unavailable when the address can't be bound.
core::Result<std::unique_ptr<DatagramChannel>> makeUdpChannel(boost::asio::io_context &context,
                                                              const core::Endpoint &address);

} // namespace amaranthdale::slots
