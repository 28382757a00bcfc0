// nghttp2 callbacks of a session.
#pragma once

#include <nghttp2/nghttp2.h>

namespace amaranthdale::peer {

/// The callback table, shared by all sessions.
const nghttp2_session_callbacks *sessionCallbacks();

class Stream;

/// Data provider that reads the body of `stream`. The session keeps the stream alive.
nghttp2_data_provider bodyProvider(Stream &stream);

} // namespace amaranthdale::peer
