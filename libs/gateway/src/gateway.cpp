// Shared tables of the gateway and their updates.
#include "amaranthdale/gateway/gateway.h"

#include "active_request.h"
#include "hedge_table.h"

#include "amaranthdale/core/hash.h"

#include <algorithm>
#include <cmath>

namespace amaranthdale::gateway {

using tables::LockRank;

Gateway::Gateway(clock::Clock &gatewayClock, core::HttpSender &httpSender,
                 const WireFormat &requestFormat, log::EventLog &eventLog,
                 GatewayLimits gatewayLimits)
    : clock(gatewayClock), sender(httpSender), wireFormat(requestFormat), events(eventLog),
      limits(std::move(gatewayLimits)), configuration(LockRank::Configuration),
      configurationAge(this->limits.maxConfigurationAge), directory(LockRank::Membership),
      ownership(LockRank::Ownership), balancers(LockRank::BackendServers),
      weightCredits(LockRank::Requests), waiters(LockRank::Requests),
      startupWaits(LockRank::Requests, this->limits.startupWait, gatewayClock.now()),
      startupEnd(this->startupWaits.with([](const StartupWaits &waits) { return waits.end(); })),
      activeRequests(LockRank::Requests),
      buffers(this->limits.responseBudget ? this->limits.responseBudget
                                          : std::make_shared<memory::Budget>(memory::BudgetLimits{
                                                  .bytes = this->limits.maxTotalBufferedBytes})),
      hedges(this->limits.hedgeRatio > 0 ? std::make_unique<HedgeTable>(this->limits.hedgeRatio)
                                         : nullptr)
{ }

Gateway::~Gateway() = default;

std::shared_ptr<core::Exchange> Gateway::handle(core::HttpRequest request,
                                                core::ResponseHandler respond)
{
    return ActiveRequest::begin(*this, std::move(request), std::move(respond));
}

bool Gateway::setCatalogue(catalog::Catalogue catalogue, const std::function<void()> &onApplied)
{
    const std::uint64_t version = catalogue.version;
    Configuration next;
    next.routes = std::make_shared<const catalog::RouteTable>(std::move(catalogue));
    next.keys = std::make_shared<const organisations::KeyIndex>(
            next.routes, core::stableHash("organisation-keys", this->limits.seed));
    const bool newer = this->configuration.with([&](Configuration &current) {
        if (current.routes && current.routes->version() >= version)
            return false;
        std::swap(current, next);
        return true;
    });
    if (!newer)
        return false;
    this->updateBalancers();
    if (onApplied)
        onApplied();
    this->configured = true;
    this->wakeWaiters();
    return true;
}

void Gateway::confirmConfiguration(core::TimePoint asOf)
{
    const bool first = !this->configurationAge.age(this->clock.uptime());
    this->configurationAge.confirm(asOf);
    if (first)
        this->wakeWaiters();
}

std::shared_ptr<const catalog::RouteTable> Gateway::routes() const
{
    return this->configuration.with([](const Configuration &current) { return current.routes; });
}

void Gateway::changeDirectory(const std::function<void(catalog::Directory &)> &change)
{
    this->directory.with([&change](catalog::Directory &servers) { change(servers); });
    this->reportEndedServers();
    this->refreshBalancers();
    this->withdrawUnusable();
}

balance::ServiceBalancer &Gateway::balancerFor(
        std::map<core::ServiceName, balance::ServiceBalancer> &all,
        const core::ServiceName &service) const
{
    const auto found = all.find(service);
    if (found != all.end())
        return found->second;
    const std::uint64_t seed = this->limits.seed + all.size();
    return all.try_emplace(service, this->limits.retries, this->limits.dataCentre, seed)
            .first->second;
}

void Gateway::updateBalancers()
{
    const auto table = this->routes();
    if (!table)
        return;
    const core::TimePoint now = this->clock.now();
    this->directory.with([&](const catalog::Directory &servers) {
        this->balancers.with([&](auto &all) {
            for (const catalog::Service &service : table->services()) {
                balance::ServiceBalancer &balancer = this->balancerFor(all, service.name);
                balancer.setService(service);
                balancer.setShare({this->instanceCount});
                balancer.setServers(service.keyed ? servers.usableOrLeaving(service.name)
                                                  : servers.usable(service.name),
                                    now);
            }
        });
    });
    ++this->changeCount;
}

void Gateway::refreshBalancers()
{
    this->updateBalancers();
    this->wakeWaiters();
}

catalog::BackendServers Gateway::usableServers(const core::ServiceName &service) const
{
    return this->directory.with(
            [&](const catalog::Directory &servers) { return servers.usable(service); });
}

void Gateway::markLeaving(const core::ServerName &server, std::uint64_t incarnation)
{
    const core::TimePoint now = this->clock.now();
    const bool marked = this->directory.with([&](catalog::Directory &servers) {
        return servers.markLeaving(server, incarnation, now);
    });
    if (!marked)
        return;
    this->events.write(log::Severity::Info, "server-leaving",
                       {{"server", server.value}, {"incarnation", std::to_string(incarnation)}});
    this->refreshBalancers();
    this->withdrawUnusable();
}

// True if the server may get requests for keys that it owns.
bool Gateway::mayServeKeys(const catalog::Directory &servers, const core::ServerName &name,
                           std::uint64_t incarnation) const
{
    if (servers.isUsable(name, incarnation))
        return true;
    const catalog::BackendServer *server = servers.find(name);
    const auto leavingSince = servers.leavingSince(name);
    return server != nullptr && leavingSince && server->incarnation == incarnation
            && !server->draining && !servers.isDrained(server->dataCentre)
            && this->clock.now() < *leavingSince + this->limits.leavingOwnerGrace;
}

std::optional<catalog::BackendServer> Gateway::usableServer(const core::ServiceName &service,
                                                            const core::ServerName &name,
                                                            bool forOwnedKey) const
{
    return this->directory.with(
            [&](const catalog::Directory &servers) -> std::optional<catalog::BackendServer> {
                const catalog::BackendServer *server = servers.find(name);
                if (server == nullptr || server->service != service)
                    return std::nullopt;
                const bool usable = forOwnedKey
                        ? this->mayServeKeys(servers, name, server->incarnation)
                        : servers.isUsable(name, server->incarnation);
                if (!usable)
                    return std::nullopt;
                return *server;
            });
}

std::optional<catalog::Service> Gateway::findService(const core::ServiceName &service) const
{
    const auto table = this->routes();
    const catalog::Service *found = table ? table->service(service) : nullptr;
    return found == nullptr ? std::nullopt : std::optional(*found);
}

void Gateway::setInstanceCount(unsigned instances)
{
    if (this->instanceCount.exchange(instances) == instances)
        return;
    this->refreshBalancers();
    if (this->hedges)
        this->hedges->with([instances](auto &policy) { policy.setInstances(instances); });
}

void Gateway::setAssignment(const core::ServiceName &service, keyspace::Assignment assignment,
                            std::uint64_t logEnd)
{
    auto shared = std::make_shared<const keyspace::Assignment>(std::move(assignment));
    this->ownership.with([&](auto &services) {
        KeyedService &current = services[service];
        if (logEnd < current.assignmentLogEnd)
            return;
        current.assignment = std::move(shared);
        current.assignmentLogEnd = logEnd;
    });
    this->wakeWaiters();
}

std::optional<core::ServerName> Gateway::findOwner(const core::ServiceName &service,
                                                   keyspace::Key key) const
{
    const auto assignment = this->ownership.with([&](const auto &services) {
        const auto found = services.find(service);
        return found == services.end() ? nullptr : found->second.assignment;
    });
    const keyspace::OwnedRange *ownedRange = assignment ? assignment->find(key) : nullptr;
    if (ownedRange == nullptr || ownedRange->owner.name.empty())
        return std::nullopt;
    const bool usable = this->directory.with([&](const catalog::Directory &servers) {
        return this->mayServeKeys(servers, ownedRange->owner.name, ownedRange->owner.incarnation);
    });
    return usable ? std::optional(ownedRange->owner.name) : std::nullopt;
}

double Gateway::countRequest(const core::ServiceName &service, const std::string &route)
{
    return this->balancers.with([&](auto &all) {
        balance::ServiceBalancer &balancer = this->balancerFor(all, service);
        balancer.onRequest();
        return this->limits.countsWork ? balancer.relativeWork(route) : 1.0;
    });
}

void Gateway::countKey(const core::ServiceName &service, keyspace::Key key, double work)
{
    this->ownership.with([&](auto &services) { services[service].counts[key] += work; });
}

std::vector<keyspace::KeyCount> Gateway::takeKeyCounts(const core::ServiceName &service)
{
    return this->ownership.with([&](auto &services) {
        KeyedService &current = services[service];
        std::vector<keyspace::KeyCount> taken;
        // Messages contain integers. What one key loses by rounding is added to the next one, so
        // that many keys with little work don't vanish.
        for (const auto &[key, work] : current.counts) {
            const double exact = work + current.roundingError;
            const double rounded = std::max(0.0, std::round(exact));
            current.roundingError = exact - rounded;
            if (rounded > 0)
                taken.emplace_back(key, static_cast<std::uint32_t>(rounded));
        }
        current.counts.clear();
        return taken;
    });
}

std::vector<keyspace::Candidate> Gateway::candidates(
        const core::ServiceName &service, const std::optional<SpeedsByServer> &speeds) const
{
    const core::TimePoint now = this->clock.now();
    const catalog::BackendServers usable = this->usableServers(service);
    std::vector<keyspace::Candidate> found;
    this->balancers.with([&](auto &all) {
        const balance::ServiceBalancer &balancer = this->balancerFor(all, service);
        for (const catalog::BackendServer &server : usable) {
            keyspace::Candidate candidate;
            candidate.server = {server.name, server.incarnation};
            if (speeds) {
                const auto estimate = speeds->find(server.name);
                candidate.capacity = std::max(1U, server.slots)
                        * (estimate == speeds->end() ? 1 : estimate->second.speed);
            } else {
                candidate.capacity = balancer.capacity(server.name);
            }
            candidate.cold = now < server.coldUntil;
            found.push_back(std::move(candidate));
        }
    });
    return found;
}

// Smooth weighted round robin: each request adds every service's weight to its credit. The service
// with the highest credit is chosen and its credit is reduced by the total weight.
core::ServiceName Gateway::chooseService(const catalog::Route &route)
{
    if (route.shares.size() == 1)
        return route.shares.front().service;
    return this->weightCredits.with([&route](auto &all) { return chooseService(route, all); });
}

core::ServiceName Gateway::chooseService(const catalog::Route &route, WeightCredits &all)
{
    if (route.shares.size() == 1)
        return route.shares.front().service;
    auto &credits = all[route.name];
    double total = 0;
    const catalog::TrafficShare *chosen = nullptr;
    double most = 0;
    for (const catalog::TrafficShare &share : route.shares) {
        double &credit = credits[share.service];
        credit += share.weight;
        total += share.weight;
        if (chosen == nullptr || credit > most) {
            chosen = &share;
            most = credit;
        }
    }
    credits[chosen->service] -= total;
    return chosen->service;
}

balance::Demand Gateway::makeDemand(const catalog::Route &route, unsigned priority,
                                    core::Duration timeout, core::TimePoint now)
{
    balance::Demand demand;
    demand.route = route.name;
    demand.kind = route.kind;
    demand.targetLatency = route.targetLatency;
    demand.priority = priority;
    demand.arrived = now;
    demand.deadline = now + timeout;
    return demand;
}

void Gateway::addWaiter(std::uint64_t request, Waiter waiter)
{
    this->waiters.with([&](auto &all) { all.insert_or_assign(request, std::move(waiter)); });
}

void Gateway::removeWaiter(std::uint64_t request)
{
    // Destroyed outside the lock: a waiter may hold the last reference to its request.
    const auto removed = this->waiters.with([request](auto &all) { return all.extract(request); });
}

void Gateway::wakeWaiters()
{
    const auto woken = this->waiters.with(
            [](auto &all) { return std::exchange(all, std::map<std::uint64_t, Waiter>()); });
    for (const auto &[request, waiter] : woken)
        waiter();
}

void Gateway::stopSending()
{
    this->sendingStopped = true;
    for (const auto &request : this->requests()) {
        request->refuseIfWaiting();
        request->withdraw();
    }
}

// Requests that still wait in the sender for a server that may not get them any more.
void Gateway::withdrawUnusable()
{
    for (const auto &request : this->requests())
        request->withdrawIfUnusable();
}

void Gateway::abandonRequests()
{
    for (const auto &request : this->requests())
        request->abandon();
}

std::vector<std::shared_ptr<ActiveRequest>> Gateway::requests()
{
    return this->activeRequests.with([](const ActiveRequests &all) {
        std::vector<std::shared_ptr<ActiveRequest>> found;
        for (const auto &[number, weak] : all) {
            if (auto request = weak.lock())
                found.push_back(std::move(request));
        }
        return found;
    });
}

std::size_t Gateway::requestsInProgress() const
{
    return this->activeRequests.with([](const ActiveRequests &all) { return all.size(); });
}

std::size_t Gateway::bufferedBytes() const
{
    return this->buffers->used();
}

std::size_t Gateway::requestsAwaitingChange() const
{
    return this->waiters.with([](const auto &all) { return all.size(); });
}

std::size_t Gateway::requestsAwaitingStartup() const
{
    return this->startupWaits.with([](const StartupWaits &waits) { return waits.count(); });
}

} // namespace amaranthdale::gateway
