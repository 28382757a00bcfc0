// Collection of the report parts of all instances.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/report/report.h"

#include <functional>
#include <vector>

namespace amaranthdale::daemon {

/// Requests a report part from each of `endpoints` and calls `handler` with these and `own` merged.
/// Instances that don't respond within a second are left out.
void collectReport(core::HttpSender &peers, const std::vector<core::Endpoint> &endpoints,
                   report::ReportPart own, std::function<void(const report::Report &)> handler);

} // namespace amaranthdale::daemon
