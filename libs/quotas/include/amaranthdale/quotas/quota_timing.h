// Periods that the quota of an organisation rests on.
//
// In any window of 5 s at most 5.5 rate + 1.1 burst + 20 requests may run. Lenders lend at most
// 5 rate + burst tokens in a window, and a token is sent at the latest `sendTime` after it was
// lent, so at most (5 s + sendTime + bucketTime) rate + burst requests are sent in a window, plus
// one for each lender and what new processes bring.
#pragma once

#include "amaranthdale/core/types.h"

#include <algorithm>

namespace amaranthdale::quotas {

struct QuotaLimit
{
    double ratePerSecond = 0;
    double burst = 0;

    bool operator==(const QuotaLimit &) const = default;
};

struct QuotaTiming
{
    /// A token is given to a request at most this long after it was asked for.
    core::Duration useTime = std::chrono::milliseconds(250);
    /// A request with a token is sent at most this long after the token was asked for.
    core::Duration sendTime = std::chrono::milliseconds(450);
    /// A lender keeps at least this much of the rate, since it is asked at intervals.
    core::Duration bucketTime = std::chrono::milliseconds(50);
    /// An ask without a reply counts as lost after this period.
    core::Duration replyTimeout = std::chrono::milliseconds(80);
    /// Longest wait of a request for the lender's reply: enough for three asks.
    core::Duration maxDecisionTime = std::chrono::milliseconds(250);
    /// Tokens that were not used are returned at most this long after they were asked for.
    /// Longer than most requests wait for a server.
    core::Duration returnTime = std::chrono::milliseconds(2500);
    /// The lender accepts returned tokens only with a stamp that is not older than this.
    core::Duration maxReturnDelay = std::chrono::milliseconds(500);
    /// An instance with too few tokens asks again at this interval.
    core::Duration tick = std::chrono::milliseconds(50);
    /// After a reply with too few tokens, requests are refused without asking for this long at
    /// most.
    core::Duration maxDryTime = std::chrono::milliseconds(100);
    /// Bound of the time that a refused caller is told.
    core::Duration maxComeBack = std::chrono::seconds(5);
    /// Share of a pledge's duration by which a holder's clock may run faster than the lender's.
    double clockTolerance = 0.02;
};

/// Validity of a pledge, longer with more instances, so that lenders of 1,500 instances get some
/// 1,000 asks a second each. After the loss of a lender its shares are unused for this long.
inline core::Duration pledgeTimeFor(unsigned instances)
{
    using std::chrono::milliseconds;
    constexpr unsigned perInstance = 6;
    return std::clamp<core::Duration>(milliseconds(perInstance * instances), milliseconds(1500),
                                      milliseconds(4000));
}

} // namespace amaranthdale::quotas
