// Latency of one group of requests, in constant memory.
#pragma once

#include "amaranthdale/core/types.h"

#include <memory>

namespace amaranthdale::report {

/// Latencies as of one time.
struct LatencyFigures
{
    core::Duration mean{};
    core::Duration median{};
    core::Duration share95{};
    core::Duration share99{};
    core::Duration most{};
};

/// Estimates quantiles over intervals of `quantileInterval`, so that they follow changes.
class LatencySummary
{
public:
    LatencySummary();
    ~LatencySummary();
    LatencySummary(LatencySummary &&) noexcept;
    LatencySummary &operator=(LatencySummary &&) noexcept;

    void add(core::Duration latency, core::TimePoint now);

    /// Figures of the running interval once it has enough samples, before that of the one before.
    LatencyFigures figures() const;

private:
    struct Interval;
    std::unique_ptr<Interval> running;
    LatencyFigures last; // Of the interval before; zero when there is none.
    bool hasLast = false;
};

} // namespace amaranthdale::report
