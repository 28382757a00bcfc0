// The caller's verdict on a response of a backend stand-in.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/history/events.h"

#include <optional>

namespace amaranthdale::tools {

/// Outcome that a response states; Unknown when it states none.
history::CallOutcome outcomeOf(const core::HttpResponse &response);

/// Outcome of a response that a backend server itself sent.
history::CallOutcome directOutcomeOf(const core::HttpResponse &response);

/// Compares an echo body with the request. `id` is what the caller sent, or empty; then the id in
/// the header counts. `length` is the length that the response announced.
history::ResponseCheck checkEcho(const core::HttpRequest &request, const core::RequestId &id,
                                 const core::Headers &headers, const std::string &body,
                                 std::optional<std::uint64_t> length);

} // namespace amaranthdale::tools
