// Hedging delays, budgets and back-off.
#include "amaranthdale/hedging/hedge_policy.h"

#include <algorithm>

namespace amaranthdale::hedging {

namespace {

// Hedges that all instances together may send at once for one route.
constexpr double hedgeBurst = 40;

// Servers differ in speed by these factors. One that is slower at the moment is a straggler, whose
// latency must not become its usual one.
constexpr double minLatencyRatio = 0.5;
constexpr double maxLatencyRatio = 1.6;

// Responses on the network alone take about 2 ms.
constexpr core::Duration minDelay = std::chrono::milliseconds(2);

// A fifth of the servers may be stragglers at a time. If clearly more attempts than that exceed the
// delay, the service itself is slow.
constexpr double maxExceededShare = 0.35;
constexpr double exceededWeight = 0.05; // Of one attempt in the moving average.

// Below this share of hedges that win, they aren't worth their load. With one of seven servers
// slow, 0.25 paused hedging for most of the time, and the 99.9th percentile was a fifth higher
// (benchmarks/hedging.cpp).
constexpr double minWinShare = 0.1;
constexpr unsigned hedgesPerEvaluation = 20;

constexpr core::Duration shortageTime = std::chrono::seconds(1);
constexpr std::size_t maxShortages = 256;

double clampLatencyRatio(double latencyRatio)
{
    return std::clamp(latencyRatio, minLatencyRatio, maxLatencyRatio);
}

core::Duration scale(core::Duration duration, double factor)
{
    return std::chrono::duration_cast<core::Duration>(duration * factor);
}

} // namespace

void HedgePolicy::setInstances(unsigned instances)
{
    this->instanceCount = instances;
    for (auto &[name, state] : this->routes)
        state.budget.setInstances(instances);
}

// Routes follow the configuration, which may change without end.
HedgePolicy::RouteState &HedgePolicy::stateOf(const std::string &route, core::TimePoint now)
{
    auto found = this->routes.find(route);
    if (found == this->routes.end()) {
        if (this->routes.size() >= maxRoutes)
            this->routes.erase(std::min_element(this->routes.begin(), this->routes.end(),
                                                [](const auto &left, const auto &right) {
                                                    return left.second.usedAt < right.second.usedAt;
                                                }));
        const HedgeBudget budget(this->hedgeRatio, hedgeBurst, this->instanceCount);
        found = this->routes.emplace(route, RouteState(budget)).first;
    }
    found->second.usedAt = now;
    return found->second;
}

void HedgePolicy::onRequest(const std::string &route, core::TimePoint now)
{
    this->stateOf(route, now).budget.onRequest();
}

std::optional<core::Duration> HedgePolicy::delay(const std::string &route, double latencyRatio,
                                                 core::TimePoint now) const
{
    const auto found = this->routes.find(route);
    if (found == this->routes.end())
        return std::nullopt;
    const auto quantile = found->second.latencies.quantile(1 - this->hedgeRatio, now);
    if (!quantile)
        return std::nullopt;
    return std::max(minDelay, scale(*quantile, clampLatencyRatio(latencyRatio)));
}

void HedgePolicy::onDelayExceeded(const std::string &route, core::TimePoint now)
{
    RouteState &state = this->stateOf(route, now);
    state.exceededShare += exceededWeight * (1 - state.exceededShare);
}

HedgeDecision HedgePolicy::tryTake(const std::string &route, const core::ServiceName &service,
                                   core::TimePoint now)
{
    RouteState &state = this->stateOf(route, now);
    if (now < state.pausedUntil || state.exceededShare > maxExceededShare
        || this->isShort(service, now))
        return HedgeDecision::Paused;
    return state.budget.tryTake() ? HedgeDecision::Granted : HedgeDecision::BudgetUsed;
}

void HedgePolicy::onLatency(const std::string &route, core::Duration latency, double latencyRatio,
                            bool exceededDelay, core::TimePoint now)
{
    RouteState &state = this->stateOf(route, now);
    if (!exceededDelay)
        state.exceededShare -= exceededWeight * state.exceededShare;
    state.latencies.observe(scale(latency, 1 / clampLatencyRatio(latencyRatio)), now);
}

void HedgePolicy::onHedgeEnd(const std::string &route, bool won, core::TimePoint now)
{
    RouteState &state = this->stateOf(route, now);
    ++state.hedges;
    state.wins += won;
    if (state.hedges < hedgesPerEvaluation)
        return;
    if (state.wins < minWinShare * state.hedges) {
        state.pausedUntil = now + state.nextPause;
        state.nextPause = std::min(maxPause, 2 * state.nextPause);
    } else {
        state.nextPause = minPause;
    }
    state.hedges = 0;
    state.wins = 0;
}

void HedgePolicy::onShortage(const core::ServiceName &service, core::TimePoint now)
{
    if (this->shortUntil.size() >= maxShortages)
        std::erase_if(this->shortUntil, [now](const auto &entry) { return entry.second <= now; });
    if (this->shortUntil.size() < maxShortages || this->shortUntil.contains(service))
        this->shortUntil[service] = now + shortageTime;
}

bool HedgePolicy::isShort(const core::ServiceName &service, core::TimePoint now) const
{
    const auto found = this->shortUntil.find(service);
    return found != this->shortUntil.end() && now < found->second;
}

} // namespace amaranthdale::hedging
