// HTTP responses sent to callers.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/decisions/request.h"
#include "amaranthdale/report/events.h"

namespace amaranthdale::daemon {

/// Adds this system's headers to a backend server's response.
core::HttpResponse callerResponse(const core::RequestId &id, core::HttpResponse response);

/// Encodes a refusal as JSON. The HTTP status depends on its kind and outcome; a 503 carries
/// Retry-After.
core::HttpResponse refusalResponse(const core::RequestId &id, const decisions::Refusal &refusal);

/// Maps the kind of a refusal to the reason shown in reports.
report::NotRunReason notRunReason(core::ErrorKind kind);

} // namespace amaranthdale::daemon
