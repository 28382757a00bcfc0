// Latency statistics of a group of requests, in constant memory.
#pragma once

#include "amaranthdale/core/types.h"

#include <memory>

namespace amaranthdale::report {

/// Latency statistics at one point in time.
struct LatencyStatistics
{
    core::Duration mean{};
    core::Duration median{};
    core::Duration percentile95{};
    core::Duration percentile99{};
    core::Duration max{};
};

/// Computes latency statistics over consecutive intervals, so that they follow changes.
class LatencySummary
{
public:
    LatencySummary();
    ~LatencySummary();
    LatencySummary(LatencySummary &&) noexcept;
    LatencySummary &operator=(LatencySummary &&) noexcept;

    void add(core::Duration latency, core::TimePoint now);

    /// Returns the statistics of the current interval once it has enough samples; until then those
    /// of the previous interval, if there was one.
    LatencyStatistics statistics() const;

private:
    struct Interval;
    std::unique_ptr<Interval> current;
    LatencyStatistics previous; // Of the previous interval; zero if there is none.
    bool hasPrevious = false;
};

} // namespace amaranthdale::report
