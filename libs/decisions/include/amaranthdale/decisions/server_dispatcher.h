// Admission control for one backend server, run by the instance that controls it.
#pragma once

#include "amaranthdale/decisions/concurrency_limit.h"
#include "amaranthdale/decisions/crash_filter.h"
#include "amaranthdale/decisions/fair_queue.h"
#include "amaranthdale/decisions/request_ledger.h"
#include "amaranthdale/tables/guarded.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace amaranthdale::decisions {

/// Send the request of `ticket` to the server now. If authority has been lost by the time of
/// sending, call `authorityLost`, and `completed` with NotRun.
struct SendRequest
{
    Ticket ticket = 0;
};

/// End the request of `ticket` with a refusal.
struct RefuseRequest
{
    Ticket ticket = 0;
    Refusal refusal;
};

/// End the request of `ticket` with the stored response of the first run of its id.
struct ReturnStoredResponse
{
    Ticket ticket = 0;
    std::shared_ptr<const StoredResponse> response;
};

/// The same id is queued or in flight under ticket `owner`; a later action ends this ticket.
struct AttachRequest
{
    Ticket ticket = 0;
    Ticket owner = 0;
};

/// Ask the server to cancel the request of `ticket`, and report its end with `completed`.
struct CancelRequest
{
    Ticket ticket = 0;
};

using Action = std::variant<SendRequest, RefuseRequest, ReturnStoredResponse, AttachRequest,
                            CancelRequest>;
using Actions = std::vector<Action>;

/// Ticket of an arrival and the resulting actions, which may concern other tickets as well.
struct Arrival
{
    Ticket ticket = 0;
    Actions actions;
};

/// End of a request that was sent. When it is Answered, the sender forwards the response to the
/// caller itself; the dispatcher issues the actions that end all other tickets.
struct Completion
{
    RunOutcome outcome = RunOutcome::Answered;
    core::ErrorKind kind = core::ErrorKind::Internal; ///< Unused when Answered.
    std::optional<core::Duration> latency;  ///< To the response headers; default: until now.
    std::optional<StoredResponse> response; ///< When Answered; stored for resends.
};

struct DispatcherOptions
{
    core::ServerName server;
    std::vector<Brand> brands;
    std::size_t maxQueued = 256;
    LedgerOptions ledger;
};

/// Load of the dispatcher, sent to entry instances with each response.
struct DispatcherLoad
{
    unsigned inFlight = 0;
    unsigned limit = 1;
    unsigned queued = 0;
};

/// Combines the concurrency limit, fair queue, request ledger and crash filter of one server. Sends
/// a request only while it has authority and fewer requests are in flight than the limit. Starts
/// without authority.
///
/// Not thread-safe: guard it with lock rank BackendServers. The crash filter, which all dispatchers
/// of the instance share, has rank Requests.
class ServerDispatcher
{
public:
    using SharedCrashFilter = std::shared_ptr<tables::Guarded<CrashFilter>>;

    ServerDispatcher(DispatcherOptions dispatcherOptions,
                     std::unique_ptr<ConcurrencyLimit> concurrencyLimit,
                     SharedCrashFilter sharedCrashFilter);

    Arrival arrive(const RequestInfo &request, core::TimePoint now);
    /// The sent request of `ticket` ended. Call it exactly once per sent ticket.
    Actions completed(Ticket ticket, const Completion &completion, core::TimePoint now);
    /// The caller of `ticket` disconnected. Refuses a queued or attached request and cancels an
    /// idempotent one in flight. A non-idempotent request in flight continues, so that a resend
    /// gets its response, and so does any request to which others are attached. The sender still
    /// has to carry out the returned actions.
    Actions callerDisconnected(Ticket ticket, core::TimePoint now);
    /// Handles deadlines and overdue responses. Call it every few milliseconds unless idle.
    Actions tick(core::TimePoint now);

    Actions authorityGained(core::TimePoint now);
    Actions authorityLost(core::TimePoint now);
    /// The server or this instance is stopping: refuses new and queued requests as NotRun.
    Actions drain(core::TimePoint now);
    void undrain() { this->draining = false; }
    /// Nothing is queued or in flight.
    bool idle() const { return this->pending.empty(); }

    Actions reportReceived(const LoadReport &report, core::TimePoint now);
    /// The server is known to have crashed or frozen: adds a strike for each request in flight and
    /// each that lost its connection recently. `completed` must still be called for each request in
    /// flight.
    void serverCrashed(core::TimePoint now);
    /// Nothing listens at the server's address: adds a strike for each request that lost its
    /// connection recently.
    void serverUnreachable(core::TimePoint now);
    void replayed(core::LogOffset offset, core::TimePoint now);

    void startSlot(core::SlotIndex slot, core::LogOffset knownSince, bool initial,
                   core::TimePoint now);
    /// Refuses new and queued requests of `slot` as NotRun, before a planned move.
    Actions pauseSlot(core::SlotIndex slot, core::TimePoint now);
    void resumeSlot(core::SlotIndex slot) { this->pausedSlots.erase(slot); }
    unsigned slotInFlight(core::SlotIndex slot) const;
    bool ownsSlot(core::SlotIndex slot) const { return this->ledger.ownsSlot(slot); }
    SlotLedger exportSlot(core::SlotIndex slot, core::TimePoint now) const;
    bool importSlot(const SlotLedger &memory, core::TimePoint now);
    /// The slot has moved to another controller. Refuses its queued requests; those in flight still
    /// complete.
    Actions dropSlot(core::SlotIndex slot, core::TimePoint now);
    Actions dropAllSlots(core::TimePoint now);

    /// See `RequestLedger::needsNewOffset`.
    bool needsNewOffset(core::TimePoint now) const { return this->ledger.needsNewOffset(now); }
    DispatcherLoad load(core::TimePoint now) const;
    LimitReason limitReason(core::TimePoint now) const { return this->limit->reasonCode(now); }

private:
    void addStrikesForSuspects(core::TimePoint now);

    enum class Stage { Queued, InFlight, Attached };

    struct Pending
    {
        RequestInfo request;
        Stage stage = Stage::Queued;
        Ticket owner = 0;            // For Attached.
        std::vector<Ticket> waiters; // Tickets attached to this request.
        core::TimePoint sentAt;
        bool cancelled = false;
    };

    // A request whose connection was lost, possibly because the server crashed.
    struct CrashSuspect
    {
        std::uint64_t fingerprint = 0;
        core::TimePoint lostAt;
    };

    std::optional<Refusal> admissionRefusal(const RequestInfo &request, core::TimePoint now) const;
    void handleVerdict(Ticket ticket, const RequestInfo &request, const LedgerLookup &lookup,
                       core::TimePoint now, Actions &actions);
    void enqueue(Ticket ticket, const RequestInfo &request, core::TimePoint now, Actions &actions);
    void attach(Ticket ticket, const RequestInfo &request, Ticket owner, Actions &actions);
    void send(Ticket ticket, core::TimePoint now, Actions &actions);
    void sendQueued(core::TimePoint now, Actions &actions);
    void refuseQueued(const std::vector<QueueEntry> &entries, const Refusal &refusal,
                      core::TimePoint now, Actions &actions);
    void refuseQueuedForSlot(core::SlotIndex slot, const Refusal &refusal, core::TimePoint now,
                             Actions &actions);
    void refuseUnsent(Ticket ticket, const Refusal &refusal, core::TimePoint now, Actions &actions);
    void completeWaiters(const Pending &owner, const Completion &completion, const Refusal &refusal,
                         core::TimePoint now, Actions &actions);
    void recordCompletion(const Pending &ended, const Completion &completion, core::TimePoint now);
    void detach(Ticket ticket);
    void checkDeadlines(core::TimePoint now, Actions &actions);
    core::Duration expectedWait(const RequestInfo &request, core::TimePoint now) const;

    DispatcherOptions options;
    std::unique_ptr<ConcurrencyLimit> limit;
    SharedCrashFilter crashFilter;
    FairQueue queue;
    RequestLedger ledger;
    std::map<Ticket, Pending> pending; // Queued, in flight or attached.
    std::set<core::SlotIndex> pausedSlots;
    std::vector<CrashSuspect> crashSuspects;
    core::Incarnation incarnation; // Of the server, as last reported.
    Ticket lastTicket = 0;
    unsigned inFlight = 0;
    bool authority = false;
    bool draining = false;
    core::Duration serviceTime; // Moving average over answered requests.
};

} // namespace amaranthdale::decisions
