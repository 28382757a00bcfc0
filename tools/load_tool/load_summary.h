// Results of a load run.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/history/events.h"

#include <string>
#include <vector>

namespace amaranthdale::tools {

struct LoadSummary
{
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t resent = 0;
    std::uint64_t wrong = 0;               ///< Responses that belong to another request.
    std::uint64_t shortBodies = 0;         ///< Truncated responses.
    std::vector<core::Duration> latencies; ///< Of answered requests, resends included.
    core::Duration duration{};

    /// Counts one attempt.
    void count(const history::CallEvent &event);

    /// Latency that the fraction `share` of answered requests does not exceed; zero if there are
    /// none.
    core::Duration quantile(double share) const;

    std::string toText() const;
    std::string toJson() const;
};

} // namespace amaranthdale::tools
