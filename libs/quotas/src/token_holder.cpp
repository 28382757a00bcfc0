// Use, expiry and return of tokens, and the estimate of demand.
#include "amaranthdale/quotas/token_holder.h"

#include <algorithm>
#include <cmath>

namespace amaranthdale::quotas {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Seconds demandPeriod = std::chrono::milliseconds(300);

// Tokens are held for this much of the estimated demand. Less than `useTime`, so that few expire.
constexpr Seconds heldDemand = std::chrono::milliseconds(200);

// Less demand than this is asked for with each request: tokens would expire before their use.
constexpr double leastHeld = 1.5;

constexpr unsigned maxAsked = 2000; // Several times the demand of the largest organisation.

constexpr auto similarAge = std::chrono::milliseconds(200);

// Refused callers return over a period that begins when a token is expected, and is this long at
// least.
constexpr auto leastSpread = std::chrono::milliseconds(100);

// Multiples of the golden ratio fill an interval evenly whatever their number.
constexpr double goldenRatio = 0.6180339887498949;

} // namespace

QuotaAnswer TokenHolder::tryTake(core::TimePoint now)
{
    if (this->isUndecided(now))
        return {QuotaAnswer::Kind::Undecided, {}, this->spreadComeBack(now)};
    this->countDemand(now);
    if (now < this->unlimitedUntil)
        return {};
    if (this->batches.empty())
        return {QuotaAnswer::Kind::Refused, {}, this->spreadComeBack(now)};
    Batch &oldest = this->batches.front();
    const Token token{oldest.askedAt + this->timing.sendTime, oldest.lender};
    if (--oldest.count == 0)
        this->batches.pop_front();
    return {QuotaAnswer::Kind::Granted, token, {}};
}

bool TokenHolder::isUndecided(core::TimePoint now)
{
    this->expire(now);
    return now >= this->unlimitedUntil && this->batches.empty() && now >= this->dryUntil;
}

bool TokenHolder::isIdle(core::TimePoint now)
{
    constexpr double negligible = 0.01;
    this->expire(now);
    return this->batches.empty() && this->expired.empty() && this->recentDemand(now) < negligible;
}

unsigned TokenHolder::held(core::TimePoint now)
{
    this->expire(now);
    unsigned count = 0;
    for (const Batch &batch : this->batches)
        count += batch.count;
    return count;
}

double TokenHolder::recentDemand(core::TimePoint now) const
{
    return this->recentRequests * std::exp(-Seconds(now - this->demandAt) / demandPeriod);
}

void TokenHolder::giveBack(const Token &token, core::TimePoint now)
{
    if (token.lender == 0)
        return;
    this->recentRequests = std::max(0.0, this->recentDemand(now) - 1);
    this->demandAt = now;
    const Batch batch{1, token.lender, token.sendUntil - this->timing.sendTime};
    if (now >= batch.askedAt + this->timing.useTime)
        this->expired.push_back(batch);
    else
        this->batches.push_front(batch);
}

unsigned TokenHolder::missing(unsigned waiting, core::TimePoint now)
{
    const unsigned count = this->held(now);
    if (now < this->unlimitedUntil || now < this->dryUntil)
        return 0;
    const double needed = this->recentDemand(now) * (heldDemand / demandPeriod);
    const unsigned target = needed < leastHeld ? 0 : static_cast<unsigned>(std::ceil(needed));
    // Asking for single tokens would cost a message for each request.
    if (waiting == 0 && 2 * count > target)
        return 0;
    const unsigned wanted = std::min(maxAsked, target + waiting);
    return wanted - std::min(wanted, count);
}

TokenHolder::Returns TokenHolder::takeReturns(std::uint64_t lender, core::TimePoint now)
{
    this->expire(now);
    std::erase_if(this->expired, [&](const Batch &batch) { return batch.lender != lender; });
    const auto oldest = std::min_element(
            this->expired.begin(), this->expired.end(),
            [](const Batch &left, const Batch &right) { return left.askedAt < right.askedAt; });
    if (oldest == this->expired.end())
        return {};
    Returns returns{0, now - oldest->askedAt};
    std::erase_if(this->expired, [&, first = oldest->askedAt](const Batch &batch) {
        if (batch.askedAt - first > similarAge || returns.count + batch.count > maxAsked)
            return false;
        returns.count += batch.count;
        return true;
    });
    return returns;
}

bool TokenHolder::hasReturns(std::uint64_t lender, core::TimePoint now)
{
    this->expire(now);
    return std::any_of(this->expired.begin(), this->expired.end(),
                       [&](const Batch &batch) { return batch.lender == lender; });
}

void TokenHolder::onLent(unsigned count, std::uint64_t lender, core::TimePoint askedAt)
{
    if (count > 0)
        this->batches.push_back({count, lender, askedAt});
}

void TokenHolder::onShort(core::Duration comeBack, core::TimePoint now)
{
    this->dryUntil = now + std::min(comeBack, this->timing.maxDryTime);
    this->tokensExpectedAt = now + std::min(comeBack, this->timing.maxComeBack);
}

void TokenHolder::onUnlimited(core::TimePoint askedAt)
{
    this->unlimitedUntil = askedAt + this->timing.useTime;
}

void TokenHolder::expire(core::TimePoint now)
{
    // Tokens that were given back may stand before older ones, by less than `useTime`.
    const auto isOld = [&](const Batch &batch) {
        return now >= batch.askedAt + this->timing.useTime;
    };
    for (const Batch &batch : this->batches) {
        if (isOld(batch))
            this->expired.push_back(batch);
    }
    std::erase_if(this->batches, isOld);
    std::erase_if(this->expired, [&](const Batch &batch) {
        return now >= batch.askedAt + this->timing.returnTime;
    });
}

void TokenHolder::countDemand(core::TimePoint now)
{
    this->recentRequests = this->recentDemand(now) + 1;
    this->demandAt = now;
}

core::Duration TokenHolder::spreadComeBack(core::TimePoint now)
{
    const core::Duration first =
            std::max<core::Duration>(this->tokensExpectedAt - now, core::Duration::zero());
    const core::Duration spread = std::max<core::Duration>(first, leastSpread);
    const double position = static_cast<double>(++this->refusals) * goldenRatio;
    const double part = position - std::floor(position);
    const core::Duration added = std::chrono::duration_cast<core::Duration>(Seconds(spread) * part);
    return std::min<core::Duration>(first + added, this->timing.maxComeBack);
}

} // namespace amaranthdale::quotas
