// Decision whether a request waits for what its instance doesn't know yet just after its start.
//
// After a loss of all instances, callers return while the instances read the configuration, the
// servers and the assignments of keys, within the first 0.3 to 0.6 s. Requests that wait for them
// are answered in time; refused ones come back after the instance is ready, and many too late.
#pragma once

#include "amaranthdale/core/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace amaranthdale::gateway {

struct StartupWaitLimits
{
    /// Requests may wait until this long after the start of the instance. Zero: none waits.
    core::Duration duration{};
    /// About half of the connections that callers can open to the smallest instance.
    std::size_t maxRequests = 512;
    /// Size of the waiting requests. A fifth of the callers' memory budget of the smallest
    /// instance.
    std::size_t maxBytes = std::size_t{4} * 1024 * 1024;
};

/// A request that could wait.
struct StartupRequest
{
    std::uint64_t number = 0; ///< Unique among the requests of the instance.
    std::size_t bytes = 0;
    core::TimePoint arrived{};
    core::TimePoint deadline{};
};

/// Requests that wait, and until when more may. Not thread-safe.
class StartupWaits
{
public:
    StartupWaits(StartupWaitLimits waitLimits, core::TimePoint startedAt);

    /// Time at which the last wait ends.
    core::TimePoint end() const { return this->lastEnd; }

    /// Until when the request may wait, in total; nothing if it has to be decided now. A request
    /// that waits already keeps its place, or loses it if its time is over.
    std::optional<core::TimePoint> admit(const StartupRequest &request, core::TimePoint now);

    /// The request no longer waits. Ignored if it didn't.
    void remove(std::uint64_t number);

    std::size_t count() const { return this->waiting.size(); }
    std::size_t bytes() const { return this->waitingBytes; }

private:
    const StartupWaitLimits limits;
    const core::TimePoint lastEnd;
    std::map<std::uint64_t, std::size_t> waiting; ///< Bytes by request; at most `maxRequests`.
    std::size_t waitingBytes = 0;                 ///< Sum of `waiting`; at most `maxBytes`.
};

} // namespace amaranthdale::gateway
