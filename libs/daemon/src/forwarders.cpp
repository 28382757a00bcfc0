// Lookup of the controller of a server, and forwarding to it.
#include "forwarders.h"

#include "forward_codec.h"
#include "server_runner.h"

namespace amaranthdale::daemon {

namespace {

using core::ErrorKind;
using decisions::RunOutcome;

// Added to the deadline, so that a peer whose backend server times out can still report it.
constexpr core::Duration peerTimeoutMargin = std::chrono::milliseconds(50);

ForwardResult resultFromError(const core::Error &error)
{
    const RunOutcome outcome =
            error.kind == ErrorKind::Unavailable ? RunOutcome::NotRun : RunOutcome::Unknown;
    return refuse(outcome, error.kind, error.message);
}

} // namespace

std::shared_ptr<ServerRunner> Tables::runner(const core::ServerName &name) const
{
    return this->runners.with([&name](const RunnerMap &map) -> std::shared_ptr<ServerRunner> {
        const auto found = map.find(name);
        return found == map.end() ? nullptr : found->second;
    });
}

std::shared_ptr<core::Exchange> LocalForwarder::forward(ForwardRequest request,
                                                        ForwardHandler handler)
{
    const auto runner = this->tables.runner(request.server);
    if (runner)
        return runner->submit(std::move(request), std::move(handler));
    handler(refuse(RunOutcome::NotRun, ErrorKind::Fenced,
                   "this instance does not control " + request.server.value
                           + "; retry the request"));
    return nullptr;
}

ControllerForwarder::ControllerForwarder(const Tables &sharedTables,
                                         const clock::Clock &processClock,
                                         core::InstanceName ownName, core::HttpSender &peerSender,
                                         Forwarder &localForwarder)
    : tables(sharedTables), clock(processClock), self(std::move(ownName)), peers(peerSender),
      local(localForwarder)
{ }

std::shared_ptr<core::Exchange> ControllerForwarder::forward(ForwardRequest request,
                                                             ForwardHandler handler)
{
    const StatePointer state = this->tables.state();
    const decisions::ServerState *server = state->findServer(request.server);
    if (!server || !server->controller) {
        handler(refuse(RunOutcome::NotRun, ErrorKind::Fenced,
                       "server " + request.server.value
                               + " has no controller yet; retry the request"));
        return nullptr;
    }
    const core::InstanceName &controller = server->controller->instance.name;
    if (controller == this->self)
        return this->local.forward(std::move(request), std::move(handler));

    const auto endpoint = this->tables.membership.with(
            [&](const MembershipTable &table) -> std::optional<core::Endpoint> {
                const auto found = table.listed.find(controller);
                if (found == table.listed.end())
                    return std::nullopt;
                return found->second.peerEndpoint;
            });
    if (!endpoint) {
        handler(refuse(RunOutcome::NotRun, ErrorKind::Fenced,
                       "instance " + controller.value
                               + " is not on the platform's instance list; retry the request"));
        return nullptr;
    }
    const core::TimePoint now = this->clock.now();
    const core::Duration timeout = request.info.deadline - now + peerTimeoutMargin;
    return this->peers.send(
            *endpoint, encodeForward(std::move(request), now), timeout,
            [handler = std::move(handler)](core::Outcome<core::HttpResponse> response) {
                if (!response)
                    return handler(resultFromError(response.error()));
                auto result = core::attempt([&] { return decodeResult(std::move(*response)); });
                if (!result)
                    return handler(resultFromError(result.error()));
                handler(std::move(*result));
            });
}

} // namespace amaranthdale::daemon
