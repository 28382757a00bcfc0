// A stream of an HTTP/2 session, as the session sees it.
#pragma once

#include "body_source.h"

#include <cstdint>
#include <string_view>

namespace amaranthdale::peer {

class FrameSession;

/// Events of one stream. All but `process` are called from inside nghttp2 and only note what
/// happened. Used on the session's strand only.
class Stream : public std::enable_shared_from_this<Stream>
{
public:
    virtual ~Stream() = default;

    virtual void onField(std::string_view name, std::string_view value) = 0;
    virtual void onHeadersEnd() = 0;
    virtual void onData(std::string_view data) = 0;
    virtual void onRemoteEnd() = 0;

    /// The header went to the socket: the other side may know of the stream from now on.
    virtual void onHeadersSent() { }

    /// The stream ended with an HTTP/2 error code; 0 is none.
    virtual void onStreamClosed(std::uint32_t code) = 0;

    /// The connection ended under the stream.
    virtual void onSessionClosed() = 0;

    /// Acts on the events since the last call.
    virtual void process() = 0;

    BodySource source; ///< Body to send.

protected:
    FrameSession *session = nullptr; ///< Null before the stream is opened and after its end.

private:
    friend class FrameSession;
    friend struct SessionCallbacks;

    std::int32_t id = 0;
    bool isQueued = false; // Waits for `process`.
};

} // namespace amaranthdale::peer
