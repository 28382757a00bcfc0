// Explains requests with copies of the decision state.
#include "amaranthdale/gateway/explanation.h"

#include "amaranthdale/gateway/gateway.h"

#include "request_outcome.h"

#include <algorithm>

namespace amaranthdale::gateway {

using namespace detail;

Explanation Gateway::explain(const RequestDescription &description) const
{
    Explanation explanation;
    const Configuration current = this->currentConfiguration();
    if (!current.routes) {
        explanation.error = ExplanationError::NoConfiguration;
        return explanation;
    }
    explanation.configurationVersion = current.routes->version();
    explanation.configurationAge = this->configurationAge.age(this->clock.uptime());
    const catalog::Route *route = current.routes->find(description.host, description.path);
    if (route == nullptr) {
        explanation.error = ExplanationError::NoRoute;
        return explanation;
    }
    explanation.route = route->name;
    explanation.kind = route->kind;
    explanation.isPublic = route->isPublic;
    explanation.priority = route->priority;
    explanation.shares = route->shares;
    this->explainCaller(description, current, explanation);
    if (explanation.error != ExplanationError::None)
        return explanation;
    this->explainChoice(description, current, *route, explanation);
    return explanation;
}

void Gateway::explainCaller(const RequestDescription &description, const Configuration &current,
                            Explanation &explanation) const
{
    const auto &organisations = current.routes->organisations();
    if (!organisations || explanation.isPublic)
        return;
    if (!this->configurationAge.isCurrent(this->clock.uptime())) {
        explanation.refusal = balance::Refuse{outdatedRetryAfter, "configuration-outdated"};
        return;
    }
    if (!description.organisation) {
        explanation.refusal = balance::Refuse{core::Duration::zero(), "key-missing"};
        return;
    }
    const auto found = std::find_if(organisations->begin(), organisations->end(),
                                    [&](const catalog::Organisation &organisation) {
                                        return organisation.name == *description.organisation;
                                    });
    if (found == organisations->end()) {
        explanation.error = ExplanationError::UnknownOrganisation;
        return;
    }
    explanation.priority = found->priority.value_or(explanation.priority);
}

void Gateway::explainChoice(const RequestDescription &description, const Configuration &current,
                            const catalog::Route &route, Explanation &explanation) const
{
    const core::TimePoint now = this->clock.now();
    auto credits = this->weightCredits.with([](const auto &all) { return all; });
    explanation.service = chooseService(route, credits);
    const catalog::Service *service = current.routes->service(explanation.service);
    explanation.keyed = service != nullptr && service->keyed;
    const core::Duration timeout =
            std::min(description.timeout.value_or(this->limits.defaultTimeout), route.timeout);
    explanation.timeLeft = timeout;
    balance::Demand demand = makeDemand(route, explanation.priority, timeout, now);
    if (explanation.keyed && description.key) {
        this->explainOwner(*description.key, explanation);
        if (!explanation.owner || !explanation.owner->usable) {
            if (!explanation.refusal)
                explanation.refusal = balance::Refuse{ownerRetryAfter, "no-owner"};
            return;
        }
        demand.owner = explanation.owner->range.owner.name;
    }
    const core::DataCentreName from = description.dataCentre.value_or(this->limits.dataCentre);
    explanation.choice = this->balancers.with([&](auto &all) {
        return this->balancerFor(all, explanation.service).explain(demand, now, from);
    });
}

void Gateway::explainOwner(keyspace::Key key, Explanation &explanation) const
{
    const auto [assignment, logEnd] = this->ownership.with([&](const auto &services) {
        const auto found = services.find(explanation.service);
        return found == services.end()
                ? std::pair<std::shared_ptr<const keyspace::Assignment>, std::uint64_t>()
                : std::pair(found->second.assignment, found->second.assignmentLogEnd);
    });
    const keyspace::OwnedRange *range = assignment ? assignment->find(key) : nullptr;
    explanation.assignmentLogEnd = logEnd;
    if (range == nullptr || range->owner.name.empty())
        return;
    const bool usable = this->findOwner(explanation.service, key).has_value();
    explanation.owner = ExplainedOwner{*range, usable};
}

} // namespace amaranthdale::gateway
