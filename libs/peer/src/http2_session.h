// One HTTP/2 connection: an nghttp2 session over an Asio socket.
#pragma once

#include "stream.h"

#include "amaranthdale/net/socket.h"
#include "amaranthdale/peer/transport.h"

#include <nghttp2/nghttp2.h>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace amaranthdale::peer {

/// Side of the connection.
enum class Role { Client, Server };

/// Passes received data to nghttp2, dispatches its events to streams and writes its output in
/// batches of frames. Must be used on the socket's strand. Streams process their events after
/// nghttp2 has returned, so no handler is ever called from inside an nghttp2 callback.
class Http2Session : public std::enable_shared_from_this<Http2Session>
{
public:
    Http2Session(net::Socket connectedSocket, Role sessionRole, const SessionLimits &limits);
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;
    virtual ~Http2Session();

    /// Sends the SETTINGS frame and starts reading.
    void start();

    /// Opens a stream. Returns false if the session accepts no new streams.
    bool submitRequest(const std::shared_ptr<Stream> &stream, const std::vector<nghttp2_nv> &fields,
                       bool withBody);
    void submitResponse(Stream &stream, const std::vector<nghttp2_nv> &fields, bool withBody);

    /// Resumes a body that `BodySource` deferred for lack of data.
    void resumeBody(const Stream &stream);
    void resetStream(const Stream &stream, std::uint32_t code);

    /// Returns `size` consumed bytes to the stream's flow-control window.
    void consume(const Stream &stream, std::size_t size);

    /// Schedules a call of the stream's `process` for after nghttp2 has returned.
    void scheduleProcessing(Stream &stream);

    /// Sends GOAWAY and accepts no new streams. The session closes when its last stream has ended.
    void startGracefulShutdown();

    /// Closes the connection and notifies all streams.
    void close();

    bool isOpen() const { return this->open; }

    /// True if new requests must use another session.
    bool isGoingAway() const { return this->goingAway || !this->open; }

    net::Strand strand() { return this->socket.get_executor(); }

protected:
    /// Called when the peer opens a stream. Null rejects it.
    virtual std::shared_ptr<Stream> acceptStream() { return nullptr; }

    /// Called once, after all streams were notified.
    virtual void onClosed() { }

private:
    friend struct SessionCallbacks;

    struct SessionDeleter
    {
        void operator()(nghttp2_session *session) const { nghttp2_session_del(session); }
    };

    void submitSettings(const SessionLimits &limits);
    void startRead();
    void onRead(const net::ErrorCode &error, std::size_t size);
    void processStreams();
    void scheduleFlush();
    void flush();
    bool collectFrames();
    void onWritten(const net::ErrorCode &error, std::size_t size);
    void countProtocolError();

    net::Socket socket;
    const Role role;
    std::unique_ptr<nghttp2_session, SessionDeleter> session;
    std::unordered_map<std::int32_t, std::shared_ptr<Stream>> streams;
    std::vector<std::shared_ptr<Stream>> readyStreams; // Each has processingScheduled set.
    std::vector<std::uint8_t> readBuffer;
    std::string writeBuffer; // Must not change while `writing` is set.
    bool open = true;
    bool goingAway = false;
    bool writing = false;
    bool flushQueued = false;
    bool errorCounted = false;
};

} // namespace amaranthdale::peer
