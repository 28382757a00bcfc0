// Socket options and address conversion.
#include "amaranthdale/net/socket.h"

#include <boost/asio/ip/address.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace amaranthdale::net {

namespace {

// Unacknowledged data ends the connection after this. Retransmission would otherwise go on for
// about 15 minutes, and a healed network would be used only after the last back-off.
constexpr unsigned unacknowledgedMilliseconds = 3000;

// Silence after which probes start, their distance, and how many may go unanswered.
constexpr std::chrono::seconds silenceBeforeProbe{1};
constexpr std::chrono::seconds probeInterval{1};
constexpr int mostLostProbes = 2;

using ProbeAfter = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using ProbeInterval = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using LostProbes = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

core::Result<Tcp::endpoint> toTcpEndpoint(const core::Endpoint &endpoint)
{
    ErrorCode error;
    const auto address = boost::asio::ip::make_address(endpoint.address, error);
    if (error)
        return core::fail(core::ErrorKind::InvalidArgument,
                          "'" + endpoint.address + "' is no IP address; give one in text form");
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
    socket.set_option(UserTimeout(unacknowledgedMilliseconds), ignored);
}

void watchSocket(Socket &socket)
{
    ErrorCode ignored;
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(ProbeAfter(static_cast<int>(silenceBeforeProbe.count())), ignored);
    socket.set_option(ProbeInterval(static_cast<int>(probeInterval.count())), ignored);
    socket.set_option(LostProbes(mostLostProbes), ignored);
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
