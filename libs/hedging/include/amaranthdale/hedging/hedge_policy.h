// Decides when a request that waits for a slow response is sent to a second server.
//
// Load addressed: one server of several is slow for a moment, so that a few of its responses take
// several times as long as usual while other servers have free slots. When a whole service is slow
// or short of slots, a hedge only adds load; the policy then stops by itself.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/hedging/hedge_budget.h"
#include "amaranthdale/hedging/latency_quantile.h"

#include <map>
#include <optional>
#include <string>

namespace amaranthdale::hedging {

/// Why a hedge may or may not be sent.
enum class HedgeDecision {
    Granted,
    Paused,     ///< Hedging of the route doesn't help now, or the service is short of slots.
    BudgetUsed, ///< The route's share of hedges is used up.
};

/// Hedging delays, budgets and back-off by route. Not thread-safe.
class HedgePolicy
{
public:
    /// `ratio`: hedges per request, at most 0.1. The delay is the quantile 1 - `ratio`.
    explicit HedgePolicy(double ratio) : hedgeRatio(ratio) { }

    /// Updates the number of instances that the burst of a budget is divided by.
    void setInstances(unsigned instances);

    /// Adds a request that may be hedged to the budget of its route.
    void onRequest(const std::string &route, core::TimePoint now);

    /// How long to wait for a response before a hedge is sent. `latencyRatio` is the usual
    /// latency of the attempt's server relative to an average one. Nothing while the route isn't
    /// hedged.
    std::optional<core::Duration> delay(const std::string &route, double latencyRatio,
                                        core::TimePoint now) const;

    /// Reports a first attempt that has taken longer than the delay.
    void onDelayExceeded(const std::string &route, core::TimePoint now);

    /// Takes the token of a hedge if the route may be hedged now.
    HedgeDecision tryTake(const std::string &route, const core::ServiceName &service,
                          core::TimePoint now);

    /// Reports the latency of the first attempt of a request; when the attempt was cancelled, the
    /// time until then, as its latency would have been at least that. Without these, each hedge
    /// that wins would lower the quantile. `exceededDelay`: `onDelayExceeded` was called for it.
    void onLatency(const std::string &route, core::Duration latency, double latencyRatio,
                   bool exceededDelay, core::TimePoint now);

    /// Reports whether a hedge was answered before the first attempt.
    void onHedgeEnd(const std::string &route, bool won, core::TimePoint now);

    /// Reports that a request to the service was refused for want of slots, or had to wait for one.
    void onShortage(const core::ServiceName &service, core::TimePoint now);

    static constexpr unsigned maxRoutes = 256; ///< Whose state is kept.

private:
    struct RouteState
    {
        explicit RouteState(HedgeBudget hedgeBudget) : budget(hedgeBudget) { }

        HedgeBudget budget;
        LatencyQuantile latencies;
        double exceededShare = 0; ///< Moving average of attempts that took longer than the delay.
        unsigned hedges = 0;      ///< Ended since the last evaluation.
        unsigned wins = 0;        ///< Of `hedges`.
        core::TimePoint pausedUntil{};
        core::Duration nextPause = minPause;
        core::TimePoint usedAt{};
    };

    RouteState &stateOf(const std::string &route, core::TimePoint now);
    bool isShort(const core::ServiceName &service, core::TimePoint now) const;

    // Doubled with each evaluation in a row that finds too few wins.
    static constexpr core::Duration minPause = std::chrono::seconds(5);
    static constexpr core::Duration maxPause = std::chrono::seconds(160);

    double hedgeRatio;
    unsigned instanceCount = 128;             ///< The default applies until it is known.
    std::map<std::string, RouteState> routes; ///< At most `maxRoutes`.
    std::map<core::ServiceName, core::TimePoint> shortUntil;
};

} // namespace amaranthdale::hedging
