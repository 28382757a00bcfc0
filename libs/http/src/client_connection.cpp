// Connection establishment, request sending and response parsing.
#include "client_connection.h"

#include "connection_pool.h"
#include "header_text.h"
#include "response_body.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace amaranthdale::http {

namespace {

constexpr std::size_t headerReadBytes = 8 * 1024;
constexpr unsigned switchingProtocols = 101;
constexpr unsigned firstStatus = 100;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned firstRedirect = 300;
constexpr unsigned lastStatus = 599;

// Maximum size of an incomplete chunk size line with extensions or trailer section; longer ones are
// rejected.
constexpr std::size_t maxUnparsedBytes = 16 * 1024;

// The socket's send buffer takes at least this much, so writing a smaller request doesn't wait for
// the server to read it.
constexpr std::size_t maxBufferedRequestBytes = 16 * 1024;

// Of one part of a write.
constexpr std::size_t maxWriteBytes = 64 * 1024;

// Describes what is invalid in a response header that the parser accepts; null if nothing is.
const char *findDefect(const boost::beast::http::response_header<> &header)
{
    using boost::beast::http::field;
    const unsigned status = header.result_int();
    if (status < firstStatus || status > lastStatus)
        return "invalid status";
    if (status == switchingProtocols)
        return "unexpected status 101 Switching Protocols";
    // The field is removed with the coding, so a body in any other coding would be passed on as if
    // it had none.
    const auto [first, last] = header.equal_range(field::transfer_encoding);
    const bool isDecoded = std::all_of(first, last, [](const auto &coding) {
        return boost::beast::iequals(coding.value(), "chunked");
    });
    return isDecoded ? nullptr : "unsupported transfer coding";
}

} // namespace

ClientConnection::ClientConnection(std::shared_ptr<ConnectionPool> connectionPool,
                                   core::Endpoint endpoint)
    : pool(std::move(connectionPool)), remoteEndpoint(std::move(endpoint)),
      socket(boost::asio::make_strand(this->pool->context)), deadline(this->socket.get_executor())
{ }

void ClientConnection::start(std::shared_ptr<ClientExchange> exchange)
{
    boost::asio::post(this->socket.get_executor(),
                      [self = this->shared_from_this(), exchange = std::move(exchange)]() mutable {
                          self->startExchange(std::move(exchange));
                      });
}

void ClientConnection::cancel(std::shared_ptr<ClientExchange> exchange)
{
    boost::asio::post(this->socket.get_executor(),
                      [self = this->shared_from_this(), exchange = std::move(exchange)] {
                          if (self->current == exchange)
                              self->fail(core::ErrorKind::ConnectionLost,
                                         "the request was cancelled");
                      });
}

void ClientConnection::close()
{
    boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
        if (self->current)
            return self->fail(core::ErrorKind::ConnectionLost, "the client was shut down");
        self->closeConnection();
        self->pool->removeBusy(self);
    });
}

void ClientConnection::readBody(std::uint64_t number, ChunkHandler handler)
{
    boost::asio::post(
            this->socket.get_executor(),
            [self = this->shared_from_this(), number, handler = std::move(handler)]() mutable {
                if (self->responseNumber != number || self->state != State::ReadingBody)
                    return handler(core::Error{
                            core::ErrorKind::ConnectionLost,
                            "connection to " + core::formatEndpoint(self->remoteEndpoint)
                                    + " closed before the response was complete"});
                self->chunkHandler = std::move(handler);
                self->deadline.setAt(std::min(net::Deadline::now() + self->current->timeout,
                                              self->current->completionDeadline));
                self->deliverChunk();
            });
}

void ClientConnection::cancelBody(std::uint64_t number)
{
    boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this(), number] {
        if (self->responseNumber == number && self->state == State::ReadingBody)
            self->fail(core::ErrorKind::ConnectionLost,
                       "the response body was not read to its end");
    });
}

void ClientConnection::startExchange(std::shared_ptr<ClientExchange> exchange)
{
    this->deadline.setExpiryHandler(this->weak_from_this(), [this] { this->onDeadline(); });
    this->current = std::move(exchange);
    this->resent = false;
    if (this->state == State::Idle)
        return this->writeRequest();
    if (this->state == State::Unconnected)
        return this->connect();
    this->fail(core::ErrorKind::Unavailable,
               "the client was shut down before the request was sent");
}

void ClientConnection::connect()
{
    const auto endpoint =
            core::attempt([this] { return net::toTcpEndpoint(this->remoteEndpoint); });
    this->state = State::Connecting;
    if (!endpoint)
        return this->fail(core::ErrorKind::Unavailable, endpoint.error().message);
    this->reused = false;
    this->deadline.setAt(std::min(this->current->expiresAt,
                                  net::Deadline::now() + this->pool->limits.connectTimeout));
    if (this->pool->limits.receiveBufferBytes > 0) {
        net::ErrorCode ignored; // A failure shows again when connecting.
        this->socket.open(endpoint->protocol(), ignored);
        this->socket.set_option(boost::asio::socket_base::receive_buffer_size(
                                        static_cast<int>(this->pool->limits.receiveBufferBytes)),
                                ignored);
    }
    this->socket.async_connect(*endpoint,
                               [self = this->shared_from_this(),
                                generation = this->socketGeneration](const net::ErrorCode &error) {
                                   if (generation == self->socketGeneration)
                                       self->onConnected(error);
                               });
}

void ClientConnection::onConnected(const net::ErrorCode &error)
{
    if (error)
        return this->fail(core::ErrorKind::Unavailable, "failed to connect: " + error.message());
    net::tuneSocket(this->socket);
    net::enableKeepAlive(this->socket);
    this->writeRequest();
}

void ClientConnection::writeRequest()
{
    // A process that was short of processor time may get here long after the timeout.
    if (net::Deadline::now() >= this->current->expiresAt)
        return this->fail(this->resent ? core::ErrorKind::Timeout : core::ErrorKind::Unavailable,
                          "timed out before the request was sent");
    this->state = State::AwaitingResponse;
    this->writing = true;
    this->writeFailed = false;
    this->releasePending = false;
    this->deliveryPending = false;
    this->endPending = false;
    this->writtenBytes = 0;
    this->skippedBytes = 0;
    this->skippedResponses = 0;
    this->resetParser();
    this->deadline.setAt(this->current->expiresAt);
    const std::array<boost::asio::const_buffer, 2> buffers{
            boost::asio::buffer(this->current->header),
            boost::asio::buffer(this->current->bodyText())};
    // A write between two of its parts isn't cancelled with the socket's operations.
    const auto mayWrite = [this](const net::ErrorCode &error, std::size_t) {
        return error || this->endPending ? 0 : maxWriteBytes;
    };
    // The handler keeps this connection alive, and the exchange, which owns the buffers.
    boost::asio::async_write(
            this->socket, buffers, mayWrite,
            [self = this->shared_from_this(), generation = this->socketGeneration,
             exchange = this->current](const net::ErrorCode &error, std::size_t size) {
                if (generation == self->socketGeneration)
                    self->onWritten(error, size);
            });
    this->readMore(headerReadBytes);
}

void ClientConnection::onWritten(const net::ErrorCode &error, std::size_t size)
{
    this->writing = false;
    this->writeFailed = error && error != boost::asio::error::operation_aborted;
    this->writtenBytes = size;
    if (std::exchange(this->endPending, false))
        return this->onConnectionLost(boost::asio::error::eof);
    if (std::exchange(this->deliveryPending, false)) {
        this->mustClose = this->mustClose || error;
        return this->deliverResponse();
    }
    // The server may have responded early and stopped reading the request. The pending read then
    // returns the response or an error.
    if (error && size == 0 && this->state == State::AwaitingResponse)
        return this->onConnectionLost(error);
    if (this->releasePending)
        this->release();
}

void ClientConnection::readMore(std::size_t size)
{
    if (this->reading)
        return;
    this->reading = true;
    this->socket.async_read_some(
            this->buffer.prepare(size),
            [self = this->shared_from_this(),
             generation = this->socketGeneration](const net::ErrorCode &error, std::size_t count) {
                if (generation == self->socketGeneration)
                    self->onRead(error, count);
            });
}

void ClientConnection::onRead(const net::ErrorCode &error, std::size_t size)
{
    this->reading = false;
    if (this->state == State::Idle)
        return this->onIdleClosed(); // Connection closed or unsolicited data.
    if (error)
        return this->onConnectionLost(error);
    this->buffer.commit(size);
    if (!this->parse())
        return;
    if (this->discarding)
        return this->discardResponse();
    if (this->state == State::ReadingBody)
        return this->deliverChunk();
    if (this->parser->is_header_done())
        return this->onHeader();
    this->readMore(headerReadBytes);
}

void ClientConnection::resetParser()
{
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->header_limit(static_cast<std::uint32_t>(this->pool->limits.maxHeaderBytes));
    this->parser->body_limit(boost::none);
    this->parser->skip(this->current->isHead);
}

bool ClientConnection::parse()
{
    while (this->buffer.size() > 0 && !this->parser->is_done()) {
        net::ErrorCode error;
        const std::size_t used = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(used);
        if (this->state == State::AwaitingResponse)
            this->skippedBytes += used;
        const bool incomplete = error == boost::beast::http::error::need_more;
        const bool limitExceeded = incomplete && this->parser->is_header_done()
                && this->buffer.size() > maxUnparsedBytes;
        if (limitExceeded || (error && !incomplete)) {
            this->fail(core::ErrorKind::Protocol, "malformed response: " + error.message());
            return false;
        }
        if (incomplete || used == 0)
            break;
    }
    return true;
}

void ClientConnection::onHeader()
{
    if (const char *defect = findDefect(this->parser->get()))
        return this->fail(core::ErrorKind::Protocol, std::string("malformed response: ") + defect);
    if (this->parser->get().result_int() >= firstFinalStatus)
        return this->isMismatchedResponse() ? this->discardResponse() : this->deliverResponse();
    // Interim response, such as 100 Continue; the final one follows.
    this->readNextHeader();
}

void ClientConnection::readNextHeader()
{
    if (this->skippedBytes > this->pool->limits.maxSkippedBytes)
        return this->fail(core::ErrorKind::Protocol,
                          "too many bytes before the response to the request");
    this->resetParser();
    if (!this->parse())
        return;
    if (this->parser->is_header_done())
        return this->onHeader();
    this->readMore(headerReadBytes);
}

// A server may respond twice to one request; the second response would then be taken as that of the
// next request on the connection.
bool ClientConnection::isMismatchedResponse() const
{
    if (!this->current->correlationHeader)
        return false;
    const auto &message = this->parser->get();
    const auto field = message.find(this->current->correlationHeader->name);
    if (field == message.end())
        return message.result_int() < firstRedirect;
    const auto value = field->value();
    return std::string_view(value.data(), value.size()) != this->current->correlationHeader->value;
}

void ClientConnection::discardResponse()
{
    this->discarding = true;
    this->mustClose = true;
    this->parser->get().body().clear();
    if (this->skippedBytes > this->pool->limits.maxSkippedBytes)
        return this->fail(core::ErrorKind::Protocol,
                          "the response to another request exceeds the size limit");
    if (!this->parser->is_done())
        return this->readMore(this->pool->limits.maxChunkBytes);
    this->discarding = false;
    ++this->skippedResponses;
    this->readNextHeader();
}

// Limits the idle time to half of the server's keep-alive timeout, so that no request is sent on a
// connection that the server is about to close.
void ClientConnection::updateIdleTimeout()
{
    this->idleTimeout = this->pool->limits.idleTimeout;
    const auto field = this->parser->get()[boost::beast::http::field::keep_alive];
    constexpr std::string_view parameter = "timeout=";
    const std::string_view text(field.data(), field.size());
    const auto position = text.find(parameter);
    if (position == std::string_view::npos)
        return;
    unsigned seconds = 0;
    const char *first = text.data() + position + parameter.size();
    const auto parsed = std::from_chars(first, text.data() + text.size(), seconds);
    if (parsed.ec == std::errc())
        this->idleTimeout =
                std::min<core::Duration>(this->idleTimeout, std::chrono::seconds(seconds) / 2);
}

// True if the response is complete and the completion of the request's write is about to run. The
// connection can't be reused before, so whoever sends the next request upon the response would need
// a new one.
bool ClientConnection::isWriteCompleting() const
{
    return this->writing && this->parser->is_done()
            && this->current->header.size() + this->current->bodyText().size()
            <= maxBufferedRequestBytes;
}

void ClientConnection::deliverResponse()
{
    if (this->isWriteCompleting()) {
        this->deliveryPending = true;
        return;
    }
    this->updateIdleTimeout();
    auto &message = this->parser->get();
    core::HttpResponse result;
    result.status = message.result_int();
    result.headers = toHeaders(message);
    result.skippedResponses = this->skippedResponses;
    result.firstOnConnection = !this->reused && this->skippedResponses == 0;
    // A response that doesn't name its request may be the response to another one.
    if (this->current->correlationHeader
        && !core::findHeader(result.headers, this->current->correlationHeader->name))
        this->mustClose = true;
    if (const auto length = this->parser->content_length())
        result.contentLength = *length;
    std::string initialData = std::exchange(message.body(), {});
    ++this->responseNumber;
    const auto exchange = this->current;
    if (this->parser->is_done()) {
        if (!this->current->isHead && !result.contentLength)
            result.contentLength = initialData.size();
        result.body = core::makeStringBody(std::move(initialData));
        this->release();
    } else {
        this->state = State::ReadingBody;
        this->deadline.clear();
        result.body = std::make_shared<ResponseBody>(this->shared_from_this(), this->responseNumber,
                                                     std::move(initialData));
    }
    exchange->finish(std::move(result));
}

void ClientConnection::deliverChunk()
{
    auto &data = this->parser->get().body();
    const bool last = this->parser->is_done();
    if (!this->chunkHandler)
        return;
    if (data.empty() && !last)
        return this->readMore(this->pool->limits.maxChunkBytes);
    core::BodyChunk chunk{std::exchange(data, {}), last};
    this->deadline.clear();
    const auto handler = std::exchange(this->chunkHandler, nullptr);
    if (last)
        this->release();
    handler(std::move(chunk));
}

void ClientConnection::onConnectionLost(const net::ErrorCode &error)
{
    if (this->state == State::Closed || !this->current)
        return this->fail(core::ErrorKind::ConnectionLost, error.message());
    net::ErrorCode parseError;
    const bool bodyEnds = this->state == State::ReadingBody && error == boost::asio::error::eof;
    // The system reports a reset once. If the write of the request gets it, the read finds the end
    // of the stream, which doesn't end a body then.
    if (bodyEnds && this->writing) {
        net::ErrorCode ignored;
        this->endPending = true;
        this->socket.cancel(ignored);
        return;
    }
    if (bodyEnds && !this->writeFailed)
        this->parser->put_eof(parseError);
    if (this->state == State::ReadingBody && this->parser->is_done() && !parseError)
        return this->deliverChunk();
    if (this->resendOnNewConnection())
        return;
    const bool unsent =
            this->state == State::AwaitingResponse && !this->writing && this->writtenBytes == 0;
    this->fail(unsent ? core::ErrorKind::Unavailable : core::ErrorKind::ConnectionLost,
               "connection lost: " + error.message());
}

bool ClientConnection::resendOnNewConnection()
{
    const bool responseStarted = this->buffer.size() > 0 || this->parser->got_some();
    if (this->state != State::AwaitingResponse || responseStarted || !this->reused || this->resent
        || !this->current->resendable)
        return false;
    this->resent = true;
    ++this->socketGeneration;
    this->reading = false;
    this->discarding = false;
    this->mustClose = false;
    net::closeSocket(this->socket);
    this->connect();
    return true;
}

void ClientConnection::onIdleClosed()
{
    this->deadline.stop();
    net::closeSocket(this->socket);
    ++this->socketGeneration;
    this->reading = false;
    this->buffer.clear();
    const bool removed = this->pool->removeIdle(this->shared_from_this());
    this->state = removed ? State::Closed : State::Unconnected;
}

void ClientConnection::release()
{
    ++this->responseNumber;
    this->current.reset();
    if (this->writing) {
        this->releasePending = true;
        return;
    }
    this->releasePending = false;
    const bool reusable =
            this->parser->keep_alive() && this->buffer.size() == 0 && !this->mustClose;
    std::shared_ptr<ClientExchange> next;
    if (!reusable || !this->pool->release(this->shared_from_this(), next)) {
        this->closeConnection();
        return this->pool->removeBusy(this->shared_from_this());
    }
    // An idle connection doesn't keep what a large response has taken.
    if (this->buffer.capacity() > 2 * headerReadBytes)
        this->buffer.shrink_to_fit();
    // Whoever takes the connection from the pool posts to the strand that runs this function.
    this->state = State::Idle;
    this->reused = true;
    this->deadline.setAfter(this->idleTimeout);
    this->readMore(headerReadBytes);
    if (next)
        this->startExchange(std::move(next));
}

void ClientConnection::onDeadline()
{
    switch (this->state) {
    case State::Idle:
        return this->onIdleClosed();
    case State::Connecting:
        return this->fail(core::ErrorKind::Unavailable, "connect timed out");
    default:
        return this->fail(core::ErrorKind::Timeout, "timed out waiting for the server");
    }
}

void ClientConnection::fail(core::ErrorKind kind, const std::string &reason)
{
    const bool notSent = !this->resent
            && (this->state == State::Connecting || this->state == State::Unconnected);
    const core::Error error{notSent ? core::ErrorKind::Unavailable : kind,
                            core::formatEndpoint(this->remoteEndpoint) + ": " + reason};
    const auto exchange = std::exchange(this->current, nullptr);
    const auto handler = std::exchange(this->chunkHandler, nullptr);
    // The reset discards unsent bytes of the request, which must not arrive after it has failed.
    net::resetSocket(this->socket);
    this->closeConnection();
    this->pool->removeBusy(this->shared_from_this());
    if (exchange)
        exchange->finish(error);
    if (handler)
        handler(error);
}

void ClientConnection::closeConnection()
{
    this->state = State::Closed;
    ++this->socketGeneration;
    this->deadline.stop();
    net::closeSocket(this->socket);
}

} // namespace amaranthdale::http
