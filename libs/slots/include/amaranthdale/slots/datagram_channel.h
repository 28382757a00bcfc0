// Unreliable datagrams between instances.
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

    /// Starts receiving; `receiver` is called on the threads of the context.
    virtual void start(Receiver receiver) = 0;

    /// Sends without blocking. A message that can't be sent is dropped.
    virtual void send(const core::Endpoint &to, const std::string &message) = 0;
};

/// Creates a UDP channel bound to `address`. Fails with Unavailable if the address can't be bound.
core::Result<std::unique_ptr<DatagramChannel>> makeUdpChannel(boost::asio::io_context &context,
                                                              const core::Endpoint &address);

} // namespace amaranthdale::slots
