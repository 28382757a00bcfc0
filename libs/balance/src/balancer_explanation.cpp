// Explanation of a decision of the balancer, computed on a copy of its state.
#include "amaranthdale/balance/service_balancer.h"

#include <algorithm>

namespace amaranthdale::balance {

BalancerExplanation ServiceBalancer::explain(const Demand &demand, core::TimePoint now,
                                             const core::DataCentreName &fromDataCentre) const
{
    ServiceBalancer copy = *this;
    copy.dataCentre = fromDataCentre;
    BalancerExplanation explanation;
    for (const auto &[name, load] : copy.servers) {
        if (!demand.owner || name == *demand.owner)
            explanation.candidates.push_back(copy.describe(load, demand, now));
    }
    std::stable_sort(explanation.candidates.begin(), explanation.candidates.end(),
                     [](const CandidateTerms &a, const CandidateTerms &b) {
                         if (a.excluded.empty() != b.excluded.empty())
                             return a.excluded.empty();
                         return a.cost() < b.cost();
                     });
    // The copy has the same random numbers, so it decides as the original would.
    explanation.decision = copy.choose(demand, now);
    return explanation;
}

CandidateTerms ServiceBalancer::describe(const ServerLoad &load, const Demand &demand,
                                         core::TimePoint now) const
{
    CandidateTerms terms;
    terms.server = load.server();
    terms.expectedLatency = load.expectedLatency(this->expectedRouteLatency(demand), now);
    terms.failurePenalty = this->failurePenalty(load, demand, now);
    terms.distancePenalty = this->distancePenalty(load, demand);
    terms.requestsAtServer = load.totalInFlight(now);
    terms.failureRate = load.failureRate(now);
    terms.excluded = this->exclusionReason(load, demand, now);
    return terms;
}

std::string ServiceBalancer::exclusionReason(const ServerLoad &load, const Demand &demand,
                                             core::TimePoint now) const
{
    const bool tried = std::find(demand.tried.begin(), demand.tried.end(), load.server().name)
            != demand.tried.end();
    if (tried)
        return "tried";
    if (load.server().leaving && !demand.owner)
        return "leaving";
    if (this->pauseEnd(load, now) > now)
        return "paused";
    if (!load.isAvailable(now))
        return "unreachable";
    if (load.inFlight() >= this->maxInFlightPerServer())
        return "connections-in-use";
    if (load.earliestWarmup(this->warmupRate(), now) > now)
        return "cold";
    return {};
}

} // namespace amaranthdale::balance
