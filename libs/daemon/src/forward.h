// A request on its way from the entry instance to the controller of a backend server.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/decisions/request.h"
#include "amaranthdale/decisions/server_dispatcher.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace amaranthdale::daemon {

/// What a controller needs to run a request on one of its backend servers.
struct ForwardRequest
{
    core::ServerName server;
    decisions::RequestInfo info;
    std::optional<std::string> key; ///< Nothing where any server of the service may answer.
    bool ownerOnly = false;         ///< Only the owner of the slot or hot key may run it.
    core::HttpRequest request;
};

/// How a forwarded request ended.
struct ForwardResult
{
    decisions::RunOutcome outcome = decisions::RunOutcome::NotRun;
    decisions::Refusal refusal;                    ///< Unless answered.
    core::HttpResponse response;                   ///< For Answered.
    std::optional<decisions::DispatcherLoad> load; ///< Nothing when no controller responded.
};

using ForwardHandler = std::function<void(ForwardResult)>;

/// Brings requests to a controller.
class Forwarder
{
public:
    virtual ~Forwarder() = default;

    /// Calls `handler` exactly once. The returned exchange may be null.
    virtual std::shared_ptr<core::Exchange> forward(ForwardRequest request,
                                                    ForwardHandler handler) = 0;
};

/// A result that refuses, for all that is decided before a backend server is reached.
ForwardResult refuse(decisions::RunOutcome outcome, core::ErrorKind kind, std::string message,
                     core::Duration retryAfter = {});

} // namespace amaranthdale::daemon
