// One HTTP/2 connection: nghttp2's memory interface over an Asio socket.
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

/// Which side of the connection this process is.
enum class Role { Client, Server };

/// Feeds what arrives to nghttp2, routes its events to streams, and writes what nghttp2 has to
/// send, many frames at a time. Used on the strand of its socket only. Streams act on events after
/// nghttp2 has returned, so no handler is ever called from inside nghttp2.
class FrameSession : public std::enable_shared_from_this<FrameSession>
{
public:
    FrameSession(net::Socket connectedSocket, Role sessionRole, const SessionLimits &limits);
    FrameSession(const FrameSession &) = delete;
    FrameSession &operator=(const FrameSession &) = delete;
    virtual ~FrameSession();

    /// Sends the settings and begins to read.
    void start();

    /// Opens a stream. Returns false when the session takes no new one.
    bool submitRequest(const std::shared_ptr<Stream> &stream, const std::vector<nghttp2_nv> &fields,
                       bool withBody);
    void submitResponse(Stream &stream, const std::vector<nghttp2_nv> &fields, bool withBody);

    void resumeBody(const Stream &stream);
    void resetStream(const Stream &stream, std::uint32_t code);

    /// Opens the stream's window again by what its reader took.
    void consume(const Stream &stream, std::size_t size);

    /// Calls `process` of the stream once nghttp2 has returned.
    void processLater(Stream &stream);

    /// Opens no further stream, and closes when none is left.
    void finishStreams();

    /// Closes the connection and tells all streams.
    void close();

    bool isOpen() const { return this->open; }

    /// True when new requests belong on another session.
    bool isGoingAway() const { return this->goingAway || !this->open; }

    net::Strand strand() { return this->socket.get_executor(); }

protected:
    /// A peer opened a stream.
    virtual std::shared_ptr<Stream> acceptStream() { return nullptr; }

    /// Called once, after all streams were told.
    virtual void onClosed() { }

private:
    friend struct SessionCallbacks;

    struct SessionDeleter
    {
        void operator()(nghttp2_session *session) const { nghttp2_session_del(session); }
    };

    void submitSettings(const SessionLimits &limits);
    void readMore();
    void onRead(const net::ErrorCode &error, std::size_t size);
    void processStreams();
    void flushLater();
    void flush();
    bool collectFrames();
    void onWritten(const net::ErrorCode &error, std::size_t size);
    void countProtocolError();

    net::Socket socket;
    const Role role;
    std::unique_ptr<nghttp2_session, SessionDeleter> session;
    std::unordered_map<std::int32_t, std::shared_ptr<Stream>> streams;
    std::vector<std::shared_ptr<Stream>> toProcess; // Invariant: each has isQueued set.
    std::vector<std::uint8_t> input;
    std::string output; // Being written while `writing` is set.
    bool open = true;
    bool goingAway = false;
    bool writing = false;
    bool flushQueued = false;
    bool errorCounted = false;
};

} // namespace amaranthdale::peer
