// Messages between instances, over HTTP/1.1.
//
// POST /key-counts/SERVICE: one line "KEY COUNT" for each key that had requests.
// POST /step-down/SERVICE: the body is the incarnation of the granter that was replaced. 200: no
// run with this incarnation grants any more.
#pragma once

#include "amaranthdale/control/interfaces.h"
#include "amaranthdale/core/message.h"

namespace amaranthdale::control {

/// Sends messages over `sender`.
std::unique_ptr<PeerChannel> makePeerChannel(core::HttpSender &sender);

using CountsHandler =
        std::function<void(const core::ServiceName &, const std::vector<keyspace::KeyCount> &)>;

/// Called before the request to step down is answered.
using StepDownHandler = std::function<void(const core::ServiceName &)>;

/// Takes messages for the run `incarnation` of this instance. Malformed ones get 400.
std::unique_ptr<core::RequestHandler> makePeerHandler(core::Incarnation incarnation,
                                                      CountsHandler onCounts,
                                                      StepDownHandler onStepDown);

} // namespace amaranthdale::control
