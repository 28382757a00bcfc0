// Datagram channel over UDP.
#include "amaranthdale/slots/datagram_channel.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <mutex>

namespace amaranthdale::slots {

namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;
using ErrorCode = boost::system::error_code;

// Messages are far smaller. Longer datagrams are truncated, and then fail to decode.
constexpr std::size_t maxDatagramBytes = 2048;

core::Error makeBindError(const core::Endpoint &address, const ErrorCode &error)
{
    return core::Error{core::ErrorKind::Unavailable,
                       "can't bind UDP socket to " + core::formatEndpoint(address) + " ("
                               + error.message() + "); free the port or configure another one"};
}

class UdpChannel : public DatagramChannel
{
public:
    explicit UdpChannel(asio::io_context &context)
        : strand(asio::make_strand(context)), socket(this->strand)
    { }

    core::Result<void> open(const core::Endpoint &address)
    {
        ErrorCode error;
        const auto ip = asio::ip::make_address(address.address, error);
        if (!error) {
            const Udp::endpoint endpoint(ip, address.port);
            this->socket.open(endpoint.protocol(), error);
            if (!error)
                this->socket.bind(endpoint, error);
            if (!error)
                this->socket.non_blocking(true, error);
        }
        if (error)
            return BOOST_LEAF_NEW_ERROR(makeBindError(address, error));
        return {};
    }

    void start(Receiver messageReceiver) override
    {
        this->receiver = std::move(messageReceiver);
        asio::post(this->strand, [this] { this->receive(); });
    }

    void send(const core::Endpoint &to, const std::string &message) override
    {
        ErrorCode ignored; // A full send buffer drops the message, as the network may.
        const auto ip = asio::ip::make_address(to.address, ignored);
        if (ignored)
            return;
        std::lock_guard lock(this->mutex);
        this->socket.send_to(asio::buffer(message), Udp::endpoint(ip, to.port), 0, ignored);
    }

private:
    void receive()
    {
        std::lock_guard lock(this->mutex);
        this->socket.async_receive_from(
                asio::buffer(this->buffer), this->sender,
                [this](const ErrorCode &error, std::size_t size) {
                    if (error == asio::error::operation_aborted)
                        return;
                    // Other errors report that a sent datagram was not delivered; keep receiving.
                    if (!error)
                        this->receiver({this->sender.address().to_string(), this->sender.port()},
                                       std::string_view(this->buffer.data(), size));
                    this->receive();
                });
    }

    asio::strand<asio::io_context::executor_type> strand;
    std::mutex mutex; // Leaf lock; guards calls of the socket.
    Udp::socket socket;
    Receiver receiver;
    Udp::endpoint sender;
    std::array<char, maxDatagramBytes> buffer{};
};

} // namespace

core::Result<std::unique_ptr<DatagramChannel>> makeUdpChannel(asio::io_context &context,
                                                              const core::Endpoint &address)
{
    auto channel = std::make_unique<UdpChannel>(context);
    BOOST_LEAF_CHECK(channel->open(address));
    return std::unique_ptr<DatagramChannel>(std::move(channel));
}

} // namespace amaranthdale::slots
