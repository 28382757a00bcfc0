// Sending of requests, and reporting of their results to the dispatcher.
#include "server_runner.h"

#include "observed_body.h"

#include <algorithm>

namespace amaranthdale::daemon {

namespace {

using decisions::Actions;
using decisions::Completion;
using decisions::RunOutcome;
using decisions::ServerDispatcher;
using decisions::Ticket;

constexpr core::Duration cancelTimeout = std::chrono::milliseconds(500);

// Responses to non-idempotent requests are buffered completely, so that a resend receives the same
// response.
constexpr std::size_t maxBufferedResponseBytes = 8 * 1024 * 1024;

Completion completionFromError(const core::Error &error)
{
    Completion completion;
    completion.kind = error.kind;
    completion.outcome =
            error.kind == core::ErrorKind::Unavailable ? RunOutcome::NotRun : RunOutcome::Unknown;
    return completion;
}

// A backend server marks a refusal with X-Not-Run; any other response means that the request ran.
std::optional<Completion> parseRefusal(const core::HttpResponse &response)
{
    if (!core::findHeader(response.headers, "X-Not-Run"))
        return std::nullopt;
    Completion completion;
    completion.outcome = RunOutcome::NotRun;
    completion.kind =
            response.status == 409 ? core::ErrorKind::Fenced : core::ErrorKind::Overloaded;
    return completion;
}

core::HttpResponse toResponse(const decisions::StoredResponse &stored)
{
    core::HttpResponse response;
    response.status = stored.status;
    response.headers = stored.headers;
    response.contentLength = stored.body.size();
    response.body = core::makeStringBody(stored.body);
    return response;
}

} // namespace

// Cancels a pending request when its caller disconnects.
class PendingExchange : public core::Exchange
{
public:
    PendingExchange(std::weak_ptr<ServerRunner> serverRunner, Ticket requestTicket)
        : runner(std::move(serverRunner)), ticket(requestTicket)
    { }

    void cancel() override
    {
        if (const auto locked = this->runner.lock())
            locked->callerDisconnected(this->ticket);
    }

private:
    std::weak_ptr<ServerRunner> runner;
    Ticket ticket;
};

ServerRunner::ServerRunner(RunnerContext runnerContext, core::ServerName serverName,
                           core::Endpoint address, ServerDispatcher serverDispatcher)
    : context(runnerContext), name(std::move(serverName)),
      state(tables::LockRank::BackendServers,
            State{std::move(serverDispatcher), {}, {}, {}, std::move(address), false})
{ }

std::shared_ptr<core::Exchange> ServerRunner::submit(ForwardRequest request, ForwardHandler handler)
{
    if (!this->context.gate.fenceForRequest(request)) {
        handler(refuse(RunOutcome::NotRun, core::ErrorKind::Fenced,
                       "this instance currently has no authority to send to " + this->name.value
                               + "; retry the request"));
        return nullptr;
    }
    const core::TimePoint now = this->context.clock.now();
    Ticket ticket = 0;
    const Actions actions = this->state.with([&](State &lockedState) {
        Actions decided = lockedState.dispatcher.authorityGained(now);
        decisions::Arrival arrival = lockedState.dispatcher.arrive(request.info, now);
        ticket = arrival.ticket;
        lockedState.pendingRequests.emplace(
                ticket, PendingRequest{std::move(request), std::move(handler), nullptr});
        std::move(arrival.actions.begin(), arrival.actions.end(), std::back_inserter(decided));
        return decided;
    });
    this->perform(actions);
    this->scheduleTick();
    return std::make_shared<PendingExchange>(this->weak_from_this(), ticket);
}

void ServerRunner::updateDispatcher(
        const std::function<Actions(ServerDispatcher &, core::TimePoint)> &function)
{
    const core::TimePoint now = this->context.clock.now();
    this->perform(this->state.with(
            [&](State &lockedState) { return function(lockedState.dispatcher, now); }));
}

void ServerRunner::perform(const Actions &actions)
{
    for (const decisions::Action &action : actions)
        std::visit([this](const auto &each) { this->perform(each); }, action);
}

void ServerRunner::perform(const decisions::SendRequest &action)
{
    // Called without this lock: the gate takes the ownership table's lock, which is ordered before
    // it.
    const auto request = this->state.with([&](State &lockedState) -> std::optional<ForwardRequest> {
        const auto pending = lockedState.pendingRequests.find(action.ticket);
        if (pending == lockedState.pendingRequests.end())
            return std::nullopt;
        ForwardRequest routing = pending->second.request;
        routing.request = {};
        return routing;
    });
    if (!request)
        return;
    const auto fence = this->context.gate.fenceForRequest(*request);
    if (!fence)
        return this->refuseUnsent(action.ticket);
    this->sendToServer(action.ticket, *fence);
}

void ServerRunner::refuseUnsent(Ticket ticket)
{
    const bool authorityLost = !this->context.gate.fenceForServer(this->name);
    const core::TimePoint now = this->context.clock.now();
    const Actions actions = this->state.with([&](State &lockedState) {
        Actions decided;
        if (authorityLost)
            decided = lockedState.dispatcher.authorityLost(now);
        Completion completion;
        completion.outcome = RunOutcome::NotRun;
        completion.kind = core::ErrorKind::Fenced;
        Actions more = lockedState.dispatcher.completed(ticket, completion, now);
        std::move(more.begin(), more.end(), std::back_inserter(decided));
        return decided;
    });
    this->perform(actions);
}

void ServerRunner::sendToServer(Ticket ticket, const core::Fence &fence)
{
    const core::TimePoint now = this->context.clock.now();
    core::HttpRequest message;
    core::Endpoint endpoint;
    core::Duration timeout{};
    const bool found = this->state.with([&](State &lockedState) {
        const auto pending = lockedState.pendingRequests.find(ticket);
        if (pending == lockedState.pendingRequests.end())
            return false;
        ForwardRequest &request = pending->second.request;
        message = std::move(request.request);
        const auto remaining =
                std::chrono::duration_cast<std::chrono::milliseconds>(request.info.deadline - now);
        timeout = remaining;
        core::setHeader(message.headers, "X-Request-Id", request.info.id.value);
        core::setHeader(message.headers, "X-Deadline-Ms", std::to_string(remaining.count()));
        core::setHeader(message.headers, "X-Fence",
                        std::to_string(fence.epoch.value) + '.' + std::to_string(fence.sequence));
        if (request.ownerOnly)
            core::setHeader(message.headers, "X-Slot", std::to_string(request.info.slot));
        endpoint = lockedState.endpoint;
        return true;
    });
    if (!found)
        return;
    auto exchange = this->context.backends.send(
            endpoint, std::move(message), std::max(timeout, core::Duration(1)),
            [self = this->shared_from_this(), ticket,
             now](core::Outcome<core::HttpResponse> response) {
                self->responseReceived(ticket, now, std::move(response));
            });
    this->state.with([&](State &lockedState) {
        const auto pending = lockedState.pendingRequests.find(ticket);
        if (pending != lockedState.pendingRequests.end())
            pending->second.exchange = std::move(exchange);
    });
}

void ServerRunner::responseReceived(Ticket ticket, core::TimePoint sentAt,
                                    core::Outcome<core::HttpResponse> response)
{
    if (!response)
        return this->complete(ticket, completionFromError(response.error()));
    if (const auto refusal = parseRefusal(*response))
        return this->complete(ticket, *refusal);
    const bool idempotent = this->state.with([&](const State &lockedState) {
        const auto pending = lockedState.pendingRequests.find(ticket);
        return pending == lockedState.pendingRequests.end()
                || pending->second.request.info.idempotent;
    });
    if (idempotent)
        this->streamResponse(ticket, sentAt, std::move(*response));
    else
        this->bufferResponse(ticket, sentAt, std::move(*response));
}

void ServerRunner::streamResponse(Ticket ticket, core::TimePoint sentAt,
                                  core::HttpResponse response)
{
    const core::Duration latency = this->context.clock.now() - sentAt;
    auto pending = this->takePending(ticket);
    if (!pending)
        return this->completeAnswered(ticket, latency);
    // The request occupies the server until the body has ended.
    response.body = std::make_shared<ObservedBody>(
            std::move(response.body), [self = this->shared_from_this(), ticket, latency](bool) {
                self->completeAnswered(ticket, latency);
            });
    ForwardResult result;
    result.outcome = RunOutcome::Answered;
    result.response = std::move(response);
    result.load = this->load();
    pending->handler(std::move(result));
}

void ServerRunner::bufferResponse(Ticket ticket, core::TimePoint sentAt,
                                  core::HttpResponse response)
{
    const core::Duration latency = this->context.clock.now() - sentAt;
    auto body = response.body;
    core::readWholeBody(
            std::move(body), maxBufferedResponseBytes,
            [self = this->shared_from_this(), ticket, latency, status = response.status,
             headers = std::move(response.headers)](core::Outcome<std::string> text) mutable {
                if (!text)
                    return self->complete(
                            ticket,
                            completionFromError(core::Error{core::ErrorKind::ConnectionLost,
                                                            text.error().message}));
                decisions::StoredResponse stored{status, std::move(headers), std::move(*text),
                                                 true};
                Completion completion;
                completion.latency = latency;
                completion.response = stored;
                self->complete(ticket, completion);
                ForwardResult result;
                result.outcome = RunOutcome::Answered;
                result.response = toResponse(stored);
                result.load = self->load();
                self->finish(ticket, std::move(result));
            });
}

void ServerRunner::complete(Ticket ticket, const Completion &completion)
{
    const core::TimePoint now = this->context.clock.now();
    this->perform(this->state.with([&](State &lockedState) {
        return lockedState.dispatcher.completed(ticket, completion, now);
    }));
    this->completePauses();
}

void ServerRunner::completeAnswered(Ticket ticket, core::Duration latency)
{
    Completion completion;
    completion.latency = latency;
    this->complete(ticket, completion);
}

void ServerRunner::perform(const decisions::RefuseRequest &action)
{
    ForwardResult result;
    result.outcome = action.refusal.outcome;
    result.refusal = action.refusal;
    this->finish(action.ticket, std::move(result));
}

void ServerRunner::perform(const decisions::ReturnStoredResponse &action)
{
    ForwardResult result;
    if (action.response->bodyStored) {
        result.outcome = RunOutcome::Answered;
        result.response = toResponse(*action.response);
    } else {
        result =
                refuse(RunOutcome::Unknown, core::ErrorKind::Conflict,
                       "the request ran with status " + std::to_string(action.response->status)
                               + ", but its response was too large to store; read the result back");
    }
    this->finish(action.ticket, std::move(result));
}

void ServerRunner::perform(const decisions::AttachRequest &)
{
    // The request stays pending until the original request ends, which emits an action for this one
    // as well.
}

void ServerRunner::perform(const decisions::CancelRequest &action)
{
    core::RequestId id;
    const auto exchange =
            this->state.with([&](State &lockedState) -> std::shared_ptr<core::Exchange> {
                const auto pending = lockedState.pendingRequests.find(action.ticket);
                if (pending == lockedState.pendingRequests.end())
                    return nullptr;
                id = pending->second.request.info.id;
                return pending->second.exchange;
            });
    if (!exchange)
        return;
    exchange->cancel();
    this->cancelOnServer(id);
}

void ServerRunner::cancelOnServer(const core::RequestId &id)
{
    core::HttpRequest message;
    message.method = "DELETE";
    message.target = "/-/requests/" + id.value;
    this->context.backends.send(this->endpoint(), std::move(message), cancelTimeout,
                                [](const core::Outcome<core::HttpResponse> &) {});
}

void ServerRunner::callerDisconnected(Ticket ticket)
{
    this->updateDispatcher([ticket](ServerDispatcher &dispatcher, core::TimePoint now) {
        return dispatcher.callerDisconnected(ticket, now);
    });
}

std::optional<ServerRunner::PendingRequest> ServerRunner::takePending(Ticket ticket)
{
    return this->state.with([&](State &lockedState) -> std::optional<PendingRequest> {
        auto node = lockedState.pendingRequests.extract(ticket);
        if (node.empty())
            return std::nullopt;
        return std::move(node.mapped());
    });
}

void ServerRunner::finish(Ticket ticket, ForwardResult result)
{
    auto pending = this->takePending(ticket);
    if (!pending)
        return;
    if (!result.load)
        result.load = this->load();
    pending->handler(std::move(result));
}

} // namespace amaranthdale::daemon
