// Connecting to a peer and the time limits of requests to it.
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
    const core::TimePoint dueAt = net::Deadline::now() + timeout;
    boost::asio::post(this->strand, [self = this->shared_from_this(), stream, dueAt] {
        self->limitTime(stream, dueAt);
        self->begin(stream);
    });
    return stream;
}

void PeerLink::close()
{
    boost::asio::post(this->strand, [self = this->shared_from_this()] {
        self->closed = true;
        self->connectDeadline.stop();
        self->requestDeadline.stop();
        if (self->connecting)
            net::closeSocket(*self->connecting);
        self->failWaiting("the client was shut down");
        if (const auto current = std::exchange(self->session, nullptr))
            current->close();
        // Streams of sessions that were going away remain here.
        while (!self->timeLimits.empty())
            self->timeLimits.begin()->second->fail(core::ErrorKind::ConnectionLost,
                                                   "the client was shut down");
    });
}

void PeerLink::begin(const std::shared_ptr<ClientStream> &stream)
{
    if (this->closed)
        return stream->fail(core::ErrorKind::Unavailable, "the client was shut down");
    this->openOrWait(stream);
}

void PeerLink::openOrWait(const std::shared_ptr<ClientStream> &stream)
{
    if (stream->isFinished())
        return;
    if (this->session && this->session->isGoingAway())
        this->session.reset();
    if (this->session && stream->open(*this->session))
        return;
    this->session.reset();
    if (net::Deadline::now() < this->retryAt)
        return stream->fail(core::ErrorKind::Unavailable, "the peer refused the last connection");
    this->waiting.push_back(stream);
    if (!this->connecting)
        this->connect();
}

void PeerLink::connect()
{
    const auto endpoint = core::attempt([this] { return net::toTcpEndpoint(this->to); });
    if (!endpoint)
        return this->failWaiting(endpoint.error().message);
    this->connecting = std::make_unique<net::Socket>(this->strand);
    this->connectDeadline.start(this->weak_from_this(),
                                [this] { net::closeSocket(*this->connecting); });
    this->connectDeadline.setAfter(this->limits.connectTimeout);
    this->connecting->async_connect(*endpoint,
                                    [self = this->shared_from_this()](const net::ErrorCode &error) {
                                        self->onConnected(error);
                                    });
}

void PeerLink::onConnected(const net::ErrorCode &error)
{
    this->connectDeadline.clear();
    const auto socket = std::exchange(this->connecting, nullptr);
    if (this->closed)
        return;
    if (error || !socket->is_open()) {
        this->retryAt = net::Deadline::now() + this->limits.reconnectDelay;
        return this->failWaiting("connect failed: " + error.message());
    }
    net::tuneSocket(*socket);
    this->session = std::make_shared<FrameSession>(std::move(*socket), Role::Client, this->limits);
    this->session->start();
    for (const auto &stream : std::exchange(this->waiting, {}))
        this->openOrWait(stream);
}

void PeerLink::failWaiting(const std::string &reason)
{
    for (const auto &stream : std::exchange(this->waiting, {}))
        stream->fail(core::ErrorKind::Unavailable, reason);
}

void PeerLink::limitTime(const std::shared_ptr<ClientStream> &stream, core::TimePoint time)
{
    if (!stream->limitTime) {
        // The link outlives the entry, which the stream clears when it ends.
        stream->limitTime = [weak = this->weak_from_this(), target = stream.get()](bool set) {
            const auto self = weak.lock();
            if (!self)
                return;
            self->clearTime(*target);
            if (set)
                self->limitTime(std::static_pointer_cast<ClientStream>(target->shared_from_this()),
                                net::Deadline::now() + target->timeout);
        };
        this->requestDeadline.start(this->weak_from_this(), [this] { this->onTimeLimit(); });
    }
    stream->timeLimit = this->timeLimits.emplace(time, stream);
    this->requestDeadline.setAt(this->timeLimits.begin()->first);
}

void PeerLink::clearTime(ClientStream &stream)
{
    if (const auto entry = std::exchange(stream.timeLimit, std::nullopt))
        this->timeLimits.erase(*entry);
}

void PeerLink::onTimeLimit()
{
    const core::TimePoint now = net::Deadline::now();
    while (!this->timeLimits.empty() && this->timeLimits.begin()->first <= now) {
        const auto stream = this->timeLimits.begin()->second;
        stream->fail(core::ErrorKind::Timeout, "the peer did not respond in time");
    }
    if (!this->timeLimits.empty())
        this->requestDeadline.setAt(this->timeLimits.begin()->first);
}

} // namespace amaranthdale::peer
