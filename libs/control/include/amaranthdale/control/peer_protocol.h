// Protocol for messages between instances, over HTTP/1.1.
//
// POST /key-counts/SERVICE: one line "KEY COUNT" per key with requests.
// POST /step-down/SERVICE: the body is the incarnation of the replaced granter. Status 200 means
// that no process with this incarnation sends grants any more.
#pragma once

#include "amaranthdale/control/interfaces.h"
#include "amaranthdale/core/message.h"

namespace amaranthdale::control {

/// Creates a channel that sends messages through `sender`.
std::unique_ptr<PeerChannel> makePeerChannel(core::HttpSender &sender);

using CountsHandler =
        std::function<void(const core::ServiceName &, const std::vector<keyspace::KeyCount> &)>;

/// Called before the step-down request is answered.
using StepDownHandler = std::function<void(const core::ServiceName &)>;

/// Creates a handler for messages to the process `incarnation` of this instance. Malformed messages
/// are rejected with status 400.
std::unique_ptr<core::RequestHandler> makePeerHandler(core::Incarnation incarnation,
                                                      CountsHandler onCounts,
                                                      StepDownHandler onStepDown);

} // namespace amaranthdale::control
