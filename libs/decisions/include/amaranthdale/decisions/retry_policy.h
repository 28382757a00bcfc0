// Which requests the entry instance may send again, and when it sends a second copy.
#pragma once

#include "amaranthdale/decisions/request.h"

#include <memory>
#include <string_view>
#include <vector>

namespace amaranthdale::decisions {

/// Allows retries and hedges up to one tenth of first attempts. Not thread-safe: the policies of
/// one service share a budget and a random source, so guard them together.
class RetryBudget
{
public:
    /// `burst` is the most extra attempts that can be saved up.
    explicit RetryBudget(unsigned burst = 100);

    void firstAttempt();
    /// Takes one extra attempt out of the budget. False when it is empty.
    bool take();
    /// Returns an attempt that was taken but not sent.
    void giveBack();

private:
    // In units of one first attempt, so that the tenth needs no rounding.
    static constexpr unsigned costOfRetry = 10;

    unsigned maxCredit;
    unsigned credit = 0; // At most maxCredit.
};

/// End of one attempt without a response for the caller.
struct FailedAttempt
{
    RunOutcome outcome = RunOutcome::Unknown;
    core::ErrorKind kind = core::ErrorKind::Unavailable;
    core::Duration retryAfter = {};
    unsigned attempts = 1;        ///< Made so far, this one included.
    unsigned connectionsLost = 0; ///< Of them, ended by ConnectionLost; hedges included.
};

struct RetryDecision
{
    bool again = false;
    core::Duration delay = {};
    std::string_view reason; ///< For reports.
};

/// Decides whether a failed attempt is repeated.
class RetryPolicy
{
public:
    virtual ~RetryPolicy() = default;

    virtual void firstAttempt() = 0;
    virtual RetryDecision decide(const RequestInfo &request, const FailedAttempt &attempt,
                                 core::TimePoint now) = 0;
};

/// Repeats work that certainly never began, and idempotent requests after a lost connection or a
/// timeout, within the deadline and the budget. The delay doubles with each attempt and is
/// jittered.
class BudgetedRetry : public RetryPolicy
{
public:
    /// Both are shared with the hedge policy and must outlive this object.
    BudgetedRetry(RetryBudget &retryBudget, RandomSource &randomSource);

    void firstAttempt() override;
    RetryDecision decide(const RequestInfo &request, const FailedAttempt &attempt,
                         core::TimePoint now) override;

private:
    core::Duration delayFor(const FailedAttempt &attempt);

    RetryBudget &budget;
    RandomSource &random;
};

/// Never repeats.
class NoRetry : public RetryPolicy
{
public:
    void firstAttempt() override { }
    RetryDecision decide(const RequestInfo &, const FailedAttempt &, core::TimePoint) override;
};

/// Quantile over the most recent latencies.
class LatencyQuantile
{
public:
    explicit LatencyQuantile(double quantileShare, std::size_t windowSize = 512);

    void add(core::Duration latency);
    /// Nothing until the window holds enough samples for the quantile to mean something.
    std::optional<core::Duration> value() const;

private:
    void refresh();

    double share;
    std::size_t capacity;
    std::vector<core::Duration> window; // Ring of at most `capacity`.
    std::vector<core::Duration> scratch;
    std::size_t next = 0;
    std::size_t sinceRefresh = 0;
    std::optional<core::Duration> cached;
};

/// Decides whether a second copy of a slow request is sent to another server.
class HedgePolicy
{
public:
    virtual ~HedgePolicy() = default;

    /// Latency of a request whose first attempt was answered, hedged or not.
    virtual void observed(core::Duration latency) = 0;
    /// How long to wait for the first server; nothing when the request is not hedged at all.
    virtual std::optional<core::Duration> delayFor(const RequestInfo &request, bool keyed,
                                                   core::TimePoint now) const = 0;
    /// Called after the delay. True: send the copy; the budget has been charged.
    virtual bool mayHedge() = 0;
};

/// Hedges idempotent requests of services without keys after the observed 95th percentile.
class QuantileHedge : public HedgePolicy
{
public:
    /// The budget must outlive this object.
    explicit QuantileHedge(RetryBudget &retryBudget);

    void observed(core::Duration latency) override;
    std::optional<core::Duration> delayFor(const RequestInfo &request, bool keyed,
                                           core::TimePoint now) const override;
    bool mayHedge() override;

private:
    RetryBudget &budget;
    LatencyQuantile quantile;
};

/// Never hedges.
class NoHedge : public HedgePolicy
{
public:
    void observed(core::Duration) override { }
    std::optional<core::Duration> delayFor(const RequestInfo &, bool,
                                           core::TimePoint) const override;
    bool mayHedge() override { return false; }
};

} // namespace amaranthdale::decisions
