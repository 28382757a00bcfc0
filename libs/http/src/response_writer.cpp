// Read and write loop of a response.
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
    this->lifetimeGuard = std::move(owner);
    this->framing = chooseFraming(response, traits);
    this->remainingBytes = response.contentLength.value_or(0);
    this->prefix = formatResponseHeader(response, this->framing, traits.keepAlive);
    this->dataPending = true;
    this->last = this->framing == BodyFraming::None;
    if (this->last)
        return this->write();
    this->body = std::move(response.body);
    this->readNextChunk();
    // The header is sent together with the first chunk if that was available at once, otherwise
    // immediately.
    if (this->readPending && this->dataPending && !this->writePending)
        this->write();
}

void ResponseWriter::cancel()
{
    ++this->responseNumber;
    this->body.reset();
    this->lifetimeGuard.reset();
}

void ResponseWriter::readNextChunk()
{
    this->readPending = true;
    const auto reader = this->body;
    reader->read([this, owner = this->lifetimeGuard, number = this->responseNumber,
                  executor = this->socket.get_executor()](core::Outcome<core::BodyChunk> chunk) {
        boost::asio::dispatch(executor, [this, owner, number, chunk = std::move(chunk)]() mutable {
            if (number == this->responseNumber)
                this->onChunk(std::move(chunk));
        });
    });
}

void ResponseWriter::onChunk(core::Outcome<core::BodyChunk> chunk)
{
    this->readPending = false;
    if (!chunk || !this->acceptChunk(std::move(*chunk)))
        return this->finish(false);
    if (!this->writePending)
        this->write();
}

bool ResponseWriter::acceptChunk(core::BodyChunk chunk)
{
    if (this->framing == BodyFraming::Length) {
        if (chunk.data.size() > this->remainingBytes)
            return false;
        this->remainingBytes -= chunk.data.size();
        if (chunk.last && this->remainingBytes > 0)
            return false;
    }
    this->last = chunk.last;
    this->dataPending = true;
    // `prefix` must not change while it is being written.
    if (!this->writePending)
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
    this->writePending = true;
    this->dataPending = false;
    this->deadline.setAfter(this->writeTimeout);
    const std::array<boost::asio::const_buffer, 3> buffers{boost::asio::buffer(this->prefix),
                                                           boost::asio::buffer(this->data),
                                                           boost::asio::buffer(this->suffix)};
    boost::asio::async_write(this->socket, buffers,
                             [this, owner = this->lifetimeGuard, number = this->responseNumber](
                                     const net::ErrorCode &error, std::size_t) {
                                 if (number == this->responseNumber)
                                     this->onWritten(error);
                             });
}

void ResponseWriter::onWritten(const net::ErrorCode &error)
{
    this->writePending = false;
    this->deadline.clear();
    this->prefix.clear();
    this->suffix.clear();
    if (error)
        return this->finish(false);
    if (this->dataPending) {
        // A chunk arrived while the header was being written.
        core::BodyChunk chunk{std::move(this->data), this->last};
        this->frameChunk(chunk);
        this->data = std::move(chunk.data);
        return this->write();
    }
    this->data.clear();
    if (this->last)
        return this->finish(true);
    if (!this->readPending)
        this->readNextChunk();
}

void ResponseWriter::finish(bool complete)
{
    this->cancel();
    this->done(complete);
}

} // namespace amaranthdale::http
