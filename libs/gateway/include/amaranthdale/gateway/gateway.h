// Serves callers: routes each request to a backend server and answers or refuses it truthfully.
#pragma once

#include "amaranthdale/balance/service_balancer.h"
#include "amaranthdale/catalog/catalogue.h"
#include "amaranthdale/catalog/directory.h"
#include "amaranthdale/clock/clock.h"
#include "amaranthdale/gateway/slot_advisor.h"
#include "amaranthdale/gateway/statistics.h"
#include "amaranthdale/gateway/wire_format.h"
#include "amaranthdale/keyspace/assignment.h"
#include "amaranthdale/keyspace/key_load.h"
#include "amaranthdale/keyspace/placement.h"
#include "amaranthdale/log/event_log.h"
#include "amaranthdale/tables/guarded.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace amaranthdale::gateway {

/// Settings of a gateway.
struct GatewayLimits
{
    core::DataCentreName dataCentre; ///< Where this instance runs.
    balance::RetryLimits retries;
    /// Longest wait for the new owner of a key that is changing hands.
    core::Duration ownerWait = std::chrono::milliseconds(400);
    /// Responses up to this size are read whole before the first byte is passed on, so that one
    /// that breaks off can be replaced.
    std::size_t bufferedBytes = 1024 * 1024;
    /// For requests without a time of their own, before their route is known.
    core::Duration patience = std::chrono::seconds(30);
    std::uint64_t seed = 1;
};

/// Shared tables and the entry point of requests. Thread-safe. Lock order: configuration,
/// membership, ownership, backend servers, requests.
class Gateway : public core::RequestHandler
{
public:
    Gateway(clock::Clock &gatewayClock, core::HttpSender &httpSender, const WireFormat &wireFormat,
            log::EventLog &eventLog, GatewayLimits gatewayLimits);

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override;

    /// Puts a configuration in force unless a newer one is. Returns whether it did.
    bool setCatalogue(catalog::Catalogue catalogue);

    /// The configuration in force, or null.
    std::shared_ptr<const catalog::RouteTable> routes() const;

    /// Runs `change` on the directory and passes the result on to the balancers.
    void changeDirectory(const std::function<void(catalog::Directory &)> &change);

    /// Reads the directory.
    template<class Function>
    decltype(auto) withDirectory(Function &&function) const
    {
        return this->directory.with(std::forward<Function>(function));
    }

    /// Puts an assignment of keys in force.
    void setAssignment(const core::ServiceName &service, keyspace::Assignment assignment);

    /// Number of instances that share budgets.
    void setInstances(unsigned instances);

    /// Requests for each key of a keyed service since the last call.
    std::vector<keyspace::KeyCount> takeKeyCounts(const core::ServiceName &service);

    /// Servers of a service that may own keys, with their observed capacity.
    std::vector<keyspace::Candidate> candidates(const core::ServiceName &service) const;

    Statistics &statistics() { return this->stats; }

    /// Asks `slotAdvisor`, which outlives all requests, before a request is sent. Set before
    /// requests arrive.
    void setAdvisor(SlotAdvisor &slotAdvisor) { this->advisor = &slotAdvisor; }

    /// Rises with each change of the usable servers and the configuration.
    std::uint64_t directoryVersion() const { return this->changes; }

    /// Servers of a service that may get new work.
    catalog::BackendServers usableServers(const core::ServiceName &service) const;

    std::optional<catalog::Service> serviceOf(const core::ServiceName &service) const;

    /// Refuses every further request, as this instance ends before most could be answered.
    void stopAccepting() { this->stopping = true; }

    /// Requests that are being served.
    std::size_t requestsInProgress() const;

private:
    friend class RequestRun;

    struct KeyedService
    {
        std::shared_ptr<const keyspace::Assignment> assignment;
        std::unordered_map<keyspace::Key, std::uint32_t> counts;
    };

    using Waiter = std::function<void()>;

    std::optional<catalog::BackendServer> usableServer(const core::ServiceName &service,
                                                       const core::ServerName &name) const;
    std::optional<core::ServerName> ownerOf(const core::ServiceName &service,
                                            keyspace::Key key) const;
    void countKey(const core::ServiceName &service, keyspace::Key key);
    core::ServiceName chooseService(const catalog::Route &route);
    void refreshBalancers();
    balance::ServiceBalancer &balancerOf(std::map<core::ServiceName, balance::ServiceBalancer> &all,
                                         const core::ServiceName &service) const;
    void addWaiter(Waiter waiter);
    void wakeWaiters();

    clock::Clock &clock;
    core::HttpSender &sender;
    const WireFormat &wire;
    log::EventLog &events;
    const GatewayLimits limits;

    tables::Guarded<std::shared_ptr<const catalog::RouteTable>> configuration;
    tables::Guarded<catalog::Directory> directory;
    tables::Guarded<std::map<core::ServiceName, KeyedService>> ownership;
    mutable tables::Guarded<std::map<core::ServiceName, balance::ServiceBalancer>> balancers;
    // Requests sent to each share of each route, as (route, service) counts; guards fairness of
    // shares.
    tables::Guarded<std::map<std::string, std::map<core::ServiceName, double>>> shareCredits;
    tables::Guarded<std::vector<Waiter>> waiters;
    std::atomic<unsigned> instanceCount{balance::BalancerShare().instances};
    std::atomic<std::size_t> inProgress{0};
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> changes{1};
    SlotAdvisor *advisor = nullptr;
    Statistics stats;
};

} // namespace amaranthdale::gateway
