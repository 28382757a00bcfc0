// The pull and write loop of a response.
#include "response_writer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <charconv>

namespace amaranthdale::http {

namespace {

std::string formatChunkSize(std::size_t size)
{
    constexpr int hexadecimal = 16;
    std::array<char, 2 * sizeof(size)> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), size, hexadecimal);
    return std::string(digits.data(), end.ptr).append("\r\n");
}

} // namespace

void ResponseWriter::start(std::shared_ptr<void> owner, core::HttpResponse response,
                           RequestTraits traits)
{
    this->keepAlive = std::move(owner);
    this->framing = chooseFraming(response, traits);
    this->remaining = response.contentLength.value_or(0);
    this->prefix = formatResponseHeader(response, this->framing, traits.keepAlive);
    this->writable = true;
    this->last = this->framing == BodyFraming::None;
    if (this->last)
        return this->write();
    this->body = std::move(response.body);
    this->pull();
    // A body that is complete is written together with the header; one still on its way isn't
    // waited for.
    if (this->pulling && this->writable && !this->writing)
        this->write();
}

void ResponseWriter::abandon()
{
    ++this->number;
    this->body.reset();
    this->keepAlive.reset();
}

void ResponseWriter::pull()
{
    this->pulling = true;
    const auto reader = this->body;
    reader->read([this, owner = this->keepAlive, wanted = this->number,
                  executor = this->socket.get_executor()](core::Outcome<core::BodyChunk> chunk) {
        boost::asio::dispatch(executor, [this, owner, wanted, chunk = std::move(chunk)]() mutable {
            if (wanted == this->number)
                this->onChunk(std::move(chunk));
        });
    });
}

void ResponseWriter::onChunk(core::Outcome<core::BodyChunk> chunk)
{
    this->pulling = false;
    if (!chunk || !this->takeChunk(std::move(*chunk)))
        return this->finish(false);
    if (!this->writing)
        this->write();
}

bool ResponseWriter::takeChunk(core::BodyChunk chunk)
{
    if (this->framing == BodyFraming::Length) {
        if (chunk.data.size() > this->remaining)
            return false;
        this->remaining -= chunk.data.size();
        if (chunk.last && this->remaining > 0)
            return false;
    }
    this->last = chunk.last;
    this->writable = true;
    // While the header is being written, its buffer must stay as it is.
    if (!this->writing)
        this->frameChunk(chunk);
    this->data = std::move(chunk.data);
    return true;
}

void ResponseWriter::frameChunk(const core::BodyChunk &chunk)
{
    if (this->framing != BodyFraming::Chunked)
        return;
    if (!chunk.data.empty()) {
        this->prefix += formatChunkSize(chunk.data.size());
        this->suffix = "\r\n";
    }
    if (chunk.last)
        this->suffix += "0\r\n\r\n";
}

void ResponseWriter::write()
{
    this->writing = true;
    this->writable = false;
    this->deadline.setAfter(this->writeTimeout);
    const std::array<boost::asio::const_buffer, 3> buffers{boost::asio::buffer(this->prefix),
                                                           boost::asio::buffer(this->data),
                                                           boost::asio::buffer(this->suffix)};
    boost::asio::async_write(this->socket, buffers,
                             [this, owner = this->keepAlive,
                              wanted = this->number](const net::ErrorCode &error, std::size_t) {
                                 if (wanted == this->number)
                                     this->onWritten(error);
                             });
}

void ResponseWriter::onWritten(const net::ErrorCode &error)
{
    this->writing = false;
    this->deadline.clear();
    this->prefix.clear();
    this->suffix.clear();
    if (error)
        return this->finish(false);
    if (this->writable) {
        // A chunk arrived while the header was on its way.
        core::BodyChunk chunk{std::move(this->data), this->last};
        this->frameChunk(chunk);
        this->data = std::move(chunk.data);
        return this->write();
    }
    this->data.clear();
    if (this->last)
        return this->finish(true);
    if (!this->pulling)
        this->pull();
}

void ResponseWriter::finish(bool complete)
{
    this->abandon();
    this->done(complete);
}

} // namespace amaranthdale::http
