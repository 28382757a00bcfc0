// A proxied connection.
#include "fault_proxy/proxy_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace amaranthdale::tools {

namespace {

constexpr std::size_t maxBufferedBytes = 4 * 1024 * 1024; // Reading pauses above this.

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
        if (self->currentFaults().cut)
            return self->closeSockets();
        self->target.async_connect(endpoint, [self](const ErrorCode &error) {
            if (error)
                return self->closeSockets();
            self->read(self->toTarget);
            self->read(self->toClient);
        });
    });
}

void ProxyConnection::onFaultsChanged()
{
    boost::asio::post(this->client.get_executor(), [self = this->shared_from_this()] {
        if (self->currentFaults().cut)
            return self->closeSockets();
        self->write(self->toTarget);
        self->write(self->toClient);
    });
}

void ProxyConnection::close()
{
    boost::asio::post(this->client.get_executor(),
                      [self = this->shared_from_this()] { self->closeSockets(); });
}

void ProxyConnection::reset()
{
    boost::asio::post(this->client.get_executor(), [self = this->shared_from_this()] {
        for (Tcp::socket *socket : {&self->client, &self->target}) {
            ErrorCode ignored;
            // A linger time of 0 makes close() send a reset.
            socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
        }
        self->closeSockets();
    });
}

void ProxyConnection::read(Flow &flow)
{
    if (flow.reading || flow.sourceEnded || flow.bufferedBytes > maxBufferedBytes)
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
    flow.sourceEnded = bool(error);
    const core::TimePoint due = this->clock.now() + (this->currentFaults().*flow.faults).delay;
    flow.chunks.push_back({due, std::string(flow.buffer.data(), error ? 0 : bytes)});
    flow.bufferedBytes += bytes;
    this->write(flow);
    this->read(flow);
}

void ProxyConnection::write(Flow &flow)
{
    if (flow.writing || flow.chunks.empty() || (this->currentFaults().*flow.faults).drop)
        return;
    const Chunk &chunk = flow.chunks.front();
    if (chunk.due > this->clock.now())
        return this->scheduleWrite(flow, chunk.due);
    if (chunk.data.empty())
        return this->forwardEnd(flow);
    flow.writing = true;
    boost::asio::async_write(
            *flow.to, boost::asio::buffer(chunk.data),
            [self = this->shared_from_this(), &flow](const ErrorCode &error, std::size_t) {
                self->onWritten(flow, error);
            });
}

void ProxyConnection::onWritten(Flow &flow, const ErrorCode &error)
{
    flow.writing = false;
    if (error && !this->currentFaults().halfOpen)
        return this->closeSockets();
    flow.bufferedBytes -= flow.chunks.front().data.size();
    flow.chunks.pop_front();
    this->write(flow);
    this->read(flow);
}

// While halfOpen is set, the end stays queued; it is forwarded once the fault is cleared.
void ProxyConnection::forwardEnd(Flow &flow)
{
    if (this->currentFaults().halfOpen)
        return;
    flow.chunks.clear();
    ErrorCode ignored;
    flow.to->shutdown(Tcp::socket::shutdown_send, ignored);
    const bool bothFinished = this->toTarget.sourceEnded && this->toClient.sourceEnded
            && this->toTarget.chunks.empty() && this->toClient.chunks.empty();
    if (bothFinished)
        this->closeSockets();
}

void ProxyConnection::scheduleWrite(Flow &flow, core::TimePoint due)
{
    this->clock.schedule(due, [weak = this->weak_from_this(), &flow] {
        const auto self = weak.lock();
        if (self)
            boost::asio::post(self->client.get_executor(), [self, &flow] { self->write(flow); });
    });
}

void ProxyConnection::closeSockets()
{
    ErrorCode ignored;
    this->client.close(ignored);
    this->target.close(ignored);
}

} // namespace amaranthdale::tools
