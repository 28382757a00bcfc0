// State of one request of a caller, from its arrival to the final response.
#pragma once

#include "amaranthdale/gateway/gateway.h"

#include <atomic>
#include <mutex>

namespace amaranthdale::gateway {

class HedgedAttempt;

/// Sends a request to backend servers until it is answered, refused or cancelled: to one at a time,
/// and with hedging to a second one while the first is slow (`HedgedAttempt`). Whatever it waits
/// for, it ends by itself soon after its deadline. Callbacks may run on any thread. No other lock
/// is taken while `mutex` is held.
class ActiveRequest : public core::Exchange, public std::enable_shared_from_this<ActiveRequest>
{
public:
    ActiveRequest(Gateway &owner, core::ResponseHandler responseHandler);
    ~ActiveRequest() override;

    static std::shared_ptr<core::Exchange> begin(Gateway &owner, core::HttpRequest message,
                                                 core::ResponseHandler respond);

    /// Cancels the attempt in progress. Called when the caller no longer waits.
    void cancel() override;

    /// Refuses the request if it waits for a slot, an owner or its next attempt.
    void refuseIfWaiting();

    /// Refuses the request if it waits; otherwise ends it as one that may have run.
    void abandon();

    /// Refuses the request if it waits and may not be sent for now, because it crashes servers.
    void refuseIfBlocked();

    /// Withdraws an attempt that the sender has not sent yet if its server may not get it any more.
    /// The request then continues with another server.
    void withdrawIfUnusable();

    /// Withdraws an attempt that the sender has not sent yet.
    void withdraw();

private:
    friend class HedgedAttempt;

    // What a request may wait for just after the start of the instance.
    enum class StartupNeed {
        Configuration,
        Confirmation, ///< That the configuration holds the keys of organisations in force.
        Servers,
        Assignment, ///< Of the keys of its service.
    };

    void start(core::HttpRequest message);
    void selectRoute();
    void awaitServers();
    bool lacks(StartupNeed need) const;
    std::optional<core::TimePoint> admitStartupWait(core::TimePoint deadline);
    void endStartupWait();
    bool awaitStartup(StartupNeed need, core::TimePoint deadline, void (ActiveRequest::*step)());
    void extendOwnerWait();
    bool identifyCaller(const Configuration &configuration);
    bool isStillAuthorised() const;
    void endUnauthorised();
    void takeQuota();
    bool useQuota(const catalog::BackendServer &target);
    void reclaimQuota();
    void continueUnsent();
    void releaseQuota();
    void refuseOverQuota(const quotas::QuotaAnswer &answer);
    void selectService();
    void scheduleDeadline(core::TimePoint time, void (ActiveRequest::*onExpiry)());
    void onDeadline();
    void onOverdue();
    void startAttempt();
    void chooseLocally();
    bool isOwnerPaused();
    bool hasLostOwner();
    void requestSlot(const std::optional<core::ServerName> &target);
    void onSlotDecision(unsigned requestGeneration, balance::Ticket ticket,
                        const std::optional<core::ServerName> &target,
                        std::optional<balance::SlotDecision> decision);
    void useSlot(const core::ServerName &name);
    std::optional<core::ServerName> pickServer();
    void releaseSlot(balance::AttemptResult result, core::Duration elapsed);
    void send(const catalog::BackendServer &server);
    void wait(core::TimePoint until);
    void onResponse(unsigned attemptGeneration, core::Outcome<core::HttpResponse> outcome);
    void applyServerState(const ServerResponse &parsed, const core::ServerName &from,
                          std::uint64_t incarnation);
    quarantine::Fingerprint fingerprint() const;
    std::optional<core::Duration> blockedFor() const;
    void refuseBlocked(core::Duration remaining);
    void reportLost(const core::ServerName &from, std::uint64_t incarnation);
    void reportAnswered();
    void reportSend(const catalog::BackendServer &target);
    void reportResponse(const core::HttpResponse &response, const ServerResponse &parsed);
    void onTransportError(const core::Error &error);
    void readBody(core::HttpResponse response);
    void scheduleBodyDeadline(unsigned attemptGeneration, core::TimePoint bodyDeadline);
    void onBodyError(const core::Error &error);
    void onServerFailure(core::HttpResponse response);
    void retryOrForward(core::HttpResponse response);
    void retryLater();
    bool tryTakeRetry(bool mayHaveRun);
    void retryOrRefuse(const char *reason);
    void endAttempt(balance::AttemptResult result);
    void startHedging();
    void stopHedge(bool answered);
    void continueAfterHedge(std::function<void()> proceed);
    void reportShortage();
    // The final response and what is reported about it.
    struct Result
    {
        core::HttpResponse response;
        const char *outcome;
        std::string reason;
    };

    static Result makeFailure(unsigned status, const std::string &reason);
    Result makeRefusal(core::Duration retryAfter, const std::string &reason) const;
    void refuse(core::Duration retryAfter, const std::string &reason);
    void fail(unsigned status, const std::string &reason);
    void finish(Result result);
    bool tryFinish(bool onlyIfWaiting);
    void abort(const std::function<void()> &report);
    void deliver(Result result);
    void unregister();
    void beginWaiting();
    bool isFinished();
    core::Duration timeLeft() const;

    // The organisation of the caller. Empty if the request needs no key.
    struct CallerIdentity
    {
        core::OrganisationName organisation;
        organisations::KeyDigest keyDigest = 0;
        std::shared_ptr<const organisations::KeyIndex> keys; ///< In which the key was found.
        std::optional<unsigned> priority;
    };

    // What became of the request's token of its organisation's quota.
    enum class QuotaState {
        None,   ///< No token is needed, or it has been given back.
        Held,   ///< The request has not been sent, or was certainly not run.
        Used,   ///< The request may have been run.
        Lapsed, ///< It was too old to be sent with, and has been given back.
    };

    // To which server an attempt was given to the sender.
    struct ExchangeTarget
    {
        core::ServerName server;
        std::uint64_t incarnation = 0;
        bool ownsKey = false; ///< It was chosen as the owner of the request's key.
    };

    Gateway &gateway;
    const std::uint64_t number; ///< Key in the gateway's table of active requests.
    core::ResponseHandler respond;
    CallerRequest request;
    std::shared_ptr<const catalog::RouteTable> table; ///< Keeps `route` alive.
    const catalog::Route *route = nullptr;
    core::ServiceName service;
    CallerIdentity caller;
    std::atomic<QuotaState> quotaState{QuotaState::None};
    quotas::QuotaAnswer quotaAnswer; ///< The last one.
    core::TimePoint quotaWaitEnd{};  ///< By `Clock::uptime`.
    balance::Demand demand;
    core::TimePoint sentAt{};
    core::ServerName server;             ///< Server of the attempt in progress.
    std::uint64_t serverIncarnation = 0; ///< Incarnation of `server`.
    core::ServerName lastServer;         ///< Server of the last finished attempt.
    std::vector<core::Endpoint> sentTo;  ///< Destinations of all attempts.
    unsigned attempts = 0;               ///< Attempts that may have run the request.
    unsigned sends = 0;                  ///< Attempts that may have reached a server.
    /// Number of the current step. Callbacks of earlier steps are ignored.
    std::atomic<unsigned> generation{0};
    core::TimePoint ownerWaitEnd{};
    std::atomic<bool> awaitedStartup{false}; ///< May be among the gateway's `startupWaits`.
    bool keyedService = false; ///< The keys of the service are divided among its servers.
    unsigned serverPicks = 0;  ///< Servers picked for a request without a key.
    std::optional<balance::LoadReport> loadReport; ///< From the attempt in progress.
    bool ownerRefused = false; ///< The owner answered that it doesn't own the key.

    std::mutex mutex;
    bool finished = false;
    /// No attempt is in progress, and `attempts` counts all earlier ones. Guarded by mutex.
    bool waiting = false;
    std::shared_ptr<core::Exchange> exchange;  ///< Guarded by mutex.
    ExchangeTarget exchangeTarget;             ///< Of `exchange`; guarded by mutex.
    std::optional<balance::Ticket> slotTicket; ///< Requested or held; guarded by mutex.
    /// Null unless the request may be hedged. Set under mutex before the first attempt, then fixed.
    std::unique_ptr<HedgedAttempt> hedge;
};

} // namespace amaranthdale::gateway
