// Admission of requests to one backend server, at the instance that controls it.
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

/// Send the request of `ticket` to the server now. If authority turns out to be lost at the moment
/// of sending, call `authorityLost` and `completed` with NotRun.
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

/// End the request of `ticket` with the response that the first run of its id got.
struct GiveResponse
{
    Ticket ticket = 0;
    std::shared_ptr<const StoredResponse> response;
};

/// The same id is queued or in flight as `owner`; a later action ends this ticket.
struct AttachRequest
{
    Ticket ticket = 0;
    Ticket owner = 0;
};

/// Ask the server to cancel the request of `ticket`, then report its end with `completed`.
struct CancelRequest
{
    Ticket ticket = 0;
};

using Action = std::variant<SendRequest, RefuseRequest, GiveResponse, AttachRequest, CancelRequest>;
using Actions = std::vector<Action>;

/// Ticket of an arrival and the actions that follow at once, those for other tickets included.
struct Arrival
{
    Ticket ticket = 0;
    Actions actions;
};

/// End of a request that was sent. For Answered the sender of the request passes the response on
/// itself; the dispatcher ends all others.
struct Completion
{
    RunOutcome outcome = RunOutcome::Answered;
    core::ErrorKind kind = core::ErrorKind::Internal; ///< Unless answered.
    std::optional<core::Duration> latency;            ///< To the response headers; default: to now.
    std::optional<StoredResponse> response;           ///< For Answered; kept for resends.
};

struct DispatcherOptions
{
    core::ServerName server;
    std::vector<Brand> brands;
    std::size_t maxQueued = 256;
    LedgerOptions ledger;
};

/// What entry instances are told with each response.
struct DispatcherLoad
{
    unsigned inFlight = 0;
    unsigned limit = 1;
    unsigned queued = 0;
};

/// Combines limit, fair queue, ledger and crash filter of one server. Not thread-safe: guard it
/// with rank BackendServers; the crash filter, shared by all dispatchers of the instance, has rank
/// Requests. Nothing is sent without authority, nor while it would put more in flight than the
/// limit. Starts without authority.
class ServerDispatcher
{
public:
    using SharedCrashFilter = std::shared_ptr<tables::Guarded<CrashFilter>>;

    ServerDispatcher(DispatcherOptions dispatcherOptions,
                     std::unique_ptr<ConcurrencyLimit> concurrencyLimit,
                     SharedCrashFilter sharedCrashFilter);

    Arrival arrive(const RequestInfo &request, core::TimePoint now);
    /// The request of `ticket`, which was sent, ended. Each sent ticket is completed once.
    Actions completed(Ticket ticket, const Completion &completion, core::TimePoint now);
    /// The caller of `ticket` went away. Queued work is dropped and an idempotent request in flight
    /// is cancelled. A non-idempotent one goes on, so that a resend gets its response, and so does
    /// one with others attached: the sender still has to carry out its actions.
    Actions callerGone(Ticket ticket, core::TimePoint now);
    /// Handles deadlines and stragglers; call it every few milliseconds while there is work.
    Actions tick(core::TimePoint now);

    Actions authorityHeld(core::TimePoint now);
    Actions authorityLost(core::TimePoint now);
    /// The server or this instance is being stopped: refuses new and queued work as not run.
    Actions drain(core::TimePoint now);
    void undrain() { this->draining = false; }
    /// Nothing is queued or in flight.
    bool idle() const { return this->pending.empty(); }

    Actions reportReceived(const LoadReport &report, core::TimePoint now);
    /// The server is known to have crashed or frozen: what was in flight gets a strike. Still call
    /// `completed` for each request that was in flight.
    void serverCrashed(core::TimePoint now);
    /// Nothing listens at the server's address: what lost its connection before gets a strike.
    void serverUnreachable(core::TimePoint now);
    void replayed(core::LogOffset offset, core::TimePoint now);

    void startSlot(core::SlotIndex slot, core::LogOffset knownSince, bool initial,
                   core::TimePoint now);
    /// Refuses new and queued work of `slot` as not run, for a planned move.
    Actions pauseSlot(core::SlotIndex slot, core::TimePoint now);
    void resumeSlot(core::SlotIndex slot) { this->pausedSlots.erase(slot); }
    unsigned slotInFlight(core::SlotIndex slot) const;
    bool ownsSlot(core::SlotIndex slot) const { return this->ledger.ownsSlot(slot); }
    SlotMemory exportSlot(core::SlotIndex slot, core::TimePoint now) const;
    bool importSlot(const SlotMemory &memory, core::TimePoint now);
    /// The slot moved away. Its queued requests are refused; what is in flight still completes.
    Actions dropSlot(core::SlotIndex slot, core::TimePoint now);
    Actions dropAllSlots(core::TimePoint now);

    /// See `RequestLedger::needsNewOffset`.
    bool needsNewOffset(core::TimePoint now) const { return this->ledger.needsNewOffset(now); }
    DispatcherLoad load(core::TimePoint now) const;
    LimitReason limitReason(core::TimePoint now) const { return this->limit->reasonCode(now); }

private:
    void strikeSuspects(core::TimePoint now);

    enum class Stage { Queued, InFlight, Attached };

    struct Pending
    {
        RequestInfo request;
        Stage stage = Stage::Queued;
        Ticket owner = 0;            // For Attached.
        std::vector<Ticket> waiters; // Attached to this one.
        core::TimePoint sentAt;
        bool cancelled = false;
    };

    // A fingerprint whose connection was lost: a crash may turn out to be the cause.
    struct Suspect
    {
        std::uint64_t fingerprint = 0;
        core::TimePoint lostAt;
    };

    std::optional<Refusal> whyNotAdmitted(const RequestInfo &request, core::TimePoint now) const;
    void actOnVerdict(Ticket ticket, const RequestInfo &request, const LedgerLookup &lookup,
                      core::TimePoint now, Actions &actions);
    void enqueue(Ticket ticket, const RequestInfo &request, core::TimePoint now, Actions &actions);
    void attach(Ticket ticket, const RequestInfo &request, Ticket owner, Actions &actions);
    void send(Ticket ticket, core::TimePoint now, Actions &actions);
    void sendQueued(core::TimePoint now, Actions &actions);
    void refuseQueued(const std::vector<QueueEntry> &entries, const Refusal &refusal,
                      core::TimePoint now, Actions &actions);
    void refuseQueuedOf(core::SlotIndex slot, const Refusal &refusal, core::TimePoint now,
                        Actions &actions);
    void refuseNotSent(Ticket ticket, const Refusal &refusal, core::TimePoint now,
                       Actions &actions);
    void endWaiters(const Pending &owner, const Completion &completion, const Refusal &refusal,
                    core::TimePoint now, Actions &actions);
    void noteEnd(const Pending &ended, const Completion &completion, core::TimePoint now);
    void detach(Ticket ticket);
    void checkDeadlines(core::TimePoint now, Actions &actions);
    core::Duration expectedWait(const RequestInfo &request, core::TimePoint now) const;

    DispatcherOptions options;
    std::unique_ptr<ConcurrencyLimit> limit;
    SharedCrashFilter crashFilter;
    FairQueue queue;
    RequestLedger ledger;
    std::map<Ticket, Pending> pending; // All that is queued, in flight or attached.
    std::set<core::SlotIndex> pausedSlots;
    std::vector<Suspect> suspects;
    core::Incarnation incarnation; // Of the server, as last reported.
    Ticket lastTicket = 0;
    unsigned inFlight = 0;
    bool authority = false;
    bool draining = false;
    core::Duration serviceTime; // Slow average over answered requests.
};

} // namespace amaranthdale::decisions
