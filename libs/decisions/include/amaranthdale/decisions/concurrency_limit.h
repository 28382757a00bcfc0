// Limits on the number of requests in flight at a backend server.
#pragma once

#include "amaranthdale/core/types.h"

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace amaranthdale::decisions {

/// Load reported by a backend server. Reports may be late or inaccurate.
struct LoadReport
{
    core::Incarnation incarnation;
    unsigned inFlight = 0;
    double load = 0; ///< Utilisation; 1 is full.
};

/// Bounds for one server, from the service document.
struct LimitBounds
{
    unsigned coldSlots = 1;
    unsigned requestSlots = 4;
};

/// What determined the current limit of a server.
enum class LimitReason {
    Start,          ///< Initial value; no event has changed it since the server started.
    Growth,         ///< Raised after responses at normal latency.
    LatencyStep,    ///< Reset because latency rose or a response is overdue.
    Refusals,       ///< Reset because the server refused a request.
    ServerReport,   ///< Lowered by the server's load report.
    RequestSlots,   ///< Capped by the server's request slots.
    ConnectionLost, ///< Reset because a connection was lost.
};

/// Limit on requests in flight at one server, between 1 and `requestSlots`.
class ConcurrencyLimit
{
public:
    virtual ~ConcurrencyLimit() = default;

    virtual unsigned current(core::TimePoint now) const = 0;
    /// Human-readable reason for the current value.
    virtual std::string reason(core::TimePoint now) const = 0;
    virtual LimitReason reasonCode(core::TimePoint now) const = 0;

    /// A request was answered. `latency` is the time to the response headers; `inFlight` includes
    /// this request.
    virtual void answered(core::Duration latency, unsigned inFlight, core::TimePoint now) = 0;
    /// The server refused a request because it is overloaded.
    virtual void refused(core::TimePoint now) = 0;
    virtual void connectionLost(core::TimePoint now) = 0;
    /// A request has been in flight for `age` without a response.
    virtual void requestPending(core::Duration age, core::TimePoint now) = 0;
    virtual void reported(const LoadReport &report, core::TimePoint now) = 0;
    /// The server restarted.
    virtual void restarted(core::TimePoint now) = 0;
};

/// Grows while latency is normal, and falls back to `coldSlots` on a latency step, a refusal or a
/// lost connection. The same rule covers cold starts and stragglers.
class AdaptiveLimit : public ConcurrencyLimit
{
public:
    AdaptiveLimit(LimitBounds limitBounds, core::TimePoint now);

    unsigned current(core::TimePoint now) const override;
    std::string reason(core::TimePoint now) const override;
    LimitReason reasonCode(core::TimePoint now) const override;
    void answered(core::Duration latency, unsigned inFlight, core::TimePoint now) override;
    void refused(core::TimePoint now) override;
    void connectionLost(core::TimePoint now) override;
    void requestPending(core::Duration age, core::TimePoint now) override;
    void reported(const LoadReport &report, core::TimePoint now) override;
    void restarted(core::TimePoint now) override;

private:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    static constexpr std::size_t recentSize = 5;

    void recordLatency(Milliseconds latency);
    bool latencyIsNormal() const;
    bool hasLatencyStep() const;
    void growIfStable(unsigned inFlight, core::TimePoint now);
    void resetToColdSlots(LimitReason reason, const char *text, core::TimePoint now);
    bool reportedLimitApplies(core::TimePoint now) const;

    LimitBounds bounds;
    unsigned limit;
    LimitReason lastReason = LimitReason::Start;
    const char *reasonText = "cold start"; // Human-readable form of `lastReason`.
    core::TimePoint limitChangedAt;
    core::Duration growthInterval; // Minimum time at one limit before it is raised.
    unsigned responsesAtLimit = 0; // Responses at normal latency since the last change.
    Milliseconds baseline{0};      // Slow average; samples are capped at stepFactor times it.
    unsigned baselineSamples = 0;  // At most baselineWeight.
    Milliseconds recentAverage{0}; // Fast average, of capped samples.
    unsigned elevatedCount = 0;    // Consecutive responses with an elevated fast average.
    std::array<Milliseconds, recentSize> recent{};
    std::size_t recentNext = 0;
    std::size_t recentCount = 0;
    std::optional<unsigned> reportedLimit; // From the newest load report.
    core::TimePoint reportedLimitAt;
    core::Incarnation incarnation;
};

/// Baseline for measurements: raises the limit by one per interval regardless of responses, and
/// resets only when the server is known to have restarted.
class FixedRamp : public ConcurrencyLimit
{
public:
    FixedRamp(LimitBounds limitBounds, core::Duration stepInterval, core::TimePoint now);

    unsigned current(core::TimePoint now) const override;
    std::string reason(core::TimePoint now) const override;
    LimitReason reasonCode(core::TimePoint now) const override;
    void answered(core::Duration, unsigned, core::TimePoint) override { }
    void refused(core::TimePoint) override { }
    void connectionLost(core::TimePoint) override { }
    void requestPending(core::Duration, core::TimePoint) override { }
    void reported(const LoadReport &report, core::TimePoint now) override;
    void restarted(core::TimePoint now) override;

private:
    LimitBounds bounds;
    core::Duration interval;
    core::TimePoint startedAt;
    core::Incarnation incarnation;
};

} // namespace amaranthdale::decisions
