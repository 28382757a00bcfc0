// Connecting, sending a request and receiving its response.
#include "client_connection.h"

#include "connection_pool.h"
#include "header_text.h"
#include "response_body.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace amaranthdale::http {

namespace {

constexpr std::size_t headerReadBytes = 8 * 1024;
constexpr unsigned switchingProtocols = 101;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned firstRedirect = 300;

// A chunk size line with extensions, or trailer fields, beyond this are refused.
constexpr std::size_t unparsedBytes = 16 * 1024;

} // namespace

ClientConnection::ClientConnection(std::shared_ptr<ConnectionPool> connectionPool,
                                   core::Endpoint endpoint)
    : pool(std::move(connectionPool)), to(std::move(endpoint)),
      socket(boost::asio::make_strand(this->pool->context)), deadline(this->socket.get_executor())
{ }

void ClientConnection::start(std::shared_ptr<ClientExchange> exchange)
{
    boost::asio::post(this->socket.get_executor(),
                      [self = this->shared_from_this(), exchange = std::move(exchange)]() mutable {
                          self->begin(std::move(exchange));
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
        self->shut();
        self->pool->removeBusy(self);
    });
}

void ClientConnection::readBody(std::uint64_t wanted, ChunkHandler handler)
{
    boost::asio::post(
            this->socket.get_executor(),
            [self = this->shared_from_this(), wanted, handler = std::move(handler)]() mutable {
                if (self->response != wanted || self->state != State::Streaming)
                    return handler(core::Error{core::ErrorKind::ConnectionLost,
                                               "the connection to " + core::formatEndpoint(self->to)
                                                       + " ended before the response did"});
                self->chunkHandler = std::move(handler);
                self->deadline.setAfter(self->current->timeout);
                self->deliverChunk();
            });
}

void ClientConnection::abandonBody(std::uint64_t unwanted)
{
    boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this(), unwanted] {
        if (self->response == unwanted && self->state == State::Streaming)
            self->fail(core::ErrorKind::ConnectionLost, "the response was abandoned");
    });
}

void ClientConnection::begin(std::shared_ptr<ClientExchange> exchange)
{
    this->deadline.start(this->weak_from_this(), [this] { this->onDeadline(); });
    this->current = std::move(exchange);
    this->repeated = false;
    if (this->state == State::Idle)
        return this->writeRequest();
    if (this->state == State::Unconnected)
        return this->connect();
    this->fail(core::ErrorKind::Unavailable,
               "the client was shut down before the request was sent");
}

void ClientConnection::connect()
{
    const auto endpoint = core::attempt([this] { return net::toTcpEndpoint(this->to); });
    this->state = State::Connecting;
    if (!endpoint)
        return this->fail(core::ErrorKind::Unavailable, endpoint.error().message);
    this->reused = false;
    this->deadline.setAt(std::min(this->current->dueAt,
                                  net::Deadline::now() + this->pool->limits.connectTimeout));
    this->socket.async_connect(*endpoint,
                               [self = this->shared_from_this(),
                                number = this->socketNumber](const net::ErrorCode &error) {
                                   if (number == self->socketNumber)
                                       self->onConnected(error);
                               });
}

void ClientConnection::onConnected(const net::ErrorCode &error)
{
    if (error)
        return this->fail(core::ErrorKind::Unavailable, "connect failed: " + error.message());
    net::tuneSocket(this->socket);
    net::watchSocket(this->socket);
    this->writeRequest();
}

void ClientConnection::writeRequest()
{
    this->state = State::Waiting;
    this->writing = true;
    this->releasable = false;
    this->writtenBytes = 0;
    this->resetParser();
    this->deadline.setAt(this->current->dueAt);
    const std::array<boost::asio::const_buffer, 2> buffers{
            boost::asio::buffer(this->current->header), boost::asio::buffer(this->current->body)};
    // The exchange owns the text and is kept until the write has ended.
    boost::asio::async_write(
            this->socket, buffers,
            [self = this->shared_from_this(), number = this->socketNumber,
             exchange = this->current](const net::ErrorCode &error, std::size_t size) {
                if (number == self->socketNumber)
                    self->onWritten(error, size);
            });
    this->readMore(headerReadBytes);
}

void ClientConnection::onWritten(const net::ErrorCode &error, std::size_t size)
{
    this->writing = false;
    this->writtenBytes = size;
    // A server that refuses early may have closed its reading side; the pending read then still
    // gets the response, or the error.
    if (error && size == 0 && this->state == State::Waiting)
        return this->onLost(error);
    if (this->releasable)
        this->release();
}

void ClientConnection::readMore(std::size_t size)
{
    if (this->reading)
        return;
    this->reading = true;
    this->socket.async_read_some(this->buffer.prepare(size),
                                 [self = this->shared_from_this(), number = this->socketNumber](
                                         const net::ErrorCode &error, std::size_t count) {
                                     if (number == self->socketNumber)
                                         self->onRead(error, count);
                                 });
}

void ClientConnection::onRead(const net::ErrorCode &error, std::size_t size)
{
    this->reading = false;
    if (this->state == State::Idle)
        return this->onIdleLost(); // Closed, or data that no request asked for.
    if (error)
        return this->onLost(error);
    this->buffer.commit(size);
    if (!this->parse())
        return;
    if (this->skipping)
        return this->skipResponse();
    if (this->state == State::Streaming)
        return this->deliverChunk();
    if (this->parser->is_header_done())
        return this->onHeader();
    this->readMore(headerReadBytes);
}

void ClientConnection::resetParser()
{
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->header_limit(static_cast<std::uint32_t>(this->pool->limits.headerBytes));
    this->parser->body_limit(boost::none);
    this->parser->skip(this->current->head);
}

bool ClientConnection::parse()
{
    while (this->buffer.size() > 0 && !this->parser->is_done()) {
        net::ErrorCode error;
        const std::size_t used = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(used);
        const bool incomplete = error == boost::beast::http::error::need_more;
        const bool overlong =
                incomplete && this->parser->is_header_done() && this->buffer.size() > unparsedBytes;
        if (overlong || (error && !incomplete)) {
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
    const unsigned status = this->parser->get().result_int();
    if (status == switchingProtocols)
        return this->fail(core::ErrorKind::Protocol, "the server switched protocols unasked");
    if (status >= firstFinalStatus)
        return this->isForeign() ? this->skipResponse() : this->deliverResponse();
    // An interim response, such as 100 Continue, precedes the final one.
    this->resetParser();
    if (!this->parse())
        return;
    if (this->parser->is_header_done())
        return this->onHeader();
    this->readMore(headerReadBytes);
}

// A server may answer twice; the second response then arrives where the next one is expected.
bool ClientConnection::isForeign() const
{
    if (!this->current->echoed)
        return false;
    const auto &message = this->parser->get();
    const auto field = message.find(this->current->echoed->name);
    if (field == message.end())
        return message.result_int() < firstRedirect;
    const auto value = field->value();
    return std::string_view(value.data(), value.size()) != this->current->echoed->value;
}

void ClientConnection::skipResponse()
{
    this->skipping = true;
    this->tainted = true;
    this->parser->get().body().clear();
    if (!this->parser->is_done())
        return this->readMore(this->pool->limits.chunkBytes);
    this->skipping = false;
    this->resetParser();
    if (!this->parse())
        return;
    if (this->parser->is_header_done())
        return this->onHeader();
    this->readMore(headerReadBytes);
}

// Servers close idle connections; one that is about to be closed must not get a request.
void ClientConnection::noteIdleLimit()
{
    this->idleLimit = this->pool->limits.idleTimeout;
    const auto field = this->parser->get()[boost::beast::http::field::keep_alive];
    constexpr std::string_view parameter = "timeout=";
    const std::string_view text(field.data(), field.size());
    const auto position = text.find(parameter);
    if (position == std::string_view::npos)
        return;
    unsigned seconds = 0;
    const char *begin = text.data() + position + parameter.size();
    const auto parsed = std::from_chars(begin, text.data() + text.size(), seconds);
    if (parsed.ec == std::errc())
        this->idleLimit =
                std::min<core::Duration>(this->idleLimit, std::chrono::seconds(seconds) / 2);
}

void ClientConnection::deliverResponse()
{
    this->noteIdleLimit();
    auto &message = this->parser->get();
    core::HttpResponse result;
    result.status = message.result_int();
    result.headers = toHeaders(message);
    if (const auto length = this->parser->content_length())
        result.contentLength = *length;
    std::string beginning = std::exchange(message.body(), {});
    ++this->response;
    const auto exchange = this->current;
    if (this->parser->is_done()) {
        if (!this->current->head && !result.contentLength)
            result.contentLength = beginning.size();
        result.body = core::makeStringBody(std::move(beginning));
        this->release();
    } else {
        this->state = State::Streaming;
        this->deadline.clear();
        result.body = std::make_shared<ResponseBody>(this->shared_from_this(), this->response,
                                                     std::move(beginning));
    }
    exchange->finish(std::move(result));
}

void ClientConnection::deliverChunk()
{
    auto &piece = this->parser->get().body();
    const bool last = this->parser->is_done();
    if (!this->chunkHandler)
        return;
    if (piece.empty() && !last)
        return this->readMore(this->pool->limits.chunkBytes);
    core::BodyChunk chunk{std::exchange(piece, {}), last};
    this->deadline.clear();
    const auto handler = std::exchange(this->chunkHandler, nullptr);
    if (last)
        this->release();
    handler(std::move(chunk));
}

void ClientConnection::onLost(const net::ErrorCode &error)
{
    if (this->state == State::Closed || !this->current)
        return this->fail(core::ErrorKind::ConnectionLost, error.message());
    net::ErrorCode unfinished;
    if (this->state == State::Streaming && error == boost::asio::error::eof)
        this->parser->put_eof(unfinished);
    if (this->state == State::Streaming && this->parser->is_done() && !unfinished)
        return this->deliverChunk();
    if (this->repeat())
        return;
    const bool untouched =
            this->state == State::Waiting && !this->writing && this->writtenBytes == 0;
    this->fail(untouched ? core::ErrorKind::Unavailable : core::ErrorKind::ConnectionLost,
               "the connection ended: " + error.message());
}

bool ClientConnection::repeat()
{
    const bool answered = this->buffer.size() > 0 || this->parser->got_some();
    if (this->state != State::Waiting || answered || !this->reused || this->repeated
        || !this->current->repeatable)
        return false;
    this->repeated = true;
    ++this->socketNumber;
    this->reading = false;
    this->skipping = false;
    this->tainted = false;
    net::closeSocket(this->socket);
    this->connect();
    return true;
}

void ClientConnection::onIdleLost()
{
    this->deadline.stop();
    net::closeSocket(this->socket);
    ++this->socketNumber;
    this->reading = false;
    this->buffer.clear();
    const bool removed = this->pool->removeIdle(this->shared_from_this());
    this->state = removed ? State::Closed : State::Unconnected;
}

void ClientConnection::release()
{
    ++this->response;
    this->current.reset();
    if (this->writing) {
        this->releasable = true;
        return;
    }
    this->releasable = false;
    if (!this->parser->keep_alive() || this->buffer.size() > 0 || this->tainted) {
        this->shut();
        return this->pool->removeBusy(this->shared_from_this());
    }
    this->state = State::Idle;
    this->reused = true;
    this->deadline.setAfter(this->idleLimit);
    this->readMore(headerReadBytes);
    if (auto next = this->pool->release(this->shared_from_this()))
        this->begin(std::move(next));
}

void ClientConnection::onDeadline()
{
    switch (this->state) {
    case State::Idle:
        return this->onIdleLost();
    case State::Connecting:
        return this->fail(core::ErrorKind::Unavailable, "connecting took too long");
    default:
        return this->fail(core::ErrorKind::Timeout, "the server did not respond in time");
    }
}

void ClientConnection::fail(core::ErrorKind kind, const std::string &reason)
{
    const bool unsent = !this->repeated
            && (this->state == State::Connecting || this->state == State::Unconnected);
    const core::Error error{unsent ? core::ErrorKind::Unavailable : kind,
                            core::formatEndpoint(this->to) + ": " + reason};
    const auto exchange = std::exchange(this->current, nullptr);
    const auto handler = std::exchange(this->chunkHandler, nullptr);
    // Bytes of the request that are still on their way must not arrive after it was given up.
    net::resetSocket(this->socket);
    this->shut();
    this->pool->removeBusy(this->shared_from_this());
    if (exchange)
        exchange->finish(error);
    if (handler)
        handler(error);
}

void ClientConnection::shut()
{
    this->state = State::Closed;
    ++this->socketNumber;
    this->deadline.stop();
    net::closeSocket(this->socket);
}

} // namespace amaranthdale::http
