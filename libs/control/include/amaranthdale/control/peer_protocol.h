// Reports of key counts between instances, over HTTP/1.1: POST /key-counts/SERVICE with one line
// "KEY COUNT" for each key.
#pragma once

#include "amaranthdale/control/interfaces.h"
#include "amaranthdale/core/message.h"

namespace amaranthdale::control {

/// Sends reports over `sender`.
std::unique_ptr<LoadReporter> makeLoadReporter(core::HttpSender &sender);

using CountsHandler =
        std::function<void(const core::ServiceName &, const std::vector<keyspace::KeyCount> &)>;

/// Takes reports and passes them to `handler`. Malformed ones get 400.
std::unique_ptr<core::RequestHandler> makeReportHandler(CountsHandler handler);

} // namespace amaranthdale::control
