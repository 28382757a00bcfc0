// The read and write loops of an HTTP/2 session.
#include "frame_session.h"

#include "counters.h"
#include "session_callbacks.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace amaranthdale::peer {

namespace {

constexpr std::size_t readBytes = 64 * 1024;

// Frames are gathered up to this size for one write; it bounds the memory for output.
constexpr std::size_t batchBytes = 256 * 1024;

// What arrives counts as consumed at the level of the connection at once, so this window only has
// to cover one round trip at full speed.
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

FrameSession::FrameSession(net::Socket connectedSocket, Role sessionRole,
                           const SessionLimits &limits)
    : socket(std::move(connectedSocket)), role(sessionRole), input(readBytes)
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

FrameSession::~FrameSession() = default;

void FrameSession::submitSettings(const SessionLimits &limits)
{
    const std::array<nghttp2_settings_entry, 3> settings{
            nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                                   limits.concurrentStreams},
            nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, limits.windowBytes},
            nghttp2_settings_entry{NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
    nghttp2_submit_settings(this->session.get(), NGHTTP2_FLAG_NONE, settings.data(),
                            settings.size());
    nghttp2_session_set_local_window_size(this->session.get(), NGHTTP2_FLAG_NONE, 0,
                                          connectionWindowBytes);
}

void FrameSession::start()
{
    this->flushLater();
    this->readMore();
}

bool FrameSession::submitRequest(const std::shared_ptr<Stream> &stream,
                                 const std::vector<nghttp2_nv> &fields, bool withBody)
{
    const nghttp2_data_provider provider = bodyProvider(*stream);
    const std::int32_t id =
            nghttp2_submit_request(this->session.get(), nullptr, fields.data(), fields.size(),
                                   withBody ? &provider : nullptr, stream.get());
    if (id < 0) {
        // The stream numbers are used up; another session begins anew.
        this->goingAway = true;
        return false;
    }
    stream->id = id;
    stream->session = this;
    this->streams.emplace(id, stream);
    this->flushLater();
    return true;
}

void FrameSession::submitResponse(Stream &stream, const std::vector<nghttp2_nv> &fields,
                                  bool withBody)
{
    const nghttp2_data_provider provider = bodyProvider(stream);
    nghttp2_submit_response(this->session.get(), stream.id, fields.data(), fields.size(),
                            withBody ? &provider : nullptr);
    this->flushLater();
}

void FrameSession::resumeBody(const Stream &stream)
{
    // Fails harmlessly when nghttp2 hasn't asked for the body yet.
    nghttp2_session_resume_data(this->session.get(), stream.id);
    this->flushLater();
}

void FrameSession::resetStream(const Stream &stream, std::uint32_t code)
{
    nghttp2_submit_rst_stream(this->session.get(), NGHTTP2_FLAG_NONE, stream.id, code);
    this->flushLater();
}

void FrameSession::consume(const Stream &stream, std::size_t size)
{
    nghttp2_session_consume_stream(this->session.get(), stream.id, size);
    this->flushLater();
}

void FrameSession::processLater(Stream &stream)
{
    if (std::exchange(stream.isQueued, true))
        return;
    this->toProcess.push_back(stream.shared_from_this());
}

void FrameSession::processStreams()
{
    while (!this->toProcess.empty()) {
        const auto batch = std::exchange(this->toProcess, {});
        for (const auto &stream : batch) {
            stream->isQueued = false;
            stream->process();
        }
    }
}

void FrameSession::finishStreams()
{
    this->goingAway = true;
    nghttp2_submit_goaway(this->session.get(), NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(this->session.get()),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    this->flushLater();
}

void FrameSession::close()
{
    if (!std::exchange(this->open, false))
        return;
    net::closeSocket(this->socket);
    const auto ended = std::exchange(this->streams, {});
    for (const auto &[id, stream] : ended) {
        stream->onSessionClosed();
        stream->session = nullptr;
        this->processLater(*stream);
    }
    this->processStreams();
    this->onClosed();
}

void FrameSession::readMore()
{
    this->socket.async_read_some(
            boost::asio::buffer(this->input),
            [self = this->shared_from_this()](const net::ErrorCode &error, std::size_t size) {
                self->onRead(error, size);
            });
}

void FrameSession::onRead(const net::ErrorCode &error, std::size_t size)
{
    if (!this->open)
        return;
    if (error)
        return this->close();
    liveCounters().bytesReceived.fetch_add(size, std::memory_order_relaxed);
    const ssize_t used = nghttp2_session_mem_recv(this->session.get(), this->input.data(), size);
    if (used < 0) {
        this->countProtocolError();
        return this->close();
    }
    this->processStreams();
    if (!this->open)
        return;
    this->flushLater();
    this->readMore();
}

void FrameSession::flushLater()
{
    if (this->flushQueued || this->writing || !this->open)
        return;
    // Whatever is queued on the strand before the flush runs adds its frames to the same write.
    this->flushQueued = true;
    boost::asio::post(this->strand(), [self = this->shared_from_this()] {
        self->flushQueued = false;
        self->flush();
    });
}

void FrameSession::flush()
{
    if (this->writing || !this->open)
        return;
    const bool intact = this->collectFrames();
    this->processStreams();
    if (!intact)
        return this->close();
    if (!this->open)
        return;
    if (this->output.empty()) {
        if (nghttp2_session_want_read(this->session.get()) == 0
            && nghttp2_session_want_write(this->session.get()) == 0)
            this->close();
        return;
    }
    this->writing = true;
    boost::asio::async_write(
            this->socket, boost::asio::buffer(this->output),
            [self = this->shared_from_this()](const net::ErrorCode &error, std::size_t size) {
                self->onWritten(error, size);
            });
}

bool FrameSession::collectFrames()
{
    while (this->output.size() < batchBytes) {
        const std::uint8_t *data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(this->session.get(), &data);
        if (size < 0)
            return false;
        if (size == 0)
            return true;
        this->output.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(size));
    }
    return true;
}

void FrameSession::onWritten(const net::ErrorCode &error, std::size_t size)
{
    liveCounters().bytesSent.fetch_add(size, std::memory_order_relaxed);
    this->writing = false;
    this->output.clear();
    if (error)
        return this->close();
    this->flush();
}

void FrameSession::countProtocolError()
{
    if (!std::exchange(this->errorCounted, true))
        liveCounters().protocolErrors.fetch_add(1, std::memory_order_relaxed);
}

} // namespace amaranthdale::peer
