// Tokens of one organisation at one instance, and how many it needs.
#pragma once

#include "amaranthdale/quotas/quota_gate.h"
#include "amaranthdale/quotas/quota_timing.h"

#include <deque>

namespace amaranthdale::quotas {

/// Holds lent tokens until they are used or expire, and estimates the demand. Answers the load
/// condition of an organisation whose callers arrive at this instance at a rate that changes
/// within a second. Times are those of `Clock::uptime`. Not thread-safe.
class TokenHolder
{
public:
    explicit TokenHolder(QuotaTiming quotaTiming) : timing(quotaTiming) { }

    /// Decides about a request. Counts as demand unless undecided.
    QuotaAnswer tryTake(core::TimePoint now);

    /// Takes back a token that was not used.
    void giveBack(const Token &token, core::TimePoint now);

    /// Tokens to ask for, including those for `waiting` requests.
    unsigned missing(unsigned waiting, core::TimePoint now);

    /// Unused tokens of one lender, and the time since the first of them were asked for.
    struct Returns
    {
        unsigned count = 0;
        core::Duration age{};
    };

    /// Removes and returns the oldest unused tokens of `lender` that can still be returned, all of
    /// similar age: the lender treats all like the oldest.
    Returns takeReturns(std::uint64_t lender, core::TimePoint now);

    bool hasReturns(std::uint64_t lender, core::TimePoint now);

    /// Adds tokens that were asked for at `askedAt`. `comeBack` is set if fewer were lent than
    /// wanted.
    void onLent(unsigned count, std::uint64_t lender, core::TimePoint askedAt);
    void onShort(core::Duration comeBack, core::TimePoint now);

    /// True if it needs no attention until the next request.
    bool isIdle(core::TimePoint now);

    /// True if `tryTake` would be undecided.
    bool isUndecided(core::TimePoint now);

    unsigned held(core::TimePoint now);

    /// The lender knows no limit of the organisation; requests pass for `useTime`.
    void onUnlimited(core::TimePoint askedAt);

private:
    struct Batch
    {
        unsigned count = 0;
        std::uint64_t lender = 0;
        core::TimePoint askedAt{};
    };

    void expire(core::TimePoint now);
    void countDemand(core::TimePoint now);
    double recentDemand(core::TimePoint now) const;
    core::Duration spreadComeBack(core::TimePoint now);

    const QuotaTiming timing;
    std::deque<Batch> batches; ///< Usable; ascending by `askedAt`, after those given back.
    std::deque<Batch> expired; ///< To be returned.
    double recentRequests = 0; ///< Decays with `demandPeriod`.
    core::TimePoint demandAt{};
    core::TimePoint dryUntil{}; ///< Until then requests are refused without asking.
    core::TimePoint tokensExpectedAt{};
    core::TimePoint unlimitedUntil{};
    std::uint64_t refusals = 0;
};

} // namespace amaranthdale::quotas
