// Processing of a caller's request on its entry instance, from arrival to response or refusal.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/decisions/retry_policy.h"
#include "amaranthdale/decisions/routing.h"
#include "amaranthdale/decisions/server_selector.h"
#include "amaranthdale/report/recorder.h"
#include "forward.h"
#include "load_tracker.h"
#include "tables.h"

#include <memory>
#include <mutex>

namespace amaranthdale::daemon {

/// State shared by all requests for which this is the entry instance.
struct EntryTable
{
    decisions::RandomSource random;
    decisions::RetryBudget budget;
    std::unique_ptr<decisions::RetryPolicy> retry;
    std::unique_ptr<decisions::HedgePolicy> hedge;
    std::unique_ptr<decisions::ServerSelector> selector;
    LoadTracker loads;
    std::size_t waiting = 0; // Requests waiting for an owner or a controller.

    explicit EntryTable(std::uint64_t seed);
};

/// Dependencies of requests. All must outlive every request.
struct EntryContext
{
    const Tables &tables;
    tables::Guarded<EntryTable> &entry;
    clock::Clock &clock;
    Forwarder &forwarder;
    report::Recorder &recorder;
};

/// Sends attempts to servers until one responds or the request must be refused. Cancelling it means
/// that the caller disconnected. Thread-safe.
class CallerRequest : public core::Exchange, public std::enable_shared_from_this<CallerRequest>
{
public:
    CallerRequest(EntryContext entryContext, decisions::RoutedRequest routedRequest, bool keyed,
                  core::HttpRequest original, core::ResponseHandler respond);

    void start();
    void cancel() override;

private:
    // A forwarded attempt that has not ended.
    struct Attempt
    {
        unsigned number = 0;
        core::ServerName server;
        std::shared_ptr<core::Exchange> exchange;
    };

    void attempt(bool hedge);
    std::optional<core::ServerName> chooseServer(const core::ServerName &except);
    void scheduleHedge();
    void attemptEnded(unsigned number, const core::ServerName &server, ForwardResult result);
    bool removeAttempt(unsigned number);
    void handleFailedAttempt(const ForwardResult &result);
    void waitForOwner(const ForwardResult &result);
    void regenerateId();
    void scheduleRetry(core::Duration delay);
    void sendResponse(const core::ServerName &server, ForwardResult result);
    void sendRefusal(const ForwardResult &result);
    bool markEnded();
    void cancelAttempts();
    void reportOutcome(const core::ServerName &server, report::RequestOutcome outcome,
                       report::NotRunReason reason);

    EntryContext context;
    decisions::RoutedRequest routed; // Changed only by `regenerateId`, with no attempt in flight.
    const bool keyedService;
    const core::TimePoint arrivedAt;
    core::HttpRequest request;
    core::ResponseHandler handler;

    std::mutex mutex; // Leaf lock; guards all members below.
    std::vector<Attempt> attempts;
    core::ServerName lastServer;
    unsigned attemptCount = 0;
    unsigned connectionsLost = 0;
    bool hedged = false;
    bool mayHaveRun = false; // An attempt ended with an unknown outcome.
    bool ended = false;      // The response was sent, or the caller disconnected.
};

} // namespace amaranthdale::daemon
