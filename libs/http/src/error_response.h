// Responses that the listener itself gives.
#pragma once

#include "amaranthdale/core/message.h"

#include <string_view>

namespace amaranthdale::http {

/// A JSON refusal with header X-Outcome; `outcome` is "not-run" or "unknown".
core::HttpResponse makeRefusal(unsigned status, std::string_view kind, std::string_view message,
                               std::string_view outcome);

/// The response for a handler that gave an error in place of a response.
core::HttpResponse makeFailureResponse(const core::Error &error);

} // namespace amaranthdale::http
