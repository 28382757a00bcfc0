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
constexpr std::size_t bodyReadBytes = 64 * 1024;

// Maximum size of an incomplete chunk size line with extensions or trailer section; longer ones are
// rejected.
constexpr std::size_t maxUnparsedBytes = 16 * 1024;

// Lingering close. The client may still be sending when its request is rejected; closing
// immediately would reset the connection, and the client could lose the response.
constexpr auto lingerTimeout = std::chrono::seconds(1);
constexpr std::size_t maxLingerBytes = 4 * 1024 * 1024;

constexpr unsigned badRequest = 400;
constexpr unsigned payloadTooLarge = 413;
constexpr unsigned requestHeaderFieldsTooLarge = 431;
constexpr unsigned serviceUnavailable = 503;

} // namespace

ServerConnection::ServerConnection(net::Socket connectionSocket,
                                   std::shared_ptr<ServerContext> serverContext)
    : socket(std::move(connectionSocket)), deadline(this->socket.get_executor()),
      context(std::move(serverContext)),
      writer(this->socket, this->deadline, this->context->limits.writeTimeout,
             [this](bool complete) { this->onResponseDone(complete); })
{ }

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
    this->releaseBody();
    this->headerParsed = false;
    this->exchange.reset();
    if (this->buffer.size() > 0)
        return this->parse();
    this->deadline.setAfter(this->context->limits.idleTimeout);
    this->readMore();
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
    if (this->state == State::Idle || this->state == State::Reading)
        return this->parse();
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
        this->parser->header_limit(
                static_cast<std::uint32_t>(this->context->limits.maxHeaderBytes));
        this->parser->body_limit(this->context->limits.maxBodyBytes);
        this->deadline.setAfter(this->context->limits.headerTimeout);
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
        if (!this->holdBody(this->parser->get().body().size()))
            return this->reject(serviceUnavailable, "overloaded",
                                "too many large requests at the same time; try again later");
        if (used == 0)
            break;
    }
    if (this->parser->is_header_done() && !this->headerParsed)
        this->onHeader();
    if (this->parser->is_done())
        return this->handleRequest();
    this->readMore();
}

void ServerConnection::onHeader()
{
    this->headerParsed = true;
    if (this->parser->is_done())
        return;
    this->deadline.setAfter(this->context->limits.bodyTimeout);
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
    this->state = State::Responding;
    this->deadline.clear();
    core::HttpRequest request = this->takeRequest();
    this->parser.reset();
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
    request.body = std::move(message.body());
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
    this->parser.reset();
    this->buffer.consume(this->buffer.size());
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
    this->state = State::Lingering;
    this->releaseBody();
    net::ErrorCode ignored;
    this->socket.shutdown(net::Tcp::socket::shutdown_send, ignored);
    this->buffer.consume(this->buffer.size());
    this->deadline.setAfter(lingerTimeout);
    this->context->connections.remove(this);
    this->readMore();
}

// Counts a request body of `size` bytes. Returns false if all bodies together exceed the limit.
bool ServerConnection::holdBody(std::size_t size)
{
    if (size <= std::max(this->heldBytes, this->context->limits.uncountedBodyBytes))
        return true;
    std::atomic<std::size_t> &total = this->context->heldBodyBytes;
    std::size_t current = total.load();
    do {
        const std::size_t others = current - this->heldBytes;
        if (others > 0 && others + size > this->context->limits.maxTotalBodyBytes)
            return false;
    } while (!total.compare_exchange_weak(current, current - this->heldBytes + size));
    this->heldBytes = size;
    return true;
}

void ServerConnection::releaseBody()
{
    this->context->heldBodyBytes -= std::exchange(this->heldBytes, 0);
}

void ServerConnection::onDeadline()
{
    this->abort();
}

void ServerConnection::abort()
{
    if (this->state == State::Closed)
        return;
    const bool responding = this->state == State::Responding;
    this->state = State::Closed;
    this->releaseBody();
    this->writer.cancel();
    this->deadline.stop();
    // The reset prevents the client from mistaking a truncated response for a complete one.
    if (responding)
        net::resetSocket(this->socket);
    else
        net::closeSocket(this->socket);
    this->context->connections.remove(this);
    if (const auto pending = std::exchange(this->exchange, nullptr))
        pending->cancel();
}

} // namespace amaranthdale::http
