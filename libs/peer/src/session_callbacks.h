// The C callbacks through which nghttp2 reports events.
#pragma once

#include <nghttp2/nghttp2.h>

namespace amaranthdale::peer {

/// The table of callbacks, shared by all sessions.
const nghttp2_session_callbacks *sessionCallbacks();

class Stream;

/// Lets nghttp2 pull the body of `stream`, which the session keeps alive.
nghttp2_data_provider bodyProvider(Stream &stream);

} // namespace amaranthdale::peer
