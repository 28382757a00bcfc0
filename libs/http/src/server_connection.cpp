// Request loop of a server connection.
#include "server_connection.h"

#include "refusal.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

namespace amaranthdale::http {

namespace {

constexpr std::size_t headerReadBytes = 8 * 1024;
constexpr std::size_t bodyReadBytes = 64 * 1024;

// A chunk size line with extensions, or trailer fields, beyond this are refused.
constexpr std::size_t unparsedBytes = 16 * 1024;

// After a refusal the client may still be sending. Closing at once would reset the connection and
// could destroy the refusal before the client reads it.
constexpr auto lingerTimeout = std::chrono::seconds(1);
constexpr std::size_t lingerBytes = 4 * 1024 * 1024;

constexpr unsigned badRequest = 400;
constexpr unsigned payloadTooLarge = 413;
constexpr unsigned headerTooLarge = 431;

} // namespace

ServerConnection::ServerConnection(net::Socket connectionSocket,
                                   std::shared_ptr<ServerShared> serverShared)
    : socket(std::move(connectionSocket)), deadline(this->socket.get_executor()),
      shared(std::move(serverShared)),
      writer(this->socket, this->deadline, this->shared->limits.writeTimeout,
             [this](bool complete) { this->onResponseDone(complete); })
{ }

void ServerConnection::start()
{
    this->deadline.start(this->weak_from_this(), [this] { this->onDeadline(); });
    boost::asio::post(this->socket.get_executor(),
                      [self = this->shared_from_this()] { self->begin(); });
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
        net::ErrorCode ignored;
        // A request that the kernel has received already is still answered.
        if (self->state == State::Idle && self->socket.available(ignored) == 0)
            self->abort();
    });
}

void ServerConnection::begin()
{
    if (this->state != State::Closed)
        this->beginRequest();
}

void ServerConnection::beginRequest()
{
    this->state = State::Idle;
    this->headerSeen = false;
    this->exchange.reset();
    if (this->buffer.size() > 0)
        return this->parse();
    this->deadline.setAfter(this->shared->limits.idleTimeout);
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
    return this->state == State::Reading && this->headerSeen ? bodyReadBytes : headerReadBytes;
}

void ServerConnection::onRead(const net::ErrorCode &error, std::size_t size)
{
    this->reading = false;
    if (this->state == State::Closed)
        return;
    if (error)
        return this->abort();
    this->buffer.commit(size);
    if (this->state == State::Idle || this->state == State::Reading)
        return this->parse();
    if (this->state == State::Lingering) {
        this->buffer.consume(this->buffer.size());
        this->lingeredBytes += size;
        return this->lingeredBytes < lingerBytes ? this->readMore() : this->abort();
    }
    // Answering: the client sent its next request early. It waits in the buffer, and the kernel
    // holds back whatever follows.
}

void ServerConnection::parse()
{
    if (this->state == State::Idle) {
        this->state = State::Reading;
        this->parser.emplace();
        this->parser->eager(true);
        this->parser->header_limit(static_cast<std::uint32_t>(this->shared->limits.headerBytes));
        this->parser->body_limit(this->shared->limits.bodyBytes);
        this->deadline.setAfter(this->shared->limits.headerTimeout);
    }
    while (this->buffer.size() > 0 && !this->parser->is_done()) {
        net::ErrorCode error;
        const std::size_t used = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(used);
        if (error == boost::beast::http::error::need_more) {
            if (this->headerSeen && this->buffer.size() > unparsedBytes)
                return this->onParseError(boost::beast::http::error::bad_chunk);
            break;
        }
        if (error)
            return this->onParseError(error);
        if (used == 0)
            break;
    }
    if (this->parser->is_header_done() && !this->headerSeen)
        this->onHeader();
    if (this->parser->is_done())
        return this->handleRequest();
    this->readMore();
}

void ServerConnection::onHeader()
{
    this->headerSeen = true;
    if (this->parser->is_done())
        return;
    this->deadline.setAfter(this->shared->limits.bodyTimeout);
    const auto expectation = this->parser->get()[boost::beast::http::field::expect];
    if (boost::beast::iequals(expectation, "100-continue") && this->parser->get().body().empty())
        this->sendContinue();
}

void ServerConnection::sendContinue()
{
    static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    // The text fits any socket buffer, and no other write is in progress before the response.
    boost::asio::async_write(
            this->socket, boost::asio::buffer(interim),
            [self = this->shared_from_this()](const net::ErrorCode &, std::size_t) {});
}

void ServerConnection::onParseError(const net::ErrorCode &error)
{
    using HttpError = boost::beast::http::error;
    if (error == HttpError::header_limit)
        return this->reject(headerTooLarge, "headerTooLarge",
                            "the request header is too large; send fewer or shorter fields");
    if (error == HttpError::body_limit)
        return this->reject(payloadTooLarge, "bodyTooLarge",
                            "the request body is too large; send it in smaller parts");
    this->reject(badRequest, "malformed",
                 "the request is not valid HTTP/1.1 (" + error.message() + "); correct the client");
}

void ServerConnection::handleRequest()
{
    // After a stall of this process a request may be read whose client has given it up already.
    if (net::isClosedByPeer(this->socket))
        return this->abort();
    this->state = State::Answering;
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
    if (!this->shared->gate.handle(std::move(request), std::move(respond), this->exchange))
        this->abort();
}

core::HttpRequest ServerConnection::takeRequest()
{
    auto &message = this->parser->get();
    this->traits.head = message.method() == boost::beast::http::verb::head;
    this->traits.keepAlive = this->parser->keep_alive();
    this->traits.modern = message.version() >= 11;
    core::HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = toHeaders(message);
    request.body = std::move(message.body());
    return request;
}

void ServerConnection::onResponse(core::Outcome<core::HttpResponse> outcome)
{
    if (this->state != State::Answering)
        return;
    this->exchange.reset();
    if (this->draining || this->shared->ending)
        this->traits.keepAlive = false;
    this->writer.start(this->shared_from_this(),
                       outcome ? std::move(*outcome) : makeFailureResponse(outcome.error()),
                       this->traits);
}

void ServerConnection::reject(unsigned status, std::string_view kind, std::string_view message)
{
    this->state = State::Answering;
    this->parser.reset();
    this->buffer.consume(this->buffer.size());
    this->traits = RequestTraits{.head = false, .keepAlive = false, .modern = true};
    this->writer.start(this->shared_from_this(), makeRefusal(status, kind, message, "not-run"),
                       this->traits);
}

void ServerConnection::onResponseDone(bool complete)
{
    if (this->state != State::Answering)
        return;
    if (!complete)
        return this->abort();
    if (!this->traits.keepAlive || this->draining)
        return this->linger();
    this->beginRequest();
}

void ServerConnection::linger()
{
    this->state = State::Lingering;
    net::ErrorCode ignored;
    this->socket.shutdown(net::Tcp::socket::shutdown_send, ignored);
    this->buffer.consume(this->buffer.size());
    this->deadline.setAfter(lingerTimeout);
    this->shared->connections.remove(this);
    this->readMore();
}

void ServerConnection::onDeadline()
{
    this->abort();
}

void ServerConnection::abort()
{
    if (this->state == State::Closed)
        return;
    const bool answering = this->state == State::Answering;
    this->state = State::Closed;
    this->writer.abandon();
    this->deadline.stop();
    // A reset while answering keeps the client from taking a short response for a whole one.
    if (answering)
        net::resetSocket(this->socket);
    else
        net::closeSocket(this->socket);
    this->shared->connections.remove(this);
    if (const auto pending = std::exchange(this->exchange, nullptr))
        pending->cancel();
}

} // namespace amaranthdale::http
