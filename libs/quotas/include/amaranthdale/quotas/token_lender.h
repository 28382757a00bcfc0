// Lending of tokens by the instance that allocates the quotas of a group of organisations.
#pragma once

#include "amaranthdale/quotas/level_history.h"
#include "amaranthdale/quotas/quota_timing.h"
#include "amaranthdale/quotas/share_ledger.h"
#include "amaranthdale/quotas/token_messages.h"

#include <optional>
#include <unordered_map>

namespace amaranthdale::quotas {

/// Lends tokens of each organisation from a bucket that fills at the rate of the pledged shares.
/// A share brings no tokens from the time before its pledge, and takes its part of the burst with
/// it when it ends; so several lenders together never lend more than one with all shares.
/// Answers the load condition of demand that moves between instances: whoever asks gets what is
/// there. Times are those of `Clock::uptime`. Not thread-safe.
class TokenLender
{
public:
    TokenLender(std::uint64_t lenderId, QuotaTiming quotaTiming);

    /// Replaces the limits. Buckets keep their level up to the new limit.
    void setLimits(const std::unordered_map<OrganisationId, QuotaLimit> &limits);

    /// Answers an ask of `member`. `instances` is the number that the quotas are divided by.
    TokenReply answer(const std::string &member, const TokenAsk &ask, unsigned instances,
                      core::TimePoint now);

    /// Ends all pledges and lends nothing from now on. Members may pledge to others at once.
    void close() { this->closed = true; }

    std::uint64_t tokensLent() const { return this->lentCount; }

private:
    struct Bucket
    {
        QuotaLimit limit;
        double level = 0;
        std::optional<double> shareSeconds; ///< Of the ledger, at the last refill.
        /// Tokens that are returned count only as far as the bucket would have had room for them
        /// all the time.
        LevelHistory history;
        double unmet = 0; ///< Tokens asked for recently that were not lent; decays.
        core::TimePoint unmetAt{};
    };

    void acceptPledge(const std::string &member, const TokenAsk &ask, core::TimePoint now);
    void refill(Bucket &bucket, core::TimePoint now);
    void refillAll(core::TimePoint now);
    double capacity(const Bucket &bucket, double share) const;
    void restore(Bucket &bucket, double returned, core::TimePoint lentAfter, core::TimePoint now);
    ReplyEntry lend(Bucket &bucket, const AskEntry &entry, core::TimePoint now);

    const std::uint64_t id;
    const QuotaTiming timing;
    ShareLedger ledger;
    std::unordered_map<OrganisationId, Bucket> buckets;
    double shareAtRefill = 0; ///< Highest share since the last refill of all buckets.
    std::uint64_t lentCount = 0;
    bool closed = false;
};

} // namespace amaranthdale::quotas
