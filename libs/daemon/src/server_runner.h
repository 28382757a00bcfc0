// Runs requests on one backend server that this instance controls.
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

/// Tells whether a request may be sent at this moment, and under which token.
class SendGate
{
public:
    virtual ~SendGate() = default;

    /// Nothing when the request must not be sent now.
    virtual std::optional<core::Fence> fenceForServer(const core::ServerName &server) const = 0;
    virtual std::optional<core::Fence> fenceForRequest(const ForwardRequest &request) const = 0;
};

/// What runners share. All must outlive every runner.
struct RunnerContext
{
    clock::Clock &clock;
    core::HttpSender &backends;
    const SendGate &gate;
};

/// Carries out the decisions of one `ServerDispatcher`. Thread-safe.
class ServerRunner : public std::enable_shared_from_this<ServerRunner>
{
public:
    ServerRunner(RunnerContext runnerContext, core::ServerName serverName, core::Endpoint address,
                 decisions::ServerDispatcher serverDispatcher);

    std::shared_ptr<core::Exchange> submit(ForwardRequest request, ForwardHandler handler);

    /// Calls `function` with the dispatcher locked and carries out the actions that it returns.
    void updateDispatcher(const std::function<decisions::Actions(decisions::ServerDispatcher &,
                                                                 core::TimePoint)> &function);

    /// Refuses new requests of these slots, and calls `onIdle` when none of theirs is in flight any
    /// more, or at `deadline` after cancelling those that are.
    void pauseSlots(std::vector<core::SlotIndex> slots, core::TimePoint deadline,
                    std::function<void()> onIdle);

    /// Gives up all requests in flight, after the server stopped answering.
    void cancelInFlight();

    /// Drops a slot that moved away, and keeps its ledger for a while for the next controller.
    void retireSlot(core::SlotIndex slot);

    /// Drops all slots with their ledgers, the retired ones included.
    void clearLedgers();

    /// Adds the ledgers of those of `slots` that this runner has, or had until recently.
    void exportSlots(const std::vector<core::SlotIndex> &slots,
                     std::vector<decisions::SlotMemory> &ledgers) const;

    decisions::DispatcherLoad load() const;
    decisions::LimitReason limitReason() const;
    bool idle() const;
    /// See `RequestLedger::needsNewOffset`.
    bool needsNewOffset() const;
    core::Endpoint endpoint() const;
    void setEndpoint(const core::Endpoint &address);

private:
    friend class PendingExchange;

    // A request between its arrival and its end.
    struct PendingRequest
    {
        ForwardRequest request;
        ForwardHandler handler;
        std::shared_ptr<core::Exchange> exchange; // Set once the request is sent.
    };

    // Pause of slots that waits for their requests.
    struct Pause
    {
        std::vector<core::SlotIndex> slots;
        core::TimePoint deadline;
        std::function<void()> onIdle;
    };

    // Ledger of a slot that moved away.
    struct RetiredLedger
    {
        decisions::SlotMemory ledger;
        core::TimePoint retiredAt;
    };

    // Invariant: `runs` has an entry for each ticket that the dispatcher knows, but for those whose
    // response is being passed on.
    struct State
    {
        decisions::ServerDispatcher dispatcher;
        std::map<decisions::Ticket, PendingRequest> pendingRequests;
        std::vector<Pause> pauses;
        std::map<core::SlotIndex, RetiredLedger> retired;
        core::Endpoint endpoint;
        bool ticking = false;
    };

    // A sent request that is to be cancelled.
    struct Cancellation
    {
        core::RequestId id;
        std::shared_ptr<core::Exchange> exchange;
    };

    // Adds the sent requests of `slots` to `found`.
    static void collectSent(const State &shared, const std::vector<core::SlotIndex> &slots,
                            std::vector<Cancellation> &found);

    void perform(const decisions::Actions &actions);
    void perform(const decisions::SendRequest &action);
    void perform(const decisions::RefuseRequest &action);
    void perform(const decisions::GiveResponse &action);
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
