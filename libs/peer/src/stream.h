// Interface between an HTTP/2 session and its streams.
#pragma once

#include "body_source.h"

#include <cstdint>
#include <string_view>

namespace amaranthdale::peer {

class Http2Session;

/// Event handler of one stream. All events but `process` are called from inside nghttp2 and must
/// only record what happened. Must be used on the session's strand.
class Stream : public std::enable_shared_from_this<Stream>
{
public:
    virtual ~Stream() = default;

    virtual void onField(std::string_view name, std::string_view value) = 0;
    virtual void onHeadersComplete() = 0;
    virtual void onData(std::string_view data) = 0;
    virtual void onEndStream() = 0;

    /// The headers were passed on for writing: from now on the peer may know of the stream.
    virtual void onHeadersSent() { }

    /// The stream was closed with an HTTP/2 error code; 0 means no error.
    virtual void onStreamClosed(std::uint32_t code) = 0;

    /// The connection was closed while the stream was open.
    virtual void onSessionClosed() = 0;

    /// Processes the events recorded since the last call.
    virtual void process() = 0;

    BodySource bodySource; ///< Outgoing body.

protected:
    Http2Session *session = nullptr; ///< Null unless the stream is open.

private:
    friend class Http2Session;
    friend struct SessionCallbacks;

    std::int32_t id = 0;
    bool processingScheduled = false; // `process` is scheduled.
};

} // namespace amaranthdale::peer
