// Checks responses of backend stand-ins as received by a caller.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/history/events.h"

#include <optional>

namespace amaranthdale::tools {

/// Outcome in the `X-Outcome` header; Unknown if it is missing or has another value.
history::CallOutcome callOutcome(const core::HttpResponse &response);

/// Outcome of a response received directly from a backend server, which sends no `X-Outcome`.
history::CallOutcome directCallOutcome(const core::HttpResponse &response);

/// Compares an echo body with the request. `id` is the request id that the caller sent; if it is
/// empty, the id in the response header is expected. `length` is the announced content length.
history::ResponseCheck checkEcho(const core::HttpRequest &request, const core::RequestId &id,
                                 const core::Headers &headers, const std::string &body,
                                 std::optional<std::uint64_t> length);

} // namespace amaranthdale::tools
