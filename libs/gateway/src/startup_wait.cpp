// Bounds of the requests that wait just after the start.
#include "amaranthdale/gateway/startup_wait.h"

#include <algorithm>

namespace amaranthdale::gateway {

namespace {

// Part of a request's time that it may wait. The rest is for the request itself, and for the retry
// of its caller at another instance.
constexpr int timeDivisor = 4;

} // namespace

StartupWaits::StartupWaits(StartupWaitLimits waitLimits, core::TimePoint startedAt)
    : limits(waitLimits), lastEnd(startedAt + waitLimits.duration)
{ }

std::optional<core::TimePoint> StartupWaits::admit(const StartupRequest &request,
                                                   core::TimePoint now)
{
    const core::TimePoint until = std::min(
            this->lastEnd, request.arrived + (request.deadline - request.arrived) / timeDivisor);
    if (now >= until) {
        this->remove(request.number);
        return std::nullopt;
    }
    if (this->waiting.contains(request.number))
        return until;
    if (this->waiting.size() >= this->limits.maxRequests
        || request.bytes > this->limits.maxBytes - this->waitingBytes)
        return std::nullopt;
    this->waiting.emplace(request.number, request.bytes);
    this->waitingBytes += request.bytes;
    return until;
}

void StartupWaits::remove(std::uint64_t number)
{
    const auto found = this->waiting.find(number);
    if (found == this->waiting.end())
        return;
    this->waitingBytes -= found->second;
    this->waiting.erase(found);
}

} // namespace amaranthdale::gateway
