// TCP sockets bound to a strand, as both transports use them. Only transports include this library:
// it is the one place whose public headers name Asio types.
#pragma once

#include "amaranthdale/core/message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

namespace amaranthdale::net {

using Tcp = boost::asio::ip::tcp;
using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
using Socket = boost::asio::basic_stream_socket<Tcp, Strand>;
using ErrorCode = boost::system::error_code;

/// Reads an IP address in text form. Fails with InvalidArgument; host names are not resolved.
core::Result<Tcp::endpoint> toTcpEndpoint(const core::Endpoint &endpoint);

core::Endpoint fromTcpEndpoint(const Tcp::endpoint &endpoint);

/// Sends small writes at once, and gives up a connection whose data stays unacknowledged, so that a
/// peer that vanished without closing is noticed.
void tuneSocket(Socket &socket);

/// Probes the other side while the connection is silent, so that a pending read ends within about
/// `3 s` when the path was lost without a reset.
void watchSocket(Socket &socket);

/// True when the other side has closed or reset the connection and all that it sent was read.
bool isClosedByPeer(Socket &socket);

/// Closes without an error; a socket that is already closed is left alone.
void closeSocket(Socket &socket);

/// Closes with a TCP reset, so that the other side can't take what it received for complete.
void resetSocket(Socket &socket);

} // namespace amaranthdale::net
