// Selects the backend server of a request, or refuses it when no server can answer in time.
#pragma once

#include "amaranthdale/balance/retry_budget.h"
#include "amaranthdale/balance/route_latencies.h"
#include "amaranthdale/balance/route_work.h"
#include "amaranthdale/balance/server_load.h"
#include "amaranthdale/balance/server_pauses.h"
#include "amaranthdale/catalog/catalogue.h"

#include <boost/random/mersenne_twister.hpp>

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace amaranthdale::balance {

/// Properties of a request that decide which server it goes to.
struct Demand
{
    std::string route; ///< Name; response times are averaged by route.
    catalog::RequestKind kind = catalog::RequestKind::Idempotent;
    core::Duration targetLatency{};
    unsigned priority = 0;
    core::TimePoint arrived{};
    core::TimePoint deadline{};
    std::optional<core::ServerName> owner; ///< The only server that may run it.
    std::vector<core::ServerName> tried;   ///< Servers where an earlier attempt failed.
    core::OrganisationName organisation;   ///< Of the caller; empty if callers have none.
    /// Set for a hedge: data centre of the only pool of servers that may run it.
    std::optional<core::DataCentreName> hedgePool;
};

/// Send the request to this server.
struct SendTo
{
    catalog::BackendServer server;
};

/// No server can accept the request yet; choose again at `until`.
struct WaitUntil
{
    core::TimePoint until;
};

/// No server can answer the request in time.
struct Refuse
{
    core::Duration retryAfter{};
    std::string reason; ///< Short constant for logs and metrics.
};

using BalancerDecision = std::variant<SendTo, WaitUntil, Refuse>;

/// A server as a candidate for a request, with the terms of its cost. The lowest cost wins.
struct CandidateTerms
{
    catalog::BackendServer server;
    core::Duration expectedLatency{};
    core::Duration failurePenalty{};
    core::Duration distancePenalty{};
    double requestsAtServer = 0; ///< Of this instance and, as estimated, of others.
    double failureRate = 0;
    std::string excluded; ///< Why it can't be chosen now; empty if it can.

    core::Duration cost() const
    {
        return this->expectedLatency + this->failurePenalty + this->distancePenalty;
    }
};

/// What `ServiceBalancer::choose` would decide now, and its inputs.
struct BalancerExplanation
{
    BalancerDecision decision;
    std::vector<CandidateTerms> candidates; ///< Those that can be chosen first, then by cost.
};

/// Where the second attempt of a request may run.
struct HedgePool
{
    core::DataCentreName dataCentre;
    std::vector<core::ServerName> excluded; ///< Servers of it that may not run the attempt.
};

/// Determines this instance's share of the limits that all instances have in common.
struct BalancerShare
{
    unsigned instances = 128; ///< Instances that send; the default applies until it is known.
};

/// The servers of one service as one instance sees them. Not thread-safe.
class ServiceBalancer
{
public:
    ServiceBalancer(RetryLimits retryLimits, core::DataCentreName ownDataCentre,
                    std::uint64_t seed);

    void setService(const catalog::Service &configured) { this->service = configured; }

    /// Replaces the servers. Those that are leaving serve only requests for keys that they own.
    void setServers(const catalog::BackendServers &usable, core::TimePoint now);
    void setShare(BalancerShare balancerShare);

    /// Adds a request to the retry budget.
    void onRequest() { this->budget.onRequest(); }

    /// Takes one retry from the budget. Returns false if there is none.
    bool tryTakeRetry() { return this->budget.tryTake(); }

    /// Selects a server. A `SendTo` result counts the request as sent.
    BalancerDecision choose(const Demand &demand, core::TimePoint now);

    /// What `choose` would decide for an instance in `fromDataCentre`. Changes nothing.
    BalancerExplanation explain(const Demand &demand, core::TimePoint now,
                                const core::DataCentreName &fromDataCentre) const;

    /// The server that `choose` would prefer, without counting a request; nothing if no available
    /// server can take one now.
    std::optional<core::ServerName> pick(const Demand &demand, core::TimePoint now);

    /// The pool of `primary`, where the first attempt of a request is in progress; nothing if no
    /// other server of it accepts a hedge. Servers in `demand.tried` are excluded.
    std::optional<HedgePool> findHedgePool(const Demand &demand, const core::ServerName &primary,
                                           core::TimePoint now) const;

    /// Whether a server may run a second attempt: warm, neither paused, leaving nor failing, with a
    /// slot that this instance doesn't use, and fast enough.
    bool acceptsHedge(const core::ServerName &server, const Demand &demand,
                      core::TimePoint now) const;

    /// Usual response time of a server relative to an average one; 1 for an unknown server.
    double latencyRatio(const core::ServerName &server) const;

    /// Counts a request that was sent without `choose`.
    void onSent(const core::ServerName &server);

    void onEnd(const core::ServerName &server, const std::string &route, AttemptResult result,
               core::TimePoint sentAt, core::TimePoint now);
    void onReport(const core::ServerName &server, const LoadReport &report, core::TimePoint now);

    /// Sends nothing to a server for `duration`, as it asked for with a refusal. Durations above
    /// `maxPause` count as `maxPause`.
    void pause(const core::ServerName &server, std::uint64_t incarnation, core::Duration duration,
               core::TimePoint now);

    /// False while the server is paused.
    bool accepts(const core::ServerName &server, core::TimePoint now) const;

    /// Names of the servers that are paused.
    std::vector<core::ServerName> paused(core::TimePoint now) const
    {
        return this->pauses.active(now);
    }

    /// Bounds what one malformed refusal costs. A server that still wants no requests then says so
    /// in response to the next one.
    static constexpr core::Duration maxPause = std::chrono::seconds(60);

    /// `RouteWork::relative` of a route.
    double relativeWork(const std::string &route) const { return this->routeWork.relative(route); }

    /// `ServerLoad::capacity` of a server; 1 for an unknown server.
    double capacity(const core::ServerName &server) const;

    std::size_t serverCount() const { return this->servers.size(); }

private:
    struct Candidate
    {
        ServerLoad *load = nullptr;
        core::Duration expectedLatency{};
        core::Duration cost{}; ///< Expected latency plus penalties; the lowest wins.
    };

    core::Duration expectedRouteLatency(const Demand &demand) const;
    core::Duration failurePenalty(const ServerLoad &load, const Demand &demand,
                                  core::TimePoint now) const;
    core::Duration distancePenalty(const ServerLoad &load, const Demand &demand) const;
    CandidateTerms describe(const ServerLoad &load, const Demand &demand,
                            core::TimePoint now) const;
    std::string exclusionReason(const ServerLoad &load, const Demand &demand,
                                core::TimePoint now) const;
    std::optional<Candidate> selectServer(const Demand &demand, core::TimePoint now,
                                          bool wantAvailable);
    Candidate evaluate(ServerLoad &load, const Demand &demand, core::TimePoint now);
    BalancerDecision chooseOwner(const Demand &demand, core::TimePoint now);
    BalancerDecision admit(const Candidate &candidate, const Demand &demand, core::TimePoint now);
    double warmupRate() const;
    core::Duration warmupInterval() const;
    unsigned maxInFlightPerServer() const;
    core::TimePoint pauseEnd(const ServerLoad &load, core::TimePoint now) const;
    bool acceptsHedge(const ServerLoad &load, const Demand &demand, core::TimePoint now) const;

    catalog::Service service;
    RetryBudget budget;
    BalancerShare share;
    core::DataCentreName dataCentre;
    std::map<core::ServerName, ServerLoad> servers;
    ServerPauses pauses;
    RouteLatencies routeLatencies;
    RouteWork routeWork;
    boost::random::mt19937 random;
};

} // namespace amaranthdale::balance
