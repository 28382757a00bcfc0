// A blocking socket for tests that send malformed or incomplete messages.
#pragma once

#include "amaranthdale/core/message.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <sys/time.h>

#include <array>
#include <string>

namespace amaranthdale::testing {

/// A connected TCP socket whose reads time out after 10 s.
class RawSocket
{
public:
    explicit RawSocket(const core::Endpoint &endpoint) : socket(this->context)
    {
        this->socket.connect({boost::asio::ip::make_address(endpoint.address), endpoint.port});
        this->setReadTimeout();
    }

    /// Accepts one connection from `acceptor`.
    explicit RawSocket(boost::asio::ip::tcp::acceptor &acceptor) : socket(acceptor.accept())
    {
        this->setReadTimeout();
    }

    /// Returns false if the other side has closed the connection.
    bool write(std::string_view text)
    {
        boost::system::error_code error;
        boost::asio::write(this->socket, boost::asio::buffer(text), error);
        return !error;
    }

    /// Reads until the text contains `delimiter`; without one, until the connection ends.
    std::string readUntil(std::string_view delimiter = {})
    {
        std::string text;
        std::array<char, 4096> chunk{};
        while (delimiter.empty() || text.find(delimiter) == std::string::npos) {
            const auto size = ::recv(this->socket.native_handle(), chunk.data(), chunk.size(), 0);
            this->lastReadResult = size;
            if (size <= 0)
                break;
            text.append(chunk.data(), static_cast<std::size_t>(size));
        }
        return text;
    }

    /// True if the last read found the connection closed or reset by the other side.
    bool isClosed() const
    {
        return this->lastReadResult == 0 || (this->lastReadResult < 0 && errno == ECONNRESET);
    }

    /// The descriptor, for `poll`.
    int descriptor() { return this->socket.native_handle(); }

    /// Shuts down the sending side of the connection.
    void shutdownSend()
    {
        boost::system::error_code ignored;
        this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    }

    void close() { this->socket.close(); }

    /// Closes the connection with a reset, which discards what the other side hasn't received.
    void reset()
    {
        this->socket.set_option(boost::asio::socket_base::linger(true, 0));
        this->socket.close();
    }

private:
    void setReadTimeout()
    {
        const timeval timeout{10, 0};
        ::setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
                     sizeof(timeout));
    }

    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket;
    ssize_t lastReadResult = -1;
};

/// Listens on a loopback port that the system chooses.
struct RawServer
{
    RawServer() : acceptor(this->context, {boost::asio::ip::make_address("127.0.0.1"), 0}) { }

    core::Endpoint endpoint() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace amaranthdale::testing
