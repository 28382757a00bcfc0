// One proxied connection.
#include "fault_proxy/proxy_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace amaranthdale::tools {

namespace {

constexpr std::size_t mostWaitingBytes = 4 * 1024 * 1024; // Reading pauses above this.

} // namespace

ProxyConnection::ProxyConnection(Tcp::socket accepted, clock::Clock &timeSource,
                                 SharedFaults &shared)
    : client(std::move(accepted)), target(this->client.get_executor()), clock(timeSource),
      faults(shared)
{
    this->toTarget.from = this->toClient.to = &this->client;
    this->toTarget.to = this->toClient.from = &this->target;
    this->toTarget.faults = &ProxyFaults::toTarget;
    this->toClient.faults = &ProxyFaults::toClient;
}

void ProxyConnection::start(const Tcp::endpoint &endpoint)
{
    boost::asio::post(this->client.get_executor(), [self = this->shared_from_this(), endpoint] {
        if (self->present().cut)
            return self->closeNow();
        self->target.async_connect(endpoint, [self](const ErrorCode &error) {
            if (error)
                return self->closeNow();
            self->read(self->toTarget);
            self->read(self->toClient);
        });
    });
}

void ProxyConnection::onFaultsChanged()
{
    boost::asio::post(this->client.get_executor(), [self = this->shared_from_this()] {
        if (self->present().cut)
            return self->closeNow();
        self->write(self->toTarget);
        self->write(self->toClient);
    });
}

void ProxyConnection::close()
{
    boost::asio::post(this->client.get_executor(),
                      [self = this->shared_from_this()] { self->closeNow(); });
}

void ProxyConnection::reset()
{
    boost::asio::post(this->client.get_executor(), [self = this->shared_from_this()] {
        for (Tcp::socket *socket : {&self->client, &self->target}) {
            ErrorCode ignored;
            // A linger time of 0 makes close() send a reset.
            socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
        }
        self->closeNow();
    });
}

void ProxyConnection::read(Flow &flow)
{
    if (flow.reading || flow.ended || flow.waitingBytes > mostWaitingBytes)
        return;
    flow.reading = true;
    flow.from->async_read_some(
            boost::asio::buffer(flow.buffer),
            [self = this->shared_from_this(), &flow](const ErrorCode &error, std::size_t bytes) {
                self->onRead(flow, error, bytes);
            });
}

void ProxyConnection::onRead(Flow &flow, const ErrorCode &error, std::size_t bytes)
{
    flow.reading = false;
    if (!this->client.is_open())
        return;
    flow.ended = bool(error);
    const core::TimePoint due = this->clock.now() + (this->present().*flow.faults).delay;
    flow.pieces.push_back({due, std::string(flow.buffer.data(), error ? 0 : bytes)});
    flow.waitingBytes += bytes;
    this->write(flow);
    this->read(flow);
}

void ProxyConnection::write(Flow &flow)
{
    if (flow.writing || flow.pieces.empty() || (this->present().*flow.faults).drop)
        return;
    const Piece &piece = flow.pieces.front();
    if (piece.due > this->clock.now())
        return this->wakeAt(flow, piece.due);
    if (piece.data.empty())
        return this->passEnd(flow);
    flow.writing = true;
    boost::asio::async_write(
            *flow.to, boost::asio::buffer(piece.data),
            [self = this->shared_from_this(), &flow](const ErrorCode &error, std::size_t) {
                self->onWritten(flow, error);
            });
}

void ProxyConnection::onWritten(Flow &flow, const ErrorCode &error)
{
    flow.writing = false;
    if (error && !this->present().halfOpen)
        return this->closeNow();
    flow.waitingBytes -= flow.pieces.front().data.size();
    flow.pieces.pop_front();
    this->write(flow);
    this->read(flow);
}

// With halfOpen the end stays in the queue, and is passed on when the fault is taken away.
void ProxyConnection::passEnd(Flow &flow)
{
    if (this->present().halfOpen)
        return;
    flow.pieces.clear();
    ErrorCode ignored;
    flow.to->shutdown(Tcp::socket::shutdown_send, ignored);
    const bool bothEnded = this->toTarget.ended && this->toClient.ended
            && this->toTarget.pieces.empty() && this->toClient.pieces.empty();
    if (bothEnded)
        this->closeNow();
}

void ProxyConnection::wakeAt(Flow &flow, core::TimePoint due)
{
    this->clock.schedule(due, [weak = this->weak_from_this(), &flow] {
        const auto self = weak.lock();
        if (self)
            boost::asio::post(self->client.get_executor(), [self, &flow] { self->write(flow); });
    });
}

void ProxyConnection::closeNow()
{
    ErrorCode ignored;
    this->client.close(ignored);
    this->target.close(ignored);
}

} // namespace amaranthdale::tools
