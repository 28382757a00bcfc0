// Chooses the backend server of a request, or refuses it when none can answer in time.
#pragma once

#include "amaranthdale/balance/retry_budget.h"
#include "amaranthdale/balance/route_times.h"
#include "amaranthdale/balance/server_load.h"
#include "amaranthdale/catalog/catalogue.h"

#include <boost/random/mersenne_twister.hpp>

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace amaranthdale::balance {

/// What a request needs from a server.
struct Demand
{
    std::string route; ///< Requests of one route take about the same time.
    catalog::RequestKind kind = catalog::RequestKind::Idempotent;
    core::Duration targetLatency{};
    unsigned priority = 0;
    core::TimePoint arrived{};
    core::TimePoint deadline{};
    std::optional<core::ServerName> owner; ///< The only server that may run it.
    std::vector<core::ServerName> tried;   ///< Servers that failed it.
};

/// The request goes to this server.
struct SendTo
{
    catalog::BackendServer server;
};

/// No server can take it yet; ask again at `until`.
struct WaitUntil
{
    core::TimePoint until;
};

/// No server can answer it in time.
struct Refuse
{
    core::Duration retryAfter{};
    std::string reason; ///< A short constant for logs and metrics.
};

using Choice = std::variant<SendTo, WaitUntil, Refuse>;

/// Bounds that all instances share, as this instance's part of them.
struct BalancerShare
{
    unsigned instances = 128; ///< Instances that may send; the default is used until it is known.
};

/// The servers of one service as one instance sees them. Not thread-safe.
class ServiceBalancer
{
public:
    ServiceBalancer(RetryLimits retryLimits, core::DataCentreName ownDataCentre,
                    std::uint64_t seed);

    void setService(const catalog::Service &configured) { this->service = configured; }
    void setServers(const catalog::BackendServers &usable, core::TimePoint now);
    void setShare(BalancerShare balancerShare);

    /// Counts a request for the retry budget.
    void onRequest() { this->budget.onRequest(); }

    /// Takes one repeat of the budget.
    bool takeRetry() { return this->budget.take(); }

    /// Chooses, and on SendTo counts the request as sent.
    Choice choose(const Demand &demand, core::TimePoint now);

    /// The server that `choose` would prefer, without counting a request; nothing when it would
    /// wait or refuse.
    std::optional<core::ServerName> pick(const Demand &demand, core::TimePoint now);

    /// Counts a request that was sent by another decision than `choose`.
    void onSent(const core::ServerName &server);

    void onEnd(const core::ServerName &server, const std::string &route, AttemptResult result,
               core::TimePoint sentAt, core::TimePoint now);
    void onReport(const core::ServerName &server, const LoadReport &report, core::TimePoint now);

    /// Capacity of a server relative to others; 1 when it is not known.
    double capacity(const core::ServerName &server) const;

    std::size_t serverCount() const { return this->servers.size(); }

private:
    struct Option
    {
        ServerLoad *load = nullptr;
        core::Duration estimate{};
        core::Duration cost{}; ///< Estimate and penalties.
    };

    core::Duration usualTime(const Demand &demand) const;
    std::optional<Option> best(const Demand &demand, core::TimePoint now, bool trustedOnly);
    Option assess(ServerLoad &load, const Demand &demand, core::TimePoint now);
    Choice chooseOwner(const Demand &demand, core::TimePoint now);
    Choice accept(const Option &option, const Demand &demand, core::TimePoint now);
    double warmupRate() const;
    core::Duration warmupInterval() const;
    unsigned connectionShare() const;

    catalog::Service service;
    RetryBudget budget;
    BalancerShare share;
    core::DataCentreName dataCentre;
    std::map<core::ServerName, ServerLoad> servers;
    RouteTimes times;
    boost::random::mt19937 random;
};

} // namespace amaranthdale::balance
