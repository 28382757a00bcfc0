// Execution of requests on a backend server that this instance controls.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/decisions/server_dispatcher.h"
#include "amaranthdale/tables/guarded.h"
#include "forward.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace amaranthdale::daemon {

/// Decides whether a request may be sent now, and with which fencing token.
class SendGate
{
public:
    virtual ~SendGate() = default;

    /// Empty if no request may be sent to this server now.
    virtual std::optional<core::Fence> fenceForServer(const core::ServerName &server) const = 0;
    virtual std::optional<core::Fence> fenceForRequest(const ForwardRequest &request) const = 0;
};

/// Dependencies of runners. All must outlive every runner.
struct RunnerContext
{
    clock::Clock &clock;
    core::HttpSender &backends;
    const SendGate &gate;
};

/// Executes the actions of one `ServerDispatcher`. Thread-safe.
class ServerRunner : public std::enable_shared_from_this<ServerRunner>
{
public:
    ServerRunner(RunnerContext runnerContext, core::ServerName serverName, core::Endpoint address,
                 decisions::ServerDispatcher serverDispatcher);

    std::shared_ptr<core::Exchange> submit(ForwardRequest request, ForwardHandler handler);

    /// Calls `function` with the dispatcher locked and executes the actions that it returns.
    void updateDispatcher(const std::function<decisions::Actions(decisions::ServerDispatcher &,
                                                                 core::TimePoint)> &function);

    /// Refuses new requests for these slots. Calls `onIdle` when none is in flight, or at
    /// `deadline` after cancelling those that still are.
    void pauseSlots(std::vector<core::SlotIndex> slots, core::TimePoint deadline,
                    std::function<void()> onIdle);

    /// Cancels all requests in flight, after the server stopped responding.
    void cancelInFlight();

    /// Drops a slot that moved away, and retains its ledger for some time for the next controller.
    void retireSlot(core::SlotIndex slot);

    /// Drops all slots and their ledgers, including retired ones.
    void clearLedgers();

    /// Appends the ledgers of those of `slots` that this runner owns or has recently retired.
    void exportSlots(const std::vector<core::SlotIndex> &slots,
                     std::vector<decisions::SlotLedger> &ledgers) const;

    decisions::DispatcherLoad load() const;
    decisions::LimitReason limitReason() const;
    bool idle() const;
    /// See `RequestLedger::needsNewOffset`.
    bool needsNewOffset() const;
    core::Endpoint endpoint() const;
    void setEndpoint(const core::Endpoint &address);

private:
    friend class PendingExchange;

    // A submitted request that has not ended.
    struct PendingRequest
    {
        ForwardRequest request;
        ForwardHandler handler;
        std::shared_ptr<core::Exchange> exchange; // Set once the request has been sent.
    };

    // A pause of slots that is waiting for their requests in flight.
    struct Pause
    {
        std::vector<core::SlotIndex> slots;
        core::TimePoint deadline;
        std::function<void()> onIdle;
    };

    // Ledger of a slot that moved to another server or controller.
    struct RetiredLedger
    {
        decisions::SlotLedger ledger;
        core::TimePoint retiredAt;
    };

    // Invariant: `pendingRequests` has an entry for each ticket known to the dispatcher, except
    // those whose response is being streamed.
    struct State
    {
        decisions::ServerDispatcher dispatcher;
        std::map<decisions::Ticket, PendingRequest> pendingRequests;
        std::vector<Pause> pauses;
        std::map<core::SlotIndex, RetiredLedger> retired;
        core::Endpoint endpoint;
        bool ticking = false;
    };

    // A sent request to be cancelled.
    struct Cancellation
    {
        core::RequestId id;
        std::shared_ptr<core::Exchange> exchange;
    };

    // Appends the sent requests of `slots` to `found`.
    static void collectSent(const State &lockedState, const std::vector<core::SlotIndex> &slots,
                            std::vector<Cancellation> &found);

    void perform(const decisions::Actions &actions);
    void perform(const decisions::SendRequest &action);
    void perform(const decisions::RefuseRequest &action);
    void perform(const decisions::ReturnStoredResponse &action);
    void perform(const decisions::AttachRequest &action);
    void perform(const decisions::CancelRequest &action);

    void refuseUnsent(decisions::Ticket ticket);
    void sendToServer(decisions::Ticket ticket, const core::Fence &fence);
    void responseReceived(decisions::Ticket ticket, core::TimePoint sentAt,
                          core::Outcome<core::HttpResponse> response);
    void streamResponse(decisions::Ticket ticket, core::TimePoint sentAt,
                        core::HttpResponse response);
    void bufferResponse(decisions::Ticket ticket, core::TimePoint sentAt,
                        core::HttpResponse response);
    void complete(decisions::Ticket ticket, const decisions::Completion &completion);
    void completeAnswered(decisions::Ticket ticket, core::Duration latency);
    void cancelOnServer(const core::RequestId &id);
    void callerDisconnected(decisions::Ticket ticket);
    std::optional<PendingRequest> takePending(decisions::Ticket ticket);
    void finish(decisions::Ticket ticket, ForwardResult result);
    void scheduleTick();
    void tick();
    void completePauses();

    RunnerContext context;
    const core::ServerName name;
    tables::Guarded<State> state;
};

} // namespace amaranthdale::daemon
