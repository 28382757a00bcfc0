// Retry and hedging policies of the entry instance.
#pragma once

#include "amaranthdale/decisions/request.h"

#include <memory>
#include <string_view>
#include <vector>

namespace amaranthdale::decisions {

/// Limits retries and hedges to one tenth of first attempts. Not thread-safe: the policies of one
/// service share a budget and a random source, so guard them with the same lock.
class RetryBudget
{
public:
    /// `burst` is the maximum number of extra attempts that can accumulate.
    explicit RetryBudget(unsigned burst = 100);

    void firstAttempt();
    /// Takes one extra attempt from the budget. Returns false when none is left.
    bool tryTake();
    /// Puts back an attempt that was taken but not sent.
    void refund();

private:
    // Each first attempt earns a credit of 1, which keeps the ratio of one tenth in integers.
    static constexpr unsigned creditPerRetry = 10;

    unsigned maxCredit;
    unsigned credit = 0; // At most maxCredit.
};

/// An attempt that ended without a response for the caller.
struct FailedAttempt
{
    RunOutcome outcome = RunOutcome::Unknown;
    core::ErrorKind kind = core::ErrorKind::Unavailable;
    core::Duration retryAfter = {};
    unsigned attempts = 1;        ///< Attempts so far, including this one.
    unsigned connectionsLost = 0; ///< Attempts that ended with ConnectionLost, including hedges.
};

struct RetryDecision
{
    bool shouldRetry = false;
    core::Duration delay = {};
    std::string_view reason; ///< Human-readable.
};

/// Decides whether a failed attempt is retried.
class RetryPolicy
{
public:
    virtual ~RetryPolicy() = default;

    virtual void firstAttempt() = 0;
    virtual RetryDecision decide(const RequestInfo &request, const FailedAttempt &attempt,
                                 core::TimePoint now) = 0;
};

/// Retries requests that did not run, and idempotent requests after a lost connection or a timeout,
/// within the deadline and the budget. Uses exponential backoff with jitter.
class BudgetedRetry : public RetryPolicy
{
public:
    /// Both arguments are shared with the hedge policy and must outlive this object.
    BudgetedRetry(RetryBudget &retryBudget, RandomSource &randomSource);

    void firstAttempt() override;
    RetryDecision decide(const RequestInfo &request, const FailedAttempt &attempt,
                         core::TimePoint now) override;

private:
    core::Duration delayFor(const FailedAttempt &attempt);

    RetryBudget &budget;
    RandomSource &random;
};

/// Never retries.
class NoRetry : public RetryPolicy
{
public:
    void firstAttempt() override { }
    RetryDecision decide(const RequestInfo &, const FailedAttempt &, core::TimePoint) override;
};

/// Quantile over a sliding window of latencies.
class LatencyQuantile
{
public:
    explicit LatencyQuantile(double quantileLevel, std::size_t windowSize = 512);

    void add(core::Duration latency);
    /// Nothing until the window holds enough samples for a meaningful quantile.
    std::optional<core::Duration> value() const;

private:
    void refresh();

    double level;
    std::size_t capacity;
    std::vector<core::Duration> window; // Ring buffer of at most `capacity`.
    std::vector<core::Duration> sortBuffer;
    std::size_t next = 0;
    std::size_t samplesSinceRefresh = 0;
    std::optional<core::Duration> cachedQuantile;
};

/// Decides whether a slow request is hedged, that is, also sent to a second server.
class HedgePolicy
{
public:
    virtual ~HedgePolicy() = default;

    /// Records the latency of a request whose first attempt was answered, hedged or not.
    virtual void recordLatency(core::Duration latency) = 0;
    /// How long to wait for the first server before hedging; nothing when the request must not be
    /// hedged.
    virtual std::optional<core::Duration> delayFor(const RequestInfo &request, bool keyed,
                                                   core::TimePoint now) const = 0;
    /// Called after the delay. Returns true when the hedge is to be sent; it has then been charged
    /// to the budget.
    virtual bool tryHedge() = 0;
};

/// Hedges idempotent requests of services without keys after the observed 95th percentile of
/// latency.
class QuantileHedge : public HedgePolicy
{
public:
    /// The budget must outlive this object.
    explicit QuantileHedge(RetryBudget &retryBudget);

    void recordLatency(core::Duration latency) override;
    std::optional<core::Duration> delayFor(const RequestInfo &request, bool keyed,
                                           core::TimePoint now) const override;
    bool tryHedge() override;

private:
    RetryBudget &budget;
    LatencyQuantile quantile;
};

/// Never hedges.
class NoHedge : public HedgePolicy
{
public:
    void recordLatency(core::Duration) override { }
    std::optional<core::Duration> delayFor(const RequestInfo &, bool,
                                           core::TimePoint) const override;
    bool tryHedge() override { return false; }
};

} // namespace amaranthdale::decisions
