// Headers by which a forwarded request and its result travel between instances.
#pragma once

#include "forward.h"

namespace amaranthdale::daemon {

/// Path of the stream that carries a forwarded request.
inline constexpr const char *forwardPath = "/forward";

/// Writes a request for a peer. The deadline travels as remaining time, since clocks differ.
core::HttpRequest encodeForward(ForwardRequest request, core::TimePoint now);

/// Reads what `encodeForward` writes. Fails with Protocol.
core::Result<ForwardRequest> decodeForward(core::HttpRequest message, core::TimePoint now);

core::HttpResponse encodeResult(ForwardResult result);

/// Reads what `encodeResult` writes. Fails with Protocol.
core::Result<ForwardResult> decodeResult(core::HttpResponse message);

/// Name of an outcome as callers and peers read it: answered, not-run or unknown.
std::string_view outcomeName(decisions::RunOutcome outcome);

} // namespace amaranthdale::daemon
