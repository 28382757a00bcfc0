// Shares of the quotas that instances have pledged to one lender.
#pragma once

#include "amaranthdale/core/types.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace amaranthdale::quotas {

/// Each instance owns the same share of every quota and pledges it to one lender at a time, for a
/// limited period. So the shares of all lenders add up to 1 at most at every moment, whatever
/// their lists of members say, as long as the instance count is not too small.
/// Times must not decrease. Not thread-safe.
class ShareLedger
{
public:
    /// Sets the number of instances that the quotas are divided by; at least 1.
    void setInstances(unsigned count, core::TimePoint now);

    /// Records that `member` has pledged its share until `until`. Returns false if `sequence` is
    /// not higher than that of its last message, which was then received twice or out of order.
    bool pledge(const std::string &member, std::uint64_t sequence, core::TimePoint until,
                core::TimePoint now);

    /// Share of each quota that is pledged at `now`, at most 1.
    double share(core::TimePoint now);

    /// Integral of the share over time, in seconds.
    double shareSeconds(core::TimePoint now);

    /// Share of one instance.
    double sharePerInstance() const { return 1.0 / this->instances; }

private:
    struct Pledge
    {
        core::TimePoint until{};
        std::uint64_t sequence = 0;
    };

    void advance(core::TimePoint now);
    void accrue(core::TimePoint until);
    double currentShare() const;

    std::map<std::string, Pledge> pledges;
    std::set<std::pair<core::TimePoint, std::string>> expiries; ///< Of all `pledges`.
    unsigned instances = 1;
    double accrued = 0;
    core::TimePoint accruedUntil{};
};

} // namespace amaranthdale::quotas
