// The second attempt of a request whose first one is slow.
#pragma once

#include "active_request.h"

#include "amaranthdale/catalog/directory.h"

#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace amaranthdale::gateway {

/// Sends a request that waits for the response of its first attempt to a second server, if the slot
/// allocator grants a free slot there. The first complete response is delivered and the other
/// attempt is cancelled. If the first attempt fails, the rest of its handling waits for the second
/// one.
///
/// Belongs to its request. Callbacks of both attempts may run at the same time on different
/// threads. The fields of the request are used by its own attempt only, or by the second one once
/// the handling of the first one waits for it. Lock order: no other lock is taken while `mutex` is
/// held.
class HedgedAttempt
{
public:
    HedgedAttempt(Gateway &owner, ActiveRequest &activeRequest);

    /// Called before an attempt of the request is sent. Starts the timer.
    void onPrimarySent();

    /// Called when the response to that attempt begins, or when it failed. No second one starts; a
    /// slot that was requested for it is released.
    void onPrimaryResponse();

    /// Called when the request's attempt has been answered.
    void onPrimaryAnswered(core::Duration elapsed);

    /// Keeps `proceed` until the second attempt has ended and returns true, if one is in progress.
    /// Otherwise adds an earlier one to the counts of the request.
    bool tryDefer(std::function<void()> &proceed);

    /// Cancels the second attempt. Called when the request has ended; `answered` is false if its
    /// caller cancelled it.
    void stop(bool answered);

private:
    enum class Phase {
        Idle,
        Waiting,    ///< For the timer.
        Asking,     ///< For a slot.
        InProgress, ///< Being sent, or sent.
        Ended,      ///< Or the request has ended. There is no further one.
    };

    // Copied from the request when the timer starts.
    struct Plan
    {
        balance::Demand demand;
        std::vector<core::Endpoint> usedEndpoints;
        core::TimePoint primarySentAt{};
    };

    /// Time that a server needs to notice that a request was cancelled. Until then its slot is in
    /// use.
    static constexpr auto cancellationTime = std::chrono::milliseconds(20);

    enum class Effect { NotReached, NotRun, MayHaveRun };

    void onTimer(unsigned timerArming);
    bool mayStart() const;
    std::optional<balance::HedgePool> takeToken(const balance::Demand &demand, core::TimePoint now);
    void askForSlot(balance::Demand demand, balance::HedgePool pool);
    void onSlotDecision(unsigned ask, balance::Ticket decided,
                        std::optional<balance::SlotDecision> decision);
    std::optional<catalog::BackendServer> acquireServer(const core::ServerName &name,
                                                        core::TimePoint now);
    void send(const catalog::BackendServer &target, core::TimePoint now);
    void onResponse(core::Outcome<core::HttpResponse> outcome);
    void onTransportError(const core::Error &error);
    void readBody(core::HttpResponse response);
    bool isInProgress();
    bool isDeferring();
    void withdraw();
    void end(balance::AttemptResult result, Effect effect);
    void win(ActiveRequest::Result result);
    void releaseServer(balance::AttemptResult result);
    void releaseSlot(balance::AttemptResult result, core::Duration elapsed);
    void countRefusal(std::string_view reason) const;
    void addToRequest();
    void count(const char *name) const;

    Gateway &gateway;
    ActiveRequest &request;
    Plan plan;
    double primaryLatencyRatio = 1; ///< Of the server of the request's attempt.
    catalog::BackendServer server;  ///< Of the second attempt.
    core::TimePoint sentAt{};
    std::mutex mutex;
    std::optional<balance::LoadReport> loadReport; ///< With the response of the second attempt.
    Phase phase = Phase::Idle;
    unsigned arming = 0; ///< Number of the current timer.
    clock::TimerId timer = 0;
    unsigned asks = 0;        ///< Slot requests so far.
    unsigned lastDecided = 0; ///< Number of the last slot request that was decided.
    std::optional<balance::Ticket> slotTicket; ///< Of a slot that is requested or held.
    bool delayExceeded = false;                ///< By the request's current attempt.
    bool sent = false;
    bool added = false; ///< To the counts of the request.
    Effect endEffect = Effect::NotReached;
    std::shared_ptr<core::Exchange> exchange;
    std::function<void()> deferred; ///< What the request does if this attempt fails.
};

} // namespace amaranthdale::gateway
