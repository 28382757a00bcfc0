// Request loop of an HTTP/1.1 server connection.
#include "server_connection.h"

#include "error_response.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

namespace amaranthdale::http {

namespace {

constexpr std::size_t headerReadBytes = 8 * 1024;
constexpr std::size_t bodyReadBytes = 16 * 1024;

// An incomplete message has made progress when this much has arrived since the last time. Single
// bytes don't count, or a caller that sends one at a time would never be evicted.
constexpr std::size_t progressBytes = 4 * 1024;

// A connection that waits for memory looks for it at these intervals, and is rejected at the end.
constexpr auto pauseInterval = std::chrono::milliseconds(100);
constexpr auto maxPause = std::chrono::seconds(2);

// Maximum size of an incomplete chunk size line with extensions or trailer section; longer ones are
// rejected.
constexpr std::size_t maxUnparsedBytes = 16 * 1024;

// Lingering close. The client may still be sending when its request is rejected; closing
// immediately would reset the connection, and the client could lose the response.
constexpr auto lingerTimeout = std::chrono::seconds(1);
constexpr std::size_t maxLingerBytes = 4 * 1024 * 1024;

// At most this part of the connections of a bounded listener lingers.
constexpr std::size_t lingeringDivisor = 8;

constexpr unsigned badRequest = 400;
constexpr unsigned payloadTooLarge = 413;
constexpr unsigned requestHeaderFieldsTooLarge = 431;
constexpr unsigned serviceUnavailable = 503;

constexpr std::string_view overloadedMessage =
        "too many large requests at the same time; try again later";

// A body that outlives its connection, and its part of the budget.
struct SharedBody
{
    std::string text;
    memory::Hold hold;
};

} // namespace

ServerConnection::ServerConnection(net::Socket connectionSocket,
                                   std::shared_ptr<ServerContext> serverContext)
    : socket(std::move(connectionSocket)), deadline(this->socket.get_executor()),
      context(std::move(serverContext)),
      writer(this->socket, this->deadline, this->context->limits,
             [this](bool complete) { this->onResponseDone(complete); }),
      hold(this->context->limits.budget)
{
    ++this->context->openConnections;
}

ServerConnection::~ServerConnection()
{
    this->releaseMessage();
    this->countClosed();
}

void ServerConnection::start()
{
    this->deadline.setExpiryHandler(this->weak_from_this(), [this] { this->onDeadline(); });
    boost::asio::post(this->socket.get_executor(),
                      [self = this->shared_from_this()] { self->startReading(); });
}

void ServerConnection::close()
{
    boost::asio::post(this->socket.get_executor(),
                      [self = this->shared_from_this()] { self->abort(); });
}

// What stalled may have moved on by the time that this runs.
void ServerConnection::evict()
{
    boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
        const core::TimePoint now = net::Deadline::now();
        const bool stalledMessage = self->state == State::Reading && self->incomplete
                && now - self->progressTime >= stallTime;
        const bool stalledResponse =
                self->state == State::Responding && self->writer.hasStalled(now);
        if (stalledMessage || stalledResponse)
            self->abort();
    });
}

void ServerConnection::drain()
{
    boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
        self->draining = true;
        // The pending read completes either with a request that has arrived or as cancelled.
        net::ErrorCode ignored;
        if (self->state == State::Idle && self->reading)
            self->socket.cancel(ignored);
    });
}

// A request that is already in the socket's receive buffer is still handled.
void ServerConnection::onDrainedWhileIdle()
{
    net::ErrorCode ignored;
    if (this->socket.available(ignored) == 0)
        return this->abort();
    this->readMore();
}

void ServerConnection::startReading()
{
    if (this->state != State::Closed)
        this->awaitRequest();
    if (this->state == State::Idle && this->draining)
        this->drain();
}

void ServerConnection::awaitRequest()
{
    this->state = State::Idle;
    this->releaseMessage();
    this->headerParsed = false;
    this->exchange.reset();
    this->receivedBytes = this->buffer.size();
    if (this->buffer.size() > 0)
        return this->parse();
    const core::TimePoint now = net::Deadline::now();
    this->idleTime = now;
    core::Duration timeout = this->context->limits.idleTimeout;
    if (this->context->limits.adjustable)
        timeout = std::min(timeout, this->context->limits.adjustable->idleTimeout());
    this->deadline.setAt(now + timeout);
    this->readMore();
}

std::optional<core::TimePoint> ServerConnection::idleSince() const
{
    const core::TimePoint since = this->idleTime;
    return since == core::TimePoint::max() ? std::nullopt : std::optional(since);
}

void ServerConnection::readMore()
{
    if (this->reading)
        return;
    this->reading = true;
    this->socket.async_read_some(
            this->buffer.prepare(this->readSize()),
            [self = this->shared_from_this()](const net::ErrorCode &error, std::size_t size) {
                self->onRead(error, size);
            });
}

std::size_t ServerConnection::readSize() const
{
    return this->state == State::Reading && this->headerParsed ? bodyReadBytes : headerReadBytes;
}

void ServerConnection::onRead(const net::ErrorCode &error, std::size_t size)
{
    this->reading = false;
    if (this->state == State::Closed)
        return;
    const bool cancelled = error == boost::asio::error::operation_aborted;
    if (cancelled && this->draining && this->state == State::Idle)
        return this->onDrainedWhileIdle();
    if (error)
        return this->abort();
    this->buffer.commit(size);
    if (this->state == State::Idle || this->state == State::Reading) {
        this->onProgress(size);
        return this->parse();
    }
    if (this->state == State::Lingering) {
        this->buffer.consume(this->buffer.size());
        this->discardedBytes += size;
        return this->discardedBytes < maxLingerBytes ? this->readMore() : this->abort();
    }
    // Responding: the client pipelined its next request. It stays in the buffer; no further read is
    // started until the response is complete.
}

void ServerConnection::parse()
{
    if (this->state == State::Idle) {
        this->state = State::Reading;
        this->parser.emplace();
        this->parser->eager(true);
        this->idleTime = core::TimePoint::max();
        std::size_t maxHeader = this->context->limits.maxHeaderBytes;
        core::Duration timeout = this->context->limits.headerTimeout;
        if (const auto &adjustable = this->context->limits.adjustable) {
            maxHeader = std::min(maxHeader, adjustable->maxHeaderBytes());
            timeout = std::min(timeout, adjustable->headerTimeout());
        }
        this->parser->header_limit(static_cast<std::uint32_t>(maxHeader));
        this->parser->body_limit(this->maxBodyBytes());
        this->deadline.setAfter(timeout);
    }
    while (this->buffer.size() > 0 && !this->parser->is_done()) {
        net::ErrorCode error;
        const std::size_t used = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(used);
        if (error == boost::beast::http::error::need_more) {
            if (this->headerParsed && this->buffer.size() > maxUnparsedBytes)
                return this->onParseError(boost::beast::http::error::bad_chunk);
            break;
        }
        if (error)
            return this->onParseError(error);
        if (used == 0)
            break;
    }
    if (this->parser->is_header_done() && !this->headerParsed)
        this->onHeader();
    if (this->parser->is_done())
        return this->handleRequest();
    this->readIncomplete();
}

void ServerConnection::onHeader()
{
    this->headerParsed = true;
    this->headerBytes = this->receivedBytes;
    if (this->parser->is_done())
        return;
    this->bodyBegin = net::Deadline::now();
    this->setBodyDeadline();
    const auto expectation = this->parser->get()[boost::beast::http::field::expect];
    if (boost::beast::iequals(expectation, "100-continue") && this->parser->get().body().empty())
        this->sendContinue();
}

void ServerConnection::sendContinue()
{
    static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    // Short enough for any socket buffer; no other write is in progress until the response is sent.
    boost::asio::async_write(
            this->socket, boost::asio::buffer(interim),
            [self = this->shared_from_this()](const net::ErrorCode &, std::size_t) {});
}

void ServerConnection::onParseError(const net::ErrorCode &error)
{
    using HttpError = boost::beast::http::error;
    if (error == HttpError::header_limit)
        return this->reject(
                requestHeaderFieldsTooLarge, "headerTooLarge",
                "the request header exceeds the size limit; send fewer or shorter fields");
    if (error == HttpError::body_limit)
        return this->reject(payloadTooLarge, "bodyTooLarge",
                            "the request body exceeds the size limit; send it in smaller parts");
    this->reject(badRequest, "malformed",
                 "malformed HTTP/1.1 request (" + error.message() + "); correct the client");
}

void ServerConnection::handleRequest()
{
    // After a stall of this process, the client may have disconnected before its request was read.
    if (net::isClosedByPeer(this->socket))
        return this->abort();
    this->endIncomplete();
    if (!this->hold.tryResize(this->headerBytes + this->parser->get().body().capacity())) {
        ++this->context->limits.budget->counts.refused;
        return this->reject(serviceUnavailable, "overloaded", overloadedMessage);
    }
    this->state = State::Responding;
    this->deadline.clear();
    core::HttpRequest request = this->takeRequest();
    this->parser.reset();
    if (this->buffer.size() == 0 && this->buffer.capacity() > 2 * headerReadBytes)
        this->buffer.shrink_to_fit();
    if (this->buffer.size() == 0)
        this->readMore();
    auto respond = [self = this->shared_from_this()](core::Outcome<core::HttpResponse> outcome) {
        boost::asio::post(self->socket.get_executor(),
                          [self, outcome = std::move(outcome)]() mutable {
                              self->onResponse(std::move(outcome));
                          });
    };
    if (!this->context->gate.handle(std::move(request), std::move(respond), this->exchange))
        this->abort();
}

core::HttpRequest ServerConnection::takeRequest()
{
    auto &message = this->parser->get();
    this->traits.isHead = message.method() == boost::beast::http::verb::head;
    this->traits.keepAlive = this->parser->keep_alive();
    this->traits.supportsChunked = message.version() >= 11;
    core::HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = toHeaders(message);
    if (message.body().size() < this->context->limits.shareBodiesFrom) {
        request.body = std::move(message.body());
        return request;
    }
    auto shared = std::make_shared<const SharedBody>(
            SharedBody{std::move(message.body()), this->hold.take()});
    request.sharedBody = {shared, &shared->text};
    return request;
}

void ServerConnection::onResponse(core::Outcome<core::HttpResponse> outcome)
{
    if (this->state != State::Responding)
        return;
    this->exchange.reset();
    if (this->draining || this->context->closeAfterResponse)
        this->traits.keepAlive = false;
    this->writer.start(this->shared_from_this(),
                       outcome ? std::move(*outcome) : makeErrorResponse(outcome.error()),
                       this->traits);
}

void ServerConnection::reject(unsigned status, std::string_view kind, std::string_view message)
{
    this->state = State::Responding;
    this->buffer.consume(this->buffer.size());
    this->releaseMessage();
    this->traits = RequestTraits{.isHead = false, .keepAlive = false, .supportsChunked = true};
    this->writer.start(this->shared_from_this(),
                       makeErrorResponse(status, kind, message, "not-run"), this->traits);
}

void ServerConnection::onResponseDone(bool complete)
{
    if (this->state != State::Responding)
        return;
    if (!complete)
        return this->abort();
    if (!this->traits.keepAlive || this->draining)
        return this->linger();
    this->awaitRequest();
}

void ServerConnection::linger()
{
    // The response may be lost; many lingering connections would keep others out.
    const std::size_t bound = this->context->limits.maxConnections;
    if (bound > 0 && this->context->lingeringConnections >= bound / lingeringDivisor + 1)
        return this->abort();
    ++this->context->lingeringConnections;
    this->lingerCounted = true;
    this->state = State::Lingering;
    this->releaseMessage();
    net::ErrorCode ignored;
    this->socket.shutdown(net::Tcp::socket::shutdown_send, ignored);
    this->buffer.consume(this->buffer.size());
    this->deadline.setAfter(lingerTimeout);
    this->context->connections.remove(this);
    this->readMore();
}

std::size_t ServerConnection::maxBodyBytes() const
{
    const ServerLimits &limits = this->context->limits;
    return limits.adjustable ? std::min(limits.maxBodyBytes, limits.adjustable->maxBodyBytes())
                             : limits.maxBodyBytes;
}

// What the message will hold after the next read: header fields as received and as parsed, the
// buffer, and the body with what its string has in reserve.
std::size_t ServerConnection::plannedBytes() const
{
    if (!this->headerParsed)
        return 2 * (this->receivedBytes + headerReadBytes);
    const std::size_t fixed = 2 * (this->headerBytes + bodyReadBytes);
    if (const auto length = this->parser->content_length())
        return fixed + static_cast<std::size_t>(*length);
    const std::string &body = this->parser->get().body();
    const std::size_t next = body.size() + bodyReadBytes;
    return fixed
            + (next <= body.capacity() ? body.capacity() : std::max(next, 2 * body.capacity()));
}

// Reads on once the budget has room for it.
void ServerConnection::readIncomplete()
{
    const std::size_t bytes = this->plannedBytes();
    if (!this->hold.tryResize(bytes))
        return this->pauseReading(bytes);
    if (this->paused)
        this->resumeReading();
    // The length is the caller's word, but the budget has room for it. Without the reservation, the
    // string would be copied as it grows, and hold up to twice as much.
    const auto length = this->headerParsed ? this->parser->content_length() : boost::none;
    if (length)
        this->parser->get().body().reserve(static_cast<std::size_t>(*length));
    if (!std::exchange(this->incomplete, true))
        this->progressTime = net::Deadline::now();
    this->context->limits.budget->setIncomplete(this->shared_from_this(), bytes,
                                                this->progressTime);
    this->readMore();
}

void ServerConnection::pauseReading(std::size_t bytes)
{
    const core::TimePoint now = net::Deadline::now();
    memory::Budget &budget = *this->context->limits.budget;
    if (this->paused && now - this->pauseBegin >= maxPause) {
        ++budget.counts.refused;
        return this->reject(serviceUnavailable, "overloaded", overloadedMessage);
    }
    if (!this->paused) {
        this->endIncomplete(); // It doesn't stall by itself.
        if (this->context->pausedConnections++ >= this->context->limits.maxPausedConnections) {
            --this->context->pausedConnections;
            ++budget.counts.refused;
            return this->reject(serviceUnavailable, "overloaded", overloadedMessage);
        }
        this->paused = true;
        ++budget.counts.paused;
        this->pauseBegin = now;
    }
    budget.evictStalled(bytes - this->hold.bytes(), now - stallTime);
    this->deadline.setAt(now + pauseInterval);
    this->awaitFailure();
}

// Keeps a connection without a pending read or write alive, and notices that it has failed.
void ServerConnection::awaitFailure()
{
    if (std::exchange(this->failureAwaited, true))
        return;
    this->socket.async_wait(net::Tcp::socket::wait_error,
                            [self = this->shared_from_this()](const net::ErrorCode &error) {
                                self->failureAwaited = false;
                                if (!error && self->paused)
                                    self->abort();
                            });
}

void ServerConnection::resumeReading()
{
    const core::TimePoint now = net::Deadline::now();
    this->paused = false;
    --this->context->pausedConnections;
    this->bodyBegin += now - this->pauseBegin;
    if (this->headerParsed)
        this->setBodyDeadline();
    else
        this->deadline.setAt(now + this->context->limits.headerTimeout);
}

void ServerConnection::setBodyDeadline()
{
    const ServerLimits &limits = this->context->limits;
    this->deadline.setAt(this->bodyBegin + limits.bodyTimeout
                         + std::chrono::seconds(this->receivedBytes / limits.minBodyRate));
}

void ServerConnection::onProgress(std::size_t size)
{
    this->receivedBytes += size;
    if (this->state != State::Reading)
        return;
    if (this->headerParsed)
        this->setBodyDeadline();
    this->unmarkedBytes += size;
    if (this->unmarkedBytes < progressBytes)
        return;
    this->unmarkedBytes = 0;
    this->progressTime = net::Deadline::now();
}

void ServerConnection::endIncomplete()
{
    if (std::exchange(this->incomplete, false))
        this->context->limits.budget->removeIncomplete(this);
}

// Gives back what the request being read or handled holds.
void ServerConnection::releaseMessage()
{
    this->endIncomplete();
    if (std::exchange(this->paused, false))
        --this->context->pausedConnections;
    this->parser.reset();
    if (this->buffer.size() == 0 && this->buffer.capacity() > 2 * headerReadBytes)
        this->buffer.shrink_to_fit();
    this->hold.tryResize(0);
    this->receivedBytes = 0;
    this->headerBytes = 0;
    this->unmarkedBytes = 0;
}

void ServerConnection::countClosed()
{
    if (std::exchange(this->openCounted, false))
        --this->context->openConnections;
    if (std::exchange(this->lingerCounted, false))
        --this->context->lingeringConnections;
}

void ServerConnection::onDeadline()
{
    if (this->paused && this->state == State::Reading)
        return this->readIncomplete();
    if (this->state == State::Responding && this->writer.isWaiting())
        return this->writer.onDeadline();
    this->abort();
}

void ServerConnection::abort()
{
    if (this->state == State::Closed)
        return;
    const bool responding = this->state == State::Responding;
    this->state = State::Closed;
    this->releaseMessage();
    this->writer.cancel();
    this->deadline.stop();
    // The reset prevents the client from mistaking a truncated response for a complete one.
    if (responding)
        net::resetSocket(this->socket);
    else
        net::closeSocket(this->socket);
    this->countClosed();
    this->context->connections.remove(this);
    if (const auto pending = std::exchange(this->exchange, nullptr))
        pending->cancel();
}

} // namespace amaranthdale::http
