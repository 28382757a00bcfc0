// TCP sockets bound to a strand, shared by the HTTP/1.1 and peer transports. Only transports may
// include this library, since its public headers expose Asio types.
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

/// Parses a numeric IP address; host names are not resolved. Fails with InvalidArgument.
core::Result<Tcp::endpoint> toTcpEndpoint(const core::Endpoint &endpoint);

core::Endpoint fromTcpEndpoint(const Tcp::endpoint &endpoint);

/// Disables Nagle's algorithm and sets a TCP user timeout, so that a connection fails when sent
/// data stays unacknowledged.
void tuneSocket(Socket &socket);

/// Enables TCP keep-alive probes, so that a pending read fails within about 3 s when the peer
/// became unreachable without closing the connection.
void enableKeepAlive(Socket &socket);

/// True when the peer has closed or reset the connection and no received data is left to read.
bool isClosedByPeer(Socket &socket);

/// Closes the socket and ignores errors. Does nothing when it is already closed.
void closeSocket(Socket &socket);

/// Closes the connection with a TCP RST, so that the peer can't mistake a truncated message for a
/// complete one.
void resetSocket(Socket &socket);

} // namespace amaranthdale::net
