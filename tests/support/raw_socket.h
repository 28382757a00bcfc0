// A blocking socket for tests that send bytes no client of ours would send.
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

/// Connects on construction. Reads give up after a bounded time.
class RawSocket
{
public:
    explicit RawSocket(const core::Endpoint &to) : socket(this->context)
    {
        this->socket.connect({boost::asio::ip::make_address(to.address), to.port});
        this->limitReads();
    }

    /// Accepts one connection from `acceptor`.
    explicit RawSocket(boost::asio::ip::tcp::acceptor &acceptor) : socket(acceptor.accept())
    {
        this->limitReads();
    }

    /// Returns false when the other side has closed.
    bool write(std::string_view text)
    {
        boost::system::error_code error;
        boost::asio::write(this->socket, boost::asio::buffer(text), error);
        return !error;
    }

    /// Reads up to the end of the connection, or until `mark` was read.
    std::string readUntil(std::string_view mark = {})
    {
        std::string text;
        std::array<char, 4096> piece{};
        while (mark.empty() || text.find(mark) == std::string::npos) {
            const auto size = ::recv(this->socket.native_handle(), piece.data(), piece.size(), 0);
            this->lastRead = size;
            if (size <= 0)
                break;
            text.append(piece.data(), static_cast<std::size_t>(size));
        }
        return text;
    }

    /// True when the last read found the end of the connection, orderly or by reset.
    bool sawEnd() const
    {
        return this->lastRead == 0 || (this->lastRead < 0 && errno == ECONNRESET);
    }

    void close() { this->socket.close(); }

private:
    void limitReads()
    {
        const timeval limit{10, 0};
        ::setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    }

    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket;
    ssize_t lastRead = -1;
};

/// Acceptor of a stand-in server on a port that the system chooses.
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
