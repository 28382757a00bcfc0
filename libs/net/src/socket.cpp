// Socket options and address conversion.
#include "amaranthdale/net/socket.h"

#include <boost/asio/ip/address.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace amaranthdale::net {

namespace {

// TCP_USER_TIMEOUT. By default, unacknowledged data is retransmitted for about 15 minutes, with
// back-off intervals so long that a recovered network path is noticed late.
constexpr unsigned userTimeoutMilliseconds = 3000;

// TCP keep-alive: idle time before the first probe, probe interval, and unanswered probes before
// the connection is dropped.
constexpr std::chrono::seconds keepAliveIdle{1};
constexpr std::chrono::seconds keepAliveInterval{1};
constexpr int keepAliveProbes = 2;

using KeepAliveIdle = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveProbes = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

core::Result<Tcp::endpoint> toTcpEndpoint(const core::Endpoint &endpoint)
{
    ErrorCode error;
    const auto address = boost::asio::ip::make_address(endpoint.address, error);
    if (error)
        return core::fail(core::ErrorKind::InvalidArgument,
                          "'" + endpoint.address + "' is not an IP address; give a numeric one");
    return Tcp::endpoint(address, endpoint.port);
}

core::Endpoint fromTcpEndpoint(const Tcp::endpoint &endpoint)
{
    return core::Endpoint{endpoint.address().to_string(), endpoint.port()};
}

void tuneSocket(Socket &socket)
{
    ErrorCode ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    socket.set_option(UserTimeout(userTimeoutMilliseconds), ignored);
}

void enableKeepAlive(Socket &socket)
{
    ErrorCode ignored;
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepAliveIdle(static_cast<int>(keepAliveIdle.count())), ignored);
    socket.set_option(KeepAliveInterval(static_cast<int>(keepAliveInterval.count())), ignored);
    socket.set_option(KeepAliveProbes(keepAliveProbes), ignored);
}

bool isClosedByPeer(Socket &socket)
{
    char next = 0;
    const auto size = ::recv(socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno == ECONNRESET);
}

void closeSocket(Socket &socket)
{
    ErrorCode ignored;
    socket.close(ignored);
}

void resetSocket(Socket &socket)
{
    ErrorCode ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace amaranthdale::net
