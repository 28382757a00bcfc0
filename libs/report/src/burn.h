// Error budget consumption over a short and a long window, in constant memory.
#pragma once

#include "amaranthdale/decisions/service_document.h"
#include "amaranthdale/report/report.h"

#include <array>

namespace amaranthdale::report {

constexpr core::Duration shortWindow = std::chrono::minutes(5);
constexpr core::Duration longWindow = std::chrono::hours(1);

/// Computes budget, burn rates and spender from the counts and objectives of `row`.
void computeBurnRates(BurnRow &row);

/// Counts requests in time buckets of fixed length that cover the long window.
class BurnCounter
{
public:
    void setObjective(const decisions::Objective &newObjective) { this->objective = newObjective; }

    void add(const RequestFinished &event, core::TimePoint now);

    /// Returns the burn over the `window` that ends at `now`; `window` is at most `longWindow`.
    BurnRow burn(const core::ServiceName &service, core::Duration window,
                 core::TimePoint now) const;

private:
    // One thirtieth of the short window, which bounds the error of a window's length.
    static constexpr core::Duration bucketLength = std::chrono::seconds(10);
    static constexpr std::size_t bucketCount = longWindow / bucketLength;

    struct Bucket
    {
        std::int64_t number = -1; // Time divided by `bucketLength`; -1 if never used.
        std::uint64_t answered = 0;
        std::uint64_t slow = 0; // Included in `answered`.
        std::uint64_t notRun = 0;
        std::uint64_t unknown = 0;
    };

    static std::int64_t bucketNumber(core::TimePoint time);

    decisions::Objective objective;
    std::array<Bucket, bucketCount> buckets{};
};

} // namespace amaranthdale::report
