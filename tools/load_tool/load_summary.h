// Figures of a load run.
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
    std::uint64_t wrong = 0;               ///< Responses to another request.
    std::uint64_t shortBodies = 0;         ///< Responses with too few bytes.
    std::vector<core::Duration> latencies; ///< Of answered requests, resends included.
    core::Duration length{};

    /// Counts one attempt.
    void count(const history::CallEvent &event);

    /// Latency that the share `share` of answered requests stays within; zero without any.
    core::Duration quantile(double share) const;

    std::string toText() const;
    std::string toJson() const;
};

} // namespace amaranthdale::tools
