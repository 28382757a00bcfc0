// Request forwarded from the entry instance to the controller of a backend server.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/decisions/request.h"
#include "amaranthdale/decisions/server_dispatcher.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace amaranthdale::daemon {

/// Input of a controller for running a request on one of its backend servers.
struct ForwardRequest
{
    core::ServerName server;
    decisions::RequestInfo info;
    std::optional<std::string> key; ///< Empty if any server of the service may run it.
    bool ownerOnly = false;         ///< Only the owner of the slot or hot key may run it.
    core::HttpRequest request;
};

/// Result of a forwarded request.
struct ForwardResult
{
    decisions::RunOutcome outcome = decisions::RunOutcome::NotRun;
    decisions::Refusal refusal;                    ///< Set unless the outcome is Answered.
    core::HttpResponse response;                   ///< Set if the outcome is Answered.
    std::optional<decisions::DispatcherLoad> load; ///< Empty if no controller responded.
};

using ForwardHandler = std::function<void(ForwardResult)>;

/// Delivers requests to the controller of their server.
class Forwarder
{
public:
    virtual ~Forwarder() = default;

    /// Calls `handler` exactly once. The returned exchange may be null.
    virtual std::shared_ptr<core::Exchange> forward(ForwardRequest request,
                                                    ForwardHandler handler) = 0;
};

/// Returns a result without a backend server's response, with the given outcome and error.
ForwardResult refuse(decisions::RunOutcome outcome, core::ErrorKind kind, std::string message,
                     core::Duration retryAfter = {});

} // namespace amaranthdale::daemon
