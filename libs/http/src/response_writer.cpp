// Read and write loop of a response.
#include "response_writer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace amaranthdale::http {

namespace {

// What the system's send buffer takes without waiting for the caller.
constexpr std::size_t smallWriteBytes = 16 * 1024;
constexpr std::size_t maxWriteBytes = 64 * 1024; // At a time.
// A response that waits for room looks for it at these intervals.
constexpr auto roomInterval = std::chrono::milliseconds(100);

std::string formatChunkSize(std::size_t size)
{
    constexpr int hexadecimal = 16;
    std::array<char, 2 * sizeof(size)> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), size, hexadecimal);
    return std::string(digits.data(), end.ptr).append("\r\n");
}

} // namespace

void ResponseWriter::start(std::shared_ptr<memory::Evictable> owner, core::HttpResponse response,
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
    this->unlist();
    this->hold.tryResize(0);
    this->waitEnd.reset();
    this->body.reset();
    this->lifetimeGuard.reset();
}

// Reads the next chunk once there is room for what the response holds if its caller stops reading.
// Until then, the response holds nothing in this process.
void ResponseWriter::readOn()
{
    if (this->hold.tryResize(this->limits.streamBytes)) {
        if (std::exchange(this->waitEnd, std::nullopt))
            this->deadline.clear();
        return this->readNextChunk();
    }
    const core::TimePoint now = net::Deadline::now();
    memory::Budget &budget = *this->limits.responseBudget;
    if (!this->waitEnd) {
        this->waitEnd = now + this->limits.writeTimeout;
        ++budget.counts.paused;
    }
    if (now >= *this->waitEnd) {
        ++budget.counts.refused;
        return this->finish(false);
    }
    budget.evictStalled(this->limits.streamBytes, now - stallTime);
    this->deadline.setAt(now + roomInterval);
}

// Small responses aren't listed: writing them never waits for the caller.
void ResponseWriter::list()
{
    if (!this->limits.responseBudget || (this->last && this->data.size() <= smallWriteBytes))
        return;
    this->progress = net::Deadline::now();
    this->progressBytes = 0;
    this->listed = true;
    this->limits.responseBudget->setIncomplete(
            this->lifetimeGuard, std::max(this->hold.bytes(), this->data.size()), this->progress);
}

void ResponseWriter::unlist()
{
    if (std::exchange(this->listed, false))
        this->limits.responseBudget->removeIncomplete(this->lifetimeGuard.get());
}

// Returns how much the next part of a write may have.
std::size_t ResponseWriter::onWriteProgress(const net::ErrorCode &error, std::size_t size)
{
    if (this->listed && size > this->progressBytes) {
        this->list();
        this->progressBytes = size;
    }
    return error ? 0 : maxWriteBytes;
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
    this->deadline.setAfter(this->limits.writeTimeout);
    this->list();
    const std::array<boost::asio::const_buffer, 3> buffers{boost::asio::buffer(this->prefix),
                                                           boost::asio::buffer(this->data),
                                                           boost::asio::buffer(this->suffix)};
    // The completion handler, which exists for as long, holds the owner.
    const auto mayWrite = [this, number = this->responseNumber](const net::ErrorCode &error,
                                                                std::size_t size) {
        return number == this->responseNumber ? this->onWriteProgress(error, size) : 0;
    };
    boost::asio::async_write(this->socket, buffers, mayWrite,
                             [this, owner = this->lifetimeGuard, number = this->responseNumber](
                                     const net::ErrorCode &error, std::size_t) {
                                 if (number == this->responseNumber)
                                     this->onWritten(error);
                             });
}

void ResponseWriter::onWritten(const net::ErrorCode &error)
{
    this->writePending = false;
    this->unlist();
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
        this->readOn();
}

void ResponseWriter::finish(bool complete)
{
    this->cancel();
    this->done(complete);
}

} // namespace amaranthdale::http
