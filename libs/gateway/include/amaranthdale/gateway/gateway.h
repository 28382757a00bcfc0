// Request gateway: routes each request of a caller to a backend server. A refusal or error states
// whether the request may have been run.
#pragma once

#include "amaranthdale/balance/server_speeds.h"
#include "amaranthdale/balance/service_balancer.h"
#include "amaranthdale/catalog/catalogue.h"
#include "amaranthdale/catalog/directory.h"
#include "amaranthdale/clock/clock.h"
#include "amaranthdale/gateway/explanation.h"
#include "amaranthdale/gateway/slot_allocator.h"
#include "amaranthdale/gateway/startup_wait.h"
#include "amaranthdale/gateway/statistics.h"
#include "amaranthdale/gateway/wire_format.h"
#include "amaranthdale/keyspace/assignment.h"
#include "amaranthdale/keyspace/key_load.h"
#include "amaranthdale/keyspace/placement.h"
#include "amaranthdale/log/event_log.h"
#include "amaranthdale/memory/budget.h"
#include "amaranthdale/organisations/key_index.h"
#include "amaranthdale/organisations/knowledge_age.h"
#include "amaranthdale/quarantine/crash_guard.h"
#include "amaranthdale/quotas/quota_gate.h"
#include "amaranthdale/tables/guarded.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace amaranthdale::gateway {

class ActiveRequest;
class HedgedAttempt;
class HedgeTable;

/// Settings of a gateway.
struct GatewayLimits
{
    core::DataCentreName dataCentre; ///< Where this instance runs.
    balance::RetryLimits retries;
    /// Maximum wait for the new owner of a key whose ownership is changing.
    core::Duration maxOwnerWait = std::chrono::milliseconds(400);
    /// Responses up to this size are buffered completely before the first byte is forwarded, so
    /// that a request whose response is cut off can be retried.
    std::size_t maxBufferedBytes = 1024 * 1024;
    /// Bound for what all requests buffer together. Beyond it, responses are forwarded as they
    /// arrive. The smallest instances have 160 MB.
    std::size_t maxTotalBufferedBytes = 24 * 1024 * 1024;
    /// Bounds it instead if set. May be shared with what else responses hold.
    std::shared_ptr<memory::Budget> responseBudget = nullptr;
    /// Timeout of requests that don't specify one; the timeout of the route still applies.
    core::Duration defaultTimeout = std::chrono::seconds(30);
    /// The owner of a key still gets requests for this long after it has said that it is leaving,
    /// while its keys are moved. Other servers get none.
    core::Duration leavingOwnerGrace = std::chrono::seconds(1);
    /// Requests with a key of an organisation are refused while the configuration has not been
    /// confirmed for longer than this, since the key may have been withdrawn. Zero: never.
    core::Duration maxConfigurationAge{};
    /// Second attempts that all instances together may send while the first one is in progress, as
    /// a share of a route's requests, at most 0.1. Zero: none.
    double hedgeRatio = 0;
    /// Requests that wait for the configuration, the servers or the first owners of keys.
    StartupWaitLimits startupWait;
    /// Whether keys are counted by the work of their requests instead of the number.
    bool countsWork = false;
    std::uint64_t seed = 1;
};

/// A configuration and what is derived from it.
struct Configuration
{
    std::shared_ptr<const catalog::RouteTable> routes;
    std::shared_ptr<const organisations::KeyIndex> keys;
};

/// Entry point of requests, and the tables that all requests share. Thread-safe. Lock order:
/// configuration, membership, ownership, backend servers, requests.
class Gateway : public core::RequestHandler
{
public:
    Gateway(clock::Clock &gatewayClock, core::HttpSender &httpSender,
            const WireFormat &requestFormat, log::EventLog &eventLog, GatewayLimits gatewayLimits);
    ~Gateway() override;

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override;

    /// Applies a configuration if it is newer than the current one. Returns whether it was applied.
    /// `onApplied` is then called before the requests that waited for the configuration continue.
    bool setCatalogue(catalog::Catalogue catalogue, const std::function<void()> &onApplied = {});

    /// The current configuration, or null before the first one.
    std::shared_ptr<const catalog::RouteTable> routes() const;

    /// Reports that the current configuration was the newest one at `asOf`, by `Clock::uptime`.
    void confirmConfiguration(core::TimePoint asOf);

    /// Runs `change` on the directory and updates the balancers with the result.
    void changeDirectory(const std::function<void(catalog::Directory &)> &change);

    /// Calls `function` with the locked directory and returns its result.
    template<class Function>
    decltype(auto) withDirectory(Function &&function) const
    {
        return this->directory.with(std::forward<Function>(function));
    }

    /// Stops new requests to a server that has said that it is leaving. Holds until the registry
    /// announces another incarnation.
    void markLeaving(const core::ServerName &server, std::uint64_t incarnation);

    /// Replaces the assignment of a service's keys unless `logEnd`, the end of the log when it was
    /// the newest record, is lower than that of the current one.
    void setAssignment(const core::ServiceName &service, keyspace::Assignment assignment,
                       std::uint64_t logEnd = 0);

    /// Sets the number of instances that shared limits and retry budgets are divided by.
    void setInstanceCount(unsigned instances);

    /// Returns the number of requests for each key of a keyed service since the last call. With
    /// `countsWork`, a request counts as its work relative to that of the average request.
    std::vector<keyspace::KeyCount> takeKeyCounts(const core::ServiceName &service);

    using SpeedsByServer = std::map<core::ServerName, balance::SpeedEstimate>;

    /// Servers of a service that may own keys, with their capacity: the slots, multiplied by the
    /// estimated speed. Without `speeds`, it is what this instance has observed by itself.
    std::vector<keyspace::Candidate> candidates(
            const core::ServiceName &service,
            const std::optional<SpeedsByServer> &speeds = std::nullopt) const;

    /// What would happen to a request now. Changes nothing, so what is sent next is decided from
    /// the same state, unless that changes meanwhile or another instance grants a slot.
    Explanation explain(const RequestDescription &description) const;

    Statistics &statistics() { return this->stats; }

    /// Requests a slot from `allocator` before each request is sent. `allocator` must outlive all
    /// requests and be set before the first one arrives.
    void setSlotAllocator(SlotAllocator &allocator) { this->slotAllocator = &allocator; }

    /// Takes a token from `gate` for each request with an organisation. `gate` must outlive all
    /// requests and be set before the first one arrives.
    void setQuotaGate(quotas::QuotaGate &gate) { this->quotaGate = &gate; }

    /// Asks `guard` whether a request may be sent, and reports lost connections, responses and the
    /// ends of servers to it. `guard` must outlive all requests and be set before the first one
    /// arrives.
    void setCrashGuard(quarantine::CrashGuard &guard) { this->crashGuard = &guard; }

    /// Refuses the waiting requests that the crash guard has blocked meanwhile.
    void refuseBlockedRequests();

    /// Increases with each change of the usable servers or the configuration.
    std::uint64_t directoryVersion() const { return this->changeCount; }

    /// Servers of a service that may get new requests.
    catalog::BackendServers usableServers(const core::ServiceName &service) const;

    std::optional<catalog::Service> findService(const core::ServiceName &service) const;

    /// Refuses all further requests. Called when the instance is about to exit and could not answer
    /// most of them.
    void stopAccepting() { this->stopping = true; }

    /// Refuses all requests that wait to be sent, now and later. Called when most of them could not
    /// be answered before the instance exits; another instance can still serve them.
    void stopSending();

    /// Ends all requests in progress with a response that says that they may have run. Called just
    /// before the instance exits.
    void abandonRequests();

    /// Number of requests in progress.
    std::size_t requestsInProgress() const;

    /// Size of the response bodies that are buffered.
    std::size_t bufferedBytes() const;

    /// Number of requests that continue at the next change of a table.
    std::size_t requestsAwaitingChange() const;

    /// Number of requests that wait because this instance has just started.
    std::size_t requestsAwaitingStartup() const;

private:
    friend class ActiveRequest;
    friend class HedgedAttempt;

    struct KeyedService
    {
        std::shared_ptr<const keyspace::Assignment> assignment;
        std::uint64_t assignmentLogEnd = 0; ///< Never decreases.
        std::unordered_map<keyspace::Key, double> counts;
        double roundingError = 0; ///< What rounding has left out of the reported counts.
    };

    Configuration currentConfiguration() const
    {
        return this->configuration.with([](const Configuration &current) { return current; });
    }

    using Waiter = std::function<void()>;
    using ActiveRequests = std::map<std::uint64_t, std::weak_ptr<ActiveRequest>>;

    std::vector<std::shared_ptr<ActiveRequest>> requests();

    bool mayServeKeys(const catalog::Directory &servers, const core::ServerName &name,
                      std::uint64_t incarnation) const;
    std::optional<catalog::BackendServer> usableServer(const core::ServiceName &service,
                                                       const core::ServerName &name,
                                                       bool forOwnedKey) const;
    std::optional<core::ServerName> findOwner(const core::ServiceName &service,
                                              keyspace::Key key) const;
    // Counts a request and returns its work relative to that of the average request.
    double countRequest(const core::ServiceName &service, const std::string &route);
    void countKey(const core::ServiceName &service, keyspace::Key key, double work);
    // Credits of the smooth weighted round robin, by route and service.
    using WeightCredits = std::map<std::string, std::map<core::ServiceName, double>>;

    core::ServiceName chooseService(const catalog::Route &route);
    static core::ServiceName chooseService(const catalog::Route &route, WeightCredits &all);
    static balance::Demand makeDemand(const catalog::Route &route, unsigned priority,
                                      core::Duration timeout, core::TimePoint now);
    void explainCaller(const RequestDescription &description, const Configuration &current,
                       Explanation &explanation) const;
    void explainChoice(const RequestDescription &description, const Configuration &current,
                       const catalog::Route &route, Explanation &explanation) const;
    void explainOwner(keyspace::Key key, Explanation &explanation) const;
    void reportEndedServers();
    void withdrawUnusable();
    void updateBalancers();
    void refreshBalancers();
    balance::ServiceBalancer &balancerFor(
            std::map<core::ServiceName, balance::ServiceBalancer> &all,
            const core::ServiceName &service) const;
    void addWaiter(std::uint64_t request, Waiter waiter);
    void removeWaiter(std::uint64_t request);
    void wakeWaiters();

    clock::Clock &clock;
    core::HttpSender &sender;
    const WireFormat &wireFormat;
    log::EventLog &events;
    const GatewayLimits limits;

    tables::Guarded<Configuration> configuration;
    organisations::KnowledgeAge configurationAge;
    tables::Guarded<catalog::Directory> directory;
    tables::Guarded<std::map<core::ServiceName, KeyedService>> ownership;
    mutable tables::Guarded<std::map<core::ServiceName, balance::ServiceBalancer>> balancers;
    tables::Guarded<WeightCredits> weightCredits;
    /// Called at the next change of a table. By number of a request in progress.
    tables::Guarded<std::map<std::uint64_t, Waiter>> waiters;
    std::atomic<unsigned> instanceCount{balance::BalancerShare().instances};
    tables::Guarded<StartupWaits> startupWaits;
    const core::TimePoint startupEnd; ///< No request is added to `startupWaits` from then on.
    tables::Guarded<ActiveRequests> activeRequests; ///< By number; until the final response.
    std::atomic<std::uint64_t> lastRequestNumber{0};
    /// The first configuration and what follows from it have been set.
    std::atomic<bool> configured{false};
    std::atomic<bool> stopping{false};
    std::atomic<bool> sendingStopped{false};
    std::atomic<std::uint64_t> changeCount{1};
    SlotAllocator *slotAllocator = nullptr;
    quotas::QuotaGate *quotaGate = nullptr;
    quarantine::CrashGuard *crashGuard = nullptr;
    Statistics stats;
    const std::shared_ptr<memory::Budget> buffers;
    const std::unique_ptr<HedgeTable> hedges; ///< Null if no request is hedged.
};

} // namespace amaranthdale::gateway
