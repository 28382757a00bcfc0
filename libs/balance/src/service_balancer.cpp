// Server selection by expected latency.
#include "amaranthdale/balance/service_balancer.h"

#include "estimates.h"

#include <boost/random/uniform_01.hpp>

#include <algorithm>

namespace amaranthdale::balance {

namespace {

using detail::scale;
using detail::Seconds;

// Other data centres are about 1 ms away, but traffic between them is charged for.
constexpr auto remoteDataCentrePenalty = std::chrono::milliseconds(4);
constexpr auto remoteDownloadPenalty = std::chrono::milliseconds(25);

// Random share of the cost, so that instances with the same reports choose different servers.
constexpr double jitter = 0.15;

// The instances divide the warm-up rate of a cold server. A few instances each send about once a
// second or more often, so arrivals in one second exceed the rate by less than the number of
// instances. Many instances send rarely and at random times, so they use only a share of the rate:
// together with the half that slot pools use, arrivals exceed 1.5 times the rate in fewer than one
// second in a million.
constexpr double maxSteadyInstancesPerRate = 0.65; // Instances per request/s.
constexpr double sparseWarmupShare = 0.3;

// Share of a server's connection limit that all instances together use.
constexpr double connectionUtilization = 0.7;
constexpr unsigned minInFlightPerServer = 3;

// Delay before the owner of a key is tried again when this instance's share of its connections is
// in use.
constexpr auto connectionRetryDelay = std::chrono::milliseconds(20);

// Retry-After of refusals. The queues that cause `over-capacity` clear within this time.
constexpr auto overCapacityRetryAfter = std::chrono::milliseconds(150);
constexpr auto unavailableRetryAfter = std::chrono::milliseconds(400);

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
        // All instances learn of a cold server at the same time; spread out their first requests.
        if (load.isCold(now) && !wasCold && this->service.warmupRate > 0)
            load.setWarmupStart(now + scale(this->warmupInterval(), uniform(this->random)));
        next.emplace(server.name, std::move(load));
    }
    this->servers = std::move(next);
}

void ServiceBalancer::setShare(BalancerShare balancerShare)
{
    this->share = balancerShare;
    this->budget.setInstances(balancerShare.instances);
}

core::Duration ServiceBalancer::expectedRouteLatency(const Demand &demand) const
{
    return this->routeLatencies.averageOrDefault(demand.route, demand.targetLatency);
}

double ServiceBalancer::warmupRate() const
{
    const double rate = this->service.warmupRate;
    const unsigned instances = std::max(1U, this->share.instances);
    return (instances <= maxSteadyInstancesPerRate * rate ? rate : sparseWarmupShare * rate)
            / instances;
}

core::Duration ServiceBalancer::warmupInterval() const
{
    return std::chrono::duration_cast<core::Duration>(Seconds(1 / this->warmupRate()));
}

// Servers reset connections beyond their limit. The limit counts the connections of all instances,
// and servers lower it while they are busy.
unsigned ServiceBalancer::maxInFlightPerServer() const
{
    const double connections = connectionUtilization * this->service.maxConnections
            / std::max(1U, this->share.instances);
    return std::max(minInFlightPerServer, static_cast<unsigned>(connections));
}

ServiceBalancer::Candidate ServiceBalancer::evaluate(ServerLoad &load, const Demand &demand,
                                                     core::TimePoint now)
{
    Candidate candidate;
    candidate.load = &load;
    candidate.expectedLatency = load.expectedLatency(this->expectedRouteLatency(demand), now);
    boost::random::uniform_01<double> uniform;
    candidate.cost = scale(candidate.expectedLatency, 1 + jitter * uniform(this->random))
            + this->failurePenalty(load, demand, now) + this->distancePenalty(load, demand);
    return candidate;
}

core::Duration ServiceBalancer::failurePenalty(const ServerLoad &load, const Demand &demand,
                                               core::TimePoint now) const
{
    return scale(demand.targetLatency, load.failureRate(now) * detail::failureCost(demand.kind));
}

core::Duration ServiceBalancer::distancePenalty(const ServerLoad &load, const Demand &demand) const
{
    if (load.server().dataCentre == this->dataCentre)
        return core::Duration::zero();
    return demand.kind == catalog::RequestKind::Download ? core::Duration(remoteDownloadPenalty)
                                                         : core::Duration(remoteDataCentrePenalty);
}

std::optional<ServiceBalancer::Candidate> ServiceBalancer::selectServer(const Demand &demand,
                                                                        core::TimePoint now,
                                                                        bool wantAvailable)
{
    std::optional<Candidate> best;
    for (auto &[name, load] : this->servers) {
        const bool tried =
                std::find(demand.tried.begin(), demand.tried.end(), name) != demand.tried.end();
        if (tried || load.server().leaving || load.isAvailable(now) != wantAvailable
            || load.inFlight() >= this->maxInFlightPerServer() || this->pauseEnd(load, now) > now
            || load.earliestWarmup(this->warmupRate(), now) > now)
            continue;
        const Candidate candidate = this->evaluate(load, demand, now);
        if (!best || candidate.cost < best->cost)
            best = candidate;
    }
    return best;
}

BalancerDecision ServiceBalancer::choose(const Demand &demand, core::TimePoint now)
{
    if (demand.owner)
        return this->chooseOwner(demand, now);
    auto candidate = this->selectServer(demand, now, true);
    if (!candidate)
        candidate = this->selectServer(demand, now, false);
    if (candidate)
        return this->admit(*candidate, demand, now);
    core::TimePoint next = core::TimePoint::max();
    bool allPaused = !this->servers.empty();
    for (auto &[name, load] : this->servers) {
        const core::TimePoint resumption = this->pauseEnd(load, now);
        allPaused = allPaused && resumption > now;
        // A cold server may be excluded for another reason, such as an earlier attempt. Waiting for
        // it until now would repeat this decision without end.
        const core::TimePoint ready =
                std::max(resumption, load.earliestWarmup(this->warmupRate(), now));
        if (ready > now)
            next = std::min(next, ready);
    }
    const bool busy =
            std::any_of(this->servers.begin(), this->servers.end(), [&](const auto &entry) {
                return entry.second.isAvailable(now)
                        && entry.second.inFlight() >= this->maxInFlightPerServer();
            });
    if (busy)
        return Refuse{overCapacityRetryAfter, "over-capacity"};
    if (next < now + (demand.deadline - now) / 2)
        return WaitUntil{next};
    if (allPaused)
        return Refuse{next - now, "servers-paused"};
    return Refuse{unavailableRetryAfter,
                  this->servers.empty() ? "no-server" : "all-servers-failed"};
}

BalancerDecision ServiceBalancer::chooseOwner(const Demand &demand, core::TimePoint now)
{
    const auto found = this->servers.find(*demand.owner);
    if (found == this->servers.end())
        return Refuse{unavailableRetryAfter, "owner-unusable"};
    ServerLoad &load = found->second;
    if (!load.isAvailable(now))
        return Refuse{unavailableRetryAfter, "owner-unreachable"};
    const core::TimePoint resumption = this->pauseEnd(load, now);
    const core::TimePoint next = std::max(resumption, load.earliestWarmup(this->warmupRate(), now));
    if (next <= now) {
        const Candidate candidate = this->evaluate(load, demand, now);
        const bool inTime = candidate.expectedLatency <= demand.deadline - now;
        if (load.inFlight() >= this->maxInFlightPerServer() && inTime)
            return WaitUntil{now + connectionRetryDelay};
        return this->admit(candidate, demand, now);
    }
    if (next < now + (demand.deadline - now) / 2)
        return WaitUntil{next};
    if (resumption > now)
        return Refuse{resumption - now, "owner-paused"};
    return Refuse{unavailableRetryAfter, "owner-cold"};
}

BalancerDecision ServiceBalancer::admit(const Candidate &candidate, const Demand &demand,
                                        core::TimePoint now)
{
    // Don't queue a request whose response would be late. Each priority level leaves 10% more of
    // the time unused, so less urgent requests are refused first.
    constexpr double reservedTimePerPriority = 0.1;
    const double usable = std::max(0.6, 1 - reservedTimePerPriority * demand.priority);
    if (candidate.expectedLatency > scale(demand.deadline - now, usable)
        && candidate.load->inFlight() > 0)
        return Refuse{overCapacityRetryAfter, "over-capacity"};
    candidate.load->tryTakeWarmup(this->warmupRate(), now);
    candidate.load->onSent();
    return SendTo{candidate.load->server()};
}

std::optional<core::ServerName> ServiceBalancer::pick(const Demand &demand, core::TimePoint now)
{
    const auto candidate = this->selectServer(demand, now, true);
    return candidate ? std::optional(candidate->load->server().name) : std::nullopt;
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
    const core::Duration routeLatency =
            this->routeLatencies.average(route).value_or(core::Duration::zero());
    found->second.onEnd(result, elapsed, routeLatency, now);
    if (result == AttemptResult::Answered) {
        this->routeLatencies.observe(route, elapsed);
        this->routeWork.observe(route, elapsed);
    }
}

void ServiceBalancer::onReport(const core::ServerName &server, const LoadReport &report,
                               core::TimePoint now)
{
    const auto found = this->servers.find(server);
    if (found != this->servers.end())
        found->second.onReport(report, now);
}

void ServiceBalancer::pause(const core::ServerName &server, std::uint64_t incarnation,
                            core::Duration duration, core::TimePoint now)
{
    this->pauses.pause(server, incarnation, now + std::min(duration, maxPause), now);
}

bool ServiceBalancer::accepts(const core::ServerName &server, core::TimePoint now) const
{
    const auto found = this->servers.find(server);
    const core::TimePoint end = found == this->servers.end()
            ? this->pauses.end(server, std::nullopt, now)
            : this->pauseEnd(found->second, now);
    return end <= now;
}

core::TimePoint ServiceBalancer::pauseEnd(const ServerLoad &load, core::TimePoint now) const
{
    return this->pauses.end(load.server().name, load.server().incarnation, now);
}

double ServiceBalancer::capacity(const core::ServerName &server) const
{
    const auto found = this->servers.find(server);
    return found == this->servers.end() ? 1 : found->second.capacity();
}

} // namespace amaranthdale::balance
