// Read and write loops of an HTTP/2 session.
#include "http2_session.h"

#include "counters.h"
#include "session_callbacks.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace amaranthdale::peer {

namespace {

constexpr std::size_t readBufferBytes = 64 * 1024;

// Frames are collected up to this size for one write, which bounds the write buffer.
constexpr std::size_t writeBatchBytes = 256 * 1024;

// Received data is consumed at connection level immediately, so this window only has to cover the
// bandwidth-delay product.
constexpr std::int32_t connectionWindowBytes = 16 * 1024 * 1024;

using OptionHandle = std::unique_ptr<nghttp2_option, decltype(&nghttp2_option_del)>;

OptionHandle makeOptions()
{
    nghttp2_option *option = nullptr;
    if (nghttp2_option_new(&option) != 0)
        throw std::bad_alloc();
    nghttp2_option_set_no_auto_window_update(option, 1);
    nghttp2_option_set_no_closed_streams(option, 1);
    return {option, &nghttp2_option_del};
}

} // namespace

Http2Session::Http2Session(net::Socket connectedSocket, Role sessionRole,
                           const SessionLimits &limits)
    : socket(std::move(connectedSocket)), role(sessionRole), readBuffer(readBufferBytes)
{
    const OptionHandle options = makeOptions();
    nghttp2_session *handle = nullptr;
    const auto create = this->role == Role::Client ? &nghttp2_session_client_new2
                                                   : &nghttp2_session_server_new2;
    if (create(&handle, sessionCallbacks(), this, options.get()) != 0)
        throw std::bad_alloc();
    this->session.reset(handle);
    this->submitSettings(limits);
}

Http2Session::~Http2Session() = default;

void Http2Session::submitSettings(const SessionLimits &limits)
{
    const std::array<nghttp2_settings_entry, 3> settings{
            nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                                   limits.maxConcurrentStreams},
            nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, limits.streamWindowBytes},
            nghttp2_settings_entry{NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
    nghttp2_submit_settings(this->session.get(), NGHTTP2_FLAG_NONE, settings.data(),
                            settings.size());
    nghttp2_session_set_local_window_size(this->session.get(), NGHTTP2_FLAG_NONE, 0,
                                          connectionWindowBytes);
}

void Http2Session::start()
{
    this->scheduleFlush();
    this->startRead();
}

bool Http2Session::submitRequest(const std::shared_ptr<Stream> &stream,
                                 const std::vector<nghttp2_nv> &fields, bool withBody)
{
    const nghttp2_data_provider provider = bodyProvider(*stream);
    const std::int32_t id =
            nghttp2_submit_request(this->session.get(), nullptr, fields.data(), fields.size(),
                                   withBody ? &provider : nullptr, stream.get());
    if (id < 0) {
        // The stream ids are exhausted; a new session starts over.
        this->goingAway = true;
        return false;
    }
    stream->id = id;
    stream->session = this;
    this->streams.emplace(id, stream);
    this->scheduleFlush();
    return true;
}

void Http2Session::submitResponse(Stream &stream, const std::vector<nghttp2_nv> &fields,
                                  bool withBody)
{
    const nghttp2_data_provider provider = bodyProvider(stream);
    nghttp2_submit_response(this->session.get(), stream.id, fields.data(), fields.size(),
                            withBody ? &provider : nullptr);
    this->scheduleFlush();
}

void Http2Session::resumeBody(const Stream &stream)
{
    // The error is ignored: the call fails if nghttp2 has not deferred the body.
    nghttp2_session_resume_data(this->session.get(), stream.id);
    this->scheduleFlush();
}

void Http2Session::resetStream(const Stream &stream, std::uint32_t code)
{
    nghttp2_submit_rst_stream(this->session.get(), NGHTTP2_FLAG_NONE, stream.id, code);
    this->scheduleFlush();
}

void Http2Session::consume(const Stream &stream, std::size_t size)
{
    nghttp2_session_consume_stream(this->session.get(), stream.id, size);
    this->scheduleFlush();
}

void Http2Session::scheduleProcessing(Stream &stream)
{
    if (std::exchange(stream.processingScheduled, true))
        return;
    this->readyStreams.push_back(stream.shared_from_this());
}

void Http2Session::processStreams()
{
    while (!this->readyStreams.empty()) {
        const auto batch = std::exchange(this->readyStreams, {});
        for (const auto &stream : batch) {
            stream->processingScheduled = false;
            stream->process();
        }
    }
}

void Http2Session::startGracefulShutdown()
{
    this->goingAway = true;
    nghttp2_submit_goaway(this->session.get(), NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(this->session.get()),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    this->scheduleFlush();
}

void Http2Session::close()
{
    if (!std::exchange(this->open, false))
        return;
    net::closeSocket(this->socket);
    const auto closedStreams = std::exchange(this->streams, {});
    for (const auto &[id, stream] : closedStreams) {
        stream->onSessionClosed();
        stream->session = nullptr;
        this->scheduleProcessing(*stream);
    }
    this->processStreams();
    this->onClosed();
}

void Http2Session::startRead()
{
    this->socket.async_read_some(
            boost::asio::buffer(this->readBuffer),
            [self = this->shared_from_this()](const net::ErrorCode &error, std::size_t size) {
                self->onRead(error, size);
            });
}

void Http2Session::onRead(const net::ErrorCode &error, std::size_t size)
{
    if (!this->open)
        return;
    if (error)
        return this->close();
    liveCounters().bytesReceived.fetch_add(size, std::memory_order_relaxed);
    const ssize_t used =
            nghttp2_session_mem_recv(this->session.get(), this->readBuffer.data(), size);
    if (used < 0) {
        this->countProtocolError();
        return this->close();
    }
    this->processStreams();
    if (!this->open)
        return;
    this->scheduleFlush();
    this->startRead();
}

void Http2Session::scheduleFlush()
{
    if (this->flushQueued || this->writing || !this->open)
        return;
    // Posting lets handlers that are already queued on the strand add their frames to this write.
    this->flushQueued = true;
    boost::asio::post(this->strand(), [self = this->shared_from_this()] {
        self->flushQueued = false;
        self->flush();
    });
}

void Http2Session::flush()
{
    if (this->writing || !this->open)
        return;
    const bool succeeded = this->collectFrames();
    this->processStreams();
    if (!succeeded)
        return this->close();
    if (!this->open)
        return;
    if (this->writeBuffer.empty()) {
        if (nghttp2_session_want_read(this->session.get()) == 0
            && nghttp2_session_want_write(this->session.get()) == 0)
            this->close();
        return;
    }
    this->writing = true;
    boost::asio::async_write(
            this->socket, boost::asio::buffer(this->writeBuffer),
            [self = this->shared_from_this()](const net::ErrorCode &error, std::size_t size) {
                self->onWritten(error, size);
            });
}

bool Http2Session::collectFrames()
{
    while (this->writeBuffer.size() < writeBatchBytes) {
        const std::uint8_t *data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(this->session.get(), &data);
        if (size < 0)
            return false;
        if (size == 0)
            return true;
        this->writeBuffer.append(reinterpret_cast<const char *>(data),
                                 static_cast<std::size_t>(size));
    }
    return true;
}

void Http2Session::onWritten(const net::ErrorCode &error, std::size_t size)
{
    liveCounters().bytesSent.fetch_add(size, std::memory_order_relaxed);
    this->writing = false;
    this->writeBuffer.clear();
    if (error)
        return this->close();
    this->flush();
}

void Http2Session::countProtocolError()
{
    if (!std::exchange(this->errorCounted, true))
        liveCounters().protocolErrors.fetch_add(1, std::memory_order_relaxed);
}

} // namespace amaranthdale::peer
