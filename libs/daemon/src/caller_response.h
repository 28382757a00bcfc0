// Responses and refusals in the form that callers get.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/decisions/request.h"
#include "amaranthdale/report/events.h"

namespace amaranthdale::daemon {

/// The backend server's response with this system's headers added.
core::HttpResponse callerResponse(const core::RequestId &id, core::HttpResponse response);

/// A refusal as JSON with the status for its kind, the outcome and, where known, Retry-After.
core::HttpResponse refusalResponse(const core::RequestId &id, const decisions::Refusal &refusal);

/// Reason of a refusal for reports.
report::NotRunReason notRunReason(core::ErrorKind kind);

} // namespace amaranthdale::daemon
