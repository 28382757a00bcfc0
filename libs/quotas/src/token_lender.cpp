// Buckets of one lender.
#include "amaranthdale/quotas/token_lender.h"

#include <algorithm>
#include <cmath>

namespace amaranthdale::quotas {

namespace {

using Seconds = std::chrono::duration<double>;

// What all new processes together bring at their first pledge, so that the first requests after a
// start find tokens: a part of what the limit allows beyond rate and burst.
constexpr double startTokens = 10;
constexpr double startBurstShare = 0.1;

// Least capacity of a bucket with all shares, so that a small organisation's requests may come in
// pairs. With `startTokens` it stays below the 20 requests that the limit allows besides.
constexpr double leastCapacity = 4;

// Instances ask again after some 100 ms while they are short of tokens.
constexpr Seconds unmetRetention = std::chrono::milliseconds(100);

// A stamp holds the time in milliseconds and the duration of the pledge that it was sent with,
// which may have changed since.
constexpr unsigned pledgeTimeBits = 16;
constexpr std::uint64_t pledgeTimeMask = (1U << pledgeTimeBits) - 1;

std::uint64_t makeStamp(core::TimePoint now, core::Duration pledgeTime)
{
    using std::chrono::milliseconds;
    const auto time = std::chrono::floor<milliseconds>(now.time_since_epoch()).count();
    const auto valid = std::chrono::floor<milliseconds>(pledgeTime).count();
    return static_cast<std::uint64_t>(time) << pledgeTimeBits | static_cast<std::uint64_t>(valid);
}

core::TimePoint stampTime(std::uint64_t stamp)
{
    return core::TimePoint(std::chrono::milliseconds(stamp >> pledgeTimeBits));
}

core::TimePoint pledgeEnd(std::uint64_t stamp)
{
    return stampTime(stamp) + std::chrono::milliseconds(stamp & pledgeTimeMask);
}

} // namespace

TokenLender::TokenLender(std::uint64_t lenderId, QuotaTiming quotaTiming)
    : id(lenderId), timing(quotaTiming)
{ }

void TokenLender::setLimits(const std::unordered_map<OrganisationId, QuotaLimit> &limits)
{
    std::erase_if(this->buckets, [&](const auto &item) { return !limits.contains(item.first); });
    for (const auto &[organisation, limit] : limits)
        this->buckets[organisation].limit = limit;
}

TokenReply TokenLender::answer(const std::string &member, const TokenAsk &ask, unsigned instances,
                               core::TimePoint now)
{
    TokenReply reply;
    reply.group = ask.group;
    reply.sequence = ask.sequence;
    reply.lender = this->id;
    if (this->closed)
        return reply;
    reply.pledgeTime = pledgeTimeFor(instances);
    reply.stamp = makeStamp(now, reply.pledgeTime);
    this->ledger.setInstances(instances, now);
    this->acceptPledge(member, ask, now);
    for (const AskEntry &entry : ask.entries) {
        const auto found = this->buckets.find(entry.organisation);
        if (found == this->buckets.end())
            reply.entries.push_back({entry.organisation, entry.want, false, {}});
        else
            reply.entries.push_back(this->lend(found->second, entry, now));
    }
    return reply;
}

// The pledge counts from the stamp, not from the arrival of the ask, which may have been delayed.
void TokenLender::acceptPledge(const std::string &member, const TokenAsk &ask, core::TimePoint now)
{
    // Shares that ended take their part of the burst with them before others take their place.
    const double share = this->ledger.share(now);
    if (share < this->shareAtRefill)
        this->refillAll(now);
    if (ask.lender != this->id || stampTime(ask.stamp) > now)
        return;
    if (!this->ledger.pledge(member, ask.sequence, pledgeEnd(ask.stamp), now))
        return;
    this->shareAtRefill = this->ledger.share(now);
    if (ask.firstPledge) {
        this->refillAll(now);
        for (auto &[organisation, bucket] : this->buckets)
            bucket.level += (startTokens + startBurstShare * bucket.limit.burst)
                    * this->ledger.sharePerInstance();
    }
    if (now - stampTime(ask.stamp) > this->timing.maxReturnDelay)
        return;
    for (const AskEntry &entry : ask.entries) {
        const auto found = this->buckets.find(entry.organisation);
        if (entry.returned == 0 || entry.returnedAge > this->timing.returnTime
            || found == this->buckets.end())
            continue;
        // The holder sent the ask after the stamp was made, and had asked for the tokens at most
        // this long before.
        const core::TimePoint lentAfter = stampTime(ask.stamp) - entry.returnedAge;
        this->restore(found->second, entry.returned, lentAfter, now);
    }
}

void TokenLender::refillAll(core::TimePoint now)
{
    for (auto &[organisation, bucket] : this->buckets)
        this->refill(bucket, now);
    this->shareAtRefill = this->ledger.share(now);
}

double TokenLender::capacity(const Bucket &bucket, double share) const
{
    const double inBucketTime =
            bucket.limit.ratePerSecond * share * Seconds(this->timing.bucketTime).count();
    return std::max({bucket.limit.burst * share, 1 + inBucketTime, leastCapacity * share});
}

void TokenLender::refill(Bucket &bucket, core::TimePoint now)
{
    const double share = this->ledger.share(now);
    const double integratedShare = this->ledger.shareSeconds(now);
    // Time before the limit was known fills no bucket.
    const double accrued = integratedShare - bucket.shareSeconds.value_or(integratedShare);
    bucket.shareSeconds = integratedShare;
    bucket.level = std::min(bucket.level + bucket.limit.ratePerSecond * accrued,
                            this->capacity(bucket, share));
    bucket.history.note(bucket.level, now);
}

// Had the tokens never been lent, the level would have been higher by them since, up to the
// capacity. What would have overflowed is lost.
void TokenLender::restore(Bucket &bucket, double returned, core::TimePoint lentAfter,
                          core::TimePoint now)
{
    this->refill(bucket, now);
    const double room = this->capacity(bucket, this->ledger.share(now))
            - bucket.history.highestSince(lentAfter);
    const double restored = std::min(returned, std::max(0.0, room));
    bucket.level += restored;
    bucket.history.raiseSince(lentAfter, restored);
}

ReplyEntry TokenLender::lend(Bucket &bucket, const AskEntry &entry, core::TimePoint now)
{
    this->refill(bucket, now);
    const double lent = std::floor(std::min<double>(entry.want, std::max(0.0, bucket.level)));
    bucket.level -= lent;
    this->lentCount += static_cast<std::uint64_t>(lent);
    bucket.unmet *= std::exp(-Seconds(now - bucket.unmetAt) / unmetRetention);
    bucket.unmetAt = now;
    bucket.unmet += entry.want - lent;
    ReplyEntry reply{entry.organisation, static_cast<std::uint16_t>(lent), true, {}};
    if (lent == entry.want)
        return reply;
    const double rate = bucket.limit.ratePerSecond * this->ledger.share(now);
    const Seconds longest = this->timing.maxComeBack;
    const double missing = std::max(1.0, bucket.unmet) - bucket.level;
    const Seconds time = rate > 0 ? std::min(longest, Seconds(missing / rate)) : longest;
    reply.comeBack = std::chrono::duration_cast<core::Duration>(time);
    return reply;
}

} // namespace amaranthdale::quotas
