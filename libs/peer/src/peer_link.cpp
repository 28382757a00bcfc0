// Connection establishment and request deadlines of a peer link.
#include "peer_link.h"

#include <boost/asio/post.hpp>

namespace amaranthdale::peer {

PeerLink::PeerLink(boost::asio::io_context &context, core::Endpoint endpoint,
                   SessionLimits sessionLimits)
    : to(std::move(endpoint)), limits(sessionLimits), strand(boost::asio::make_strand(context)),
      connectDeadline(this->strand), requestDeadline(this->strand)
{ }

std::shared_ptr<core::Exchange> PeerLink::submit(core::HttpRequest request, core::Duration timeout,
                                                 core::ResponseHandler handler)
{
    auto stream = std::make_shared<ClientStream>(this->strand, this->to, std::move(request),
                                                 timeout, std::move(handler));
    const core::TimePoint deadline = net::Deadline::now() + timeout;
    boost::asio::post(this->strand, [self = this->shared_from_this(), stream, deadline] {
        self->setDeadline(stream, deadline);
        self->start(stream);
    });
    return stream;
}

void PeerLink::close()
{
    boost::asio::post(this->strand, [self = this->shared_from_this()] {
        self->closed = true;
        self->connectDeadline.stop();
        self->requestDeadline.stop();
        if (self->connectingSocket)
            net::closeSocket(*self->connectingSocket);
        self->failPending("the client was shut down");
        if (const auto current = std::exchange(self->session, nullptr))
            current->close();
        // Fails the streams of sessions that were going away.
        while (!self->deadlines.empty())
            self->deadlines.begin()->second->fail(core::ErrorKind::ConnectionLost,
                                                  "the client was shut down");
    });
}

void PeerLink::start(const std::shared_ptr<ClientStream> &stream)
{
    if (this->closed)
        return stream->fail(core::ErrorKind::Unavailable, "the client was shut down");
    this->openOrQueue(stream);
}

void PeerLink::openOrQueue(const std::shared_ptr<ClientStream> &stream)
{
    if (stream->isFinished())
        return;
    if (this->session && this->session->isGoingAway())
        this->session.reset();
    if (this->session && stream->open(*this->session))
        return;
    this->session.reset();
    if (net::Deadline::now() < this->earliestReconnect)
        return stream->fail(core::ErrorKind::Unavailable,
                            "the last connection attempt failed; not retrying yet");
    this->pendingStreams.push_back(stream);
    if (!this->connectingSocket)
        this->connect();
}

void PeerLink::connect()
{
    const auto endpoint = core::attempt([this] { return net::toTcpEndpoint(this->to); });
    if (!endpoint)
        return this->failPending(endpoint.error().message);
    this->connectingSocket = std::make_unique<net::Socket>(this->strand);
    this->connectDeadline.setExpiryHandler(this->weak_from_this(),
                                           [this] { net::closeSocket(*this->connectingSocket); });
    this->connectDeadline.setAfter(this->limits.connectTimeout);
    this->connectingSocket->async_connect(
            *endpoint, [self = this->shared_from_this()](const net::ErrorCode &error) {
                self->onConnected(error);
            });
}

void PeerLink::onConnected(const net::ErrorCode &error)
{
    this->connectDeadline.clear();
    const auto socket = std::exchange(this->connectingSocket, nullptr);
    if (this->closed)
        return;
    if (error || !socket->is_open()) {
        this->earliestReconnect = net::Deadline::now() + this->limits.reconnectDelay;
        return this->failPending("connect failed: " + error.message());
    }
    net::tuneSocket(*socket);
    this->session = std::make_shared<Http2Session>(std::move(*socket), Role::Client, this->limits);
    this->session->start();
    for (const auto &stream : std::exchange(this->pendingStreams, {}))
        this->openOrQueue(stream);
}

void PeerLink::failPending(const std::string &reason)
{
    for (const auto &stream : std::exchange(this->pendingStreams, {}))
        stream->fail(core::ErrorKind::Unavailable, reason);
}

void PeerLink::setDeadline(const std::shared_ptr<ClientStream> &stream, core::TimePoint time)
{
    if (!stream->setDeadlineActive) {
        // The entry lives in the link; the stream clears it when it ends. `target` is valid,
        // since the stream owns this function.
        stream->setDeadlineActive = [weak = this->weak_from_this(),
                                     target = stream.get()](bool set) {
            const auto self = weak.lock();
            if (!self)
                return;
            self->clearDeadline(*target);
            if (set)
                self->setDeadline(
                        std::static_pointer_cast<ClientStream>(target->shared_from_this()),
                        net::Deadline::now() + target->timeout);
        };
        this->requestDeadline.setExpiryHandler(this->weak_from_this(),
                                               [this] { this->onDeadline(); });
    }
    stream->deadlineEntry = this->deadlines.emplace(time, stream);
    this->requestDeadline.setAt(this->deadlines.begin()->first);
}

void PeerLink::clearDeadline(ClientStream &stream)
{
    if (const auto entry = std::exchange(stream.deadlineEntry, std::nullopt))
        this->deadlines.erase(*entry);
}

void PeerLink::onDeadline()
{
    const core::TimePoint now = net::Deadline::now();
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const auto stream = this->deadlines.begin()->second;
        stream->fail(core::ErrorKind::Timeout, "the peer did not respond in time");
    }
    if (!this->deadlines.empty())
        this->requestDeadline.setAt(this->deadlines.begin()->first);
}

} // namespace amaranthdale::peer
