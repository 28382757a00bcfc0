// Choice by expected time to a response.
#include "amaranthdale/balance/service_balancer.h"

#include "estimates.h"

#include <boost/random/uniform_01.hpp>

#include <algorithm>

namespace amaranthdale::balance {

namespace {

using detail::scale;
using detail::Seconds;

// Other data centres are about 1 ms away, but bytes between them are paid for.
constexpr auto remoteCost = std::chrono::milliseconds(4);
constexpr auto remoteDownloadCost = std::chrono::milliseconds(25);

// Part of the estimate that is random, so that instances with the same reports spread out.
constexpr double jitter = 0.15;

// Few instances send to a cold server about once a second or more often each, so that arrivals in
// one second exceed its rate by less than their number. Many send rarely and at random times: with
// this part of the rate, and half of it sent with slots of a pool, one and a half times the rate is
// exceeded in less than one second of a million.
constexpr double evenSenders = 0.65; // Instances for each request/s.
constexpr double sparseWarmupRate = 0.3;

// Retry-After of refusals for lack of capacity; queues of this size clear within it.
constexpr double usedConnections = 0.7;
constexpr unsigned leastConnections = 3;

// A request for a server whose connections are all in use is tried again after this.
constexpr auto connectionWait = std::chrono::milliseconds(20);

constexpr auto capacityRetry = std::chrono::milliseconds(150);
constexpr auto absentRetry = std::chrono::milliseconds(400);

} // namespace

ServiceBalancer::ServiceBalancer(RetryLimits retryLimits, core::DataCentreName ownDataCentre,
                                 std::uint64_t seed)
    : budget(retryLimits, BalancerShare().instances), dataCentre(std::move(ownDataCentre)),
      random(static_cast<std::uint32_t>(seed))
{ }

void ServiceBalancer::setServers(const catalog::BackendServers &usable, core::TimePoint now)
{
    boost::random::uniform_01<double> uniform;
    std::map<core::ServerName, ServerLoad> next;
    for (const catalog::BackendServer &server : usable) {
        const auto known = this->servers.find(server.name);
        const bool same = known != this->servers.end()
                && known->second.server().incarnation == server.incarnation;
        const bool wasCold = same && known->second.isCold(now);
        ServerLoad load = same ? std::move(known->second) : ServerLoad(server);
        load.update(server);
        // All instances learn of a cold server at once; their first requests are spread out.
        if (load.isCold(now) && !wasCold && this->service.warmupRate > 0)
            load.delayWarmup(now + scale(this->warmupInterval(), uniform(this->random)));
        next.emplace(server.name, std::move(load));
    }
    this->servers = std::move(next);
}

void ServiceBalancer::setShare(BalancerShare balancerShare)
{
    this->share = balancerShare;
    this->budget.setInstances(balancerShare.instances);
}

core::Duration ServiceBalancer::usualTime(const Demand &demand) const
{
    return this->times.usual(demand.route, demand.targetLatency);
}

double ServiceBalancer::warmupRate() const
{
    const double rate = this->service.warmupRate;
    const unsigned instances = std::max(1U, this->share.instances);
    return (instances <= evenSenders * rate ? rate : sparseWarmupRate * rate) / instances;
}

core::Duration ServiceBalancer::warmupInterval() const
{
    return std::chrono::duration_cast<core::Duration>(Seconds(1 / this->warmupRate()));
}

// Servers reset connections beyond their limit, which counts all instances, and lower it while
// they are busy.
unsigned ServiceBalancer::connectionShare() const
{
    const double connections =
            usedConnections * this->service.maxConnections / std::max(1U, this->share.instances);
    return std::max(leastConnections, static_cast<unsigned>(connections));
}

ServiceBalancer::Option ServiceBalancer::assess(ServerLoad &load, const Demand &demand,
                                                core::TimePoint now)
{
    Option option;
    option.load = &load;
    option.estimate = load.estimate(this->usualTime(demand), now);
    const double failureCost = load.failureRate(now) * detail::failureCost(demand.kind);
    boost::random::uniform_01<double> uniform;
    option.cost = scale(option.estimate, 1 + jitter * uniform(this->random))
            + scale(demand.targetLatency, failureCost);
    if (load.server().dataCentre != this->dataCentre)
        option.cost += demand.kind == catalog::RequestKind::Download
                ? core::Duration(remoteDownloadCost)
                : core::Duration(remoteCost);
    return option;
}

std::optional<ServiceBalancer::Option> ServiceBalancer::best(const Demand &demand,
                                                             core::TimePoint now, bool trustedOnly)
{
    std::optional<Option> chosen;
    for (auto &[name, load] : this->servers) {
        const bool tried =
                std::find(demand.tried.begin(), demand.tried.end(), name) != demand.tried.end();
        if (tried || load.isTrusted(now) != trustedOnly
            || load.inFlight() >= this->connectionShare()
            || load.nextWarmup(this->warmupRate(), now) > now)
            continue;
        const Option option = this->assess(load, demand, now);
        if (!chosen || option.cost < chosen->cost)
            chosen = option;
    }
    return chosen;
}

Choice ServiceBalancer::choose(const Demand &demand, core::TimePoint now)
{
    if (demand.owner)
        return this->chooseOwner(demand, now);
    auto option = this->best(demand, now, true);
    if (!option)
        option = this->best(demand, now, false);
    if (option)
        return this->accept(*option, demand, now);
    core::TimePoint next = core::TimePoint::max();
    for (auto &[name, load] : this->servers) {
        if (load.isCold(now))
            next = std::min(next, load.nextWarmup(this->warmupRate(), now));
    }
    const bool busy =
            std::any_of(this->servers.begin(), this->servers.end(), [&](const auto &entry) {
                return entry.second.isTrusted(now)
                        && entry.second.inFlight() >= this->connectionShare();
            });
    if (busy)
        return Refuse{capacityRetry, "over-capacity"};
    if (next < now + (demand.deadline - now) / 2)
        return WaitUntil{next};
    return Refuse{absentRetry, this->servers.empty() ? "no-server" : "all-servers-failed"};
}

Choice ServiceBalancer::chooseOwner(const Demand &demand, core::TimePoint now)
{
    const auto found = this->servers.find(*demand.owner);
    if (found == this->servers.end())
        return Refuse{absentRetry, "owner-unusable"};
    ServerLoad &load = found->second;
    if (!load.isTrusted(now))
        return Refuse{absentRetry, "owner-unreachable"};
    const core::TimePoint next = load.nextWarmup(this->warmupRate(), now);
    if (next <= now) {
        const Option option = this->assess(load, demand, now);
        const bool inTime = option.estimate <= demand.deadline - now;
        if (load.inFlight() >= this->connectionShare() && inTime)
            return WaitUntil{now + connectionWait};
        return this->accept(option, demand, now);
    }
    if (next < now + (demand.deadline - now) / 2)
        return WaitUntil{next};
    return Refuse{absentRetry, "owner-cold"};
}

Choice ServiceBalancer::accept(const Option &option, const Demand &demand, core::TimePoint now)
{
    // A response that would come too late is not worth a place in a queue. Less urgent requests
    // give way first.
    constexpr double reservedPerPriority = 0.1;
    const double usable = std::max(0.6, 1 - reservedPerPriority * demand.priority);
    if (option.estimate > scale(demand.deadline - now, usable) && option.load->inFlight() > 0)
        return Refuse{capacityRetry, "over-capacity"};
    option.load->takeWarmup(this->warmupRate(), now);
    option.load->onSent();
    return SendTo{option.load->server()};
}

std::optional<core::ServerName> ServiceBalancer::pick(const Demand &demand, core::TimePoint now)
{
    const auto option = this->best(demand, now, true);
    return option ? std::optional(option->load->server().name) : std::nullopt;
}

void ServiceBalancer::onSent(const core::ServerName &server)
{
    const auto found = this->servers.find(server);
    if (found != this->servers.end())
        found->second.onSent();
}

void ServiceBalancer::onEnd(const core::ServerName &server, const std::string &route,
                            AttemptResult result, core::TimePoint sentAt, core::TimePoint now)
{
    const auto found = this->servers.find(server);
    if (found == this->servers.end())
        return;
    const core::Duration elapsed = now - sentAt;
    const core::Duration usual = this->times.measured(route).value_or(core::Duration::zero());
    found->second.onEnd(result, elapsed, usual, now);
    if (result == AttemptResult::Answered)
        this->times.observe(route, elapsed);
}

void ServiceBalancer::onReport(const core::ServerName &server, const LoadReport &report,
                               core::TimePoint now)
{
    const auto found = this->servers.find(server);
    if (found != this->servers.end())
        found->second.onReport(report, now);
}

double ServiceBalancer::capacity(const core::ServerName &server) const
{
    const auto found = this->servers.find(server);
    return found == this->servers.end() ? 1 : found->second.capacity();
}

} // namespace amaranthdale::balance
