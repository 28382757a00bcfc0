// Encoding of forwarded requests and their results as HTTP messages between instances.
#pragma once

#include "forward.h"

namespace amaranthdale::daemon {

/// Request path of forwarded requests on the peer port.
inline constexpr const char *forwardPath = "/forward";

/// Encodes a request for a peer. The deadline is sent as remaining time, since the clocks of
/// instances differ.
core::HttpRequest encodeForward(ForwardRequest request, core::TimePoint now);

/// Decodes the output of `encodeForward`. Fails with Protocol.
core::Result<ForwardRequest> decodeForward(core::HttpRequest message, core::TimePoint now);

core::HttpResponse encodeResult(ForwardResult result);

/// Decodes the output of `encodeResult`. Fails with Protocol.
core::Result<ForwardResult> decodeResult(core::HttpResponse message);

/// Name of an outcome on the wire: answered, not-run or unknown.
std::string_view outcomeName(decisions::RunOutcome outcome);

} // namespace amaranthdale::daemon
