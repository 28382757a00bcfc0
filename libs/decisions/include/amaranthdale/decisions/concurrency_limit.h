// How many requests a backend server may have in flight.
#pragma once

#include "amaranthdale/core/types.h"

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace amaranthdale::decisions {

/// Load as a backend server reports it, late or wrong at times.
struct LoadReport
{
    core::Incarnation incarnation;
    unsigned inFlight = 0;
    double load = 0; ///< 1 is full.
};

/// Bounds that the service document gives for one server.
struct LimitBounds
{
    unsigned coldSlots = 1;
    unsigned requestSlots = 4;
};

/// What set the limit of a server.
enum class LimitReason {
    Start,          ///< Nothing has been answered since the server's start.
    Growth,         ///< Answered requests raised it.
    LatencyStep,    ///< Latency rose or a response is overdue, which cut it.
    Refusals,       ///< Refusals cut it.
    ServerReport,   ///< The server's own report lowered it.
    RequestSlots,   ///< It stands at the server's request slots.
    ConnectionLost, ///< A lost connection cut it.
};

/// Limit of requests in flight at one server. At least 1, at most `requestSlots`.
class ConcurrencyLimit
{
public:
    virtual ~ConcurrencyLimit() = default;

    virtual unsigned current(core::TimePoint now) const = 0;
    /// Why the limit has its value, in words for reports.
    virtual std::string reason(core::TimePoint now) const = 0;
    virtual LimitReason reasonKind(core::TimePoint now) const = 0;

    /// `latency` is the time to the response headers, `inFlight` the number in flight with this
    /// request just before its end.
    virtual void answered(core::Duration latency, unsigned inFlight, core::TimePoint now) = 0;
    /// The server refused a request for overload.
    virtual void refused(core::TimePoint now) = 0;
    virtual void connectionLost(core::TimePoint now) = 0;
    /// A request has been in flight for `age` without a response.
    virtual void waiting(core::Duration age, core::TimePoint now) = 0;
    virtual void reported(const LoadReport &report, core::TimePoint now) = 0;
    /// The server started again.
    virtual void restarted(core::TimePoint now) = 0;
};

/// Grows while answers come at the usual latency, and returns to `coldSlots` on a latency step,
/// refusals or lost connections, whichever of a cold start or a straggler is behind them.
class AdaptiveLimit : public ConcurrencyLimit
{
public:
    AdaptiveLimit(LimitBounds limitBounds, core::TimePoint now);

    unsigned current(core::TimePoint now) const override;
    std::string reason(core::TimePoint now) const override;
    LimitReason reasonKind(core::TimePoint now) const override;
    void answered(core::Duration latency, unsigned inFlight, core::TimePoint now) override;
    void refused(core::TimePoint now) override;
    void connectionLost(core::TimePoint now) override;
    void waiting(core::Duration age, core::TimePoint now) override;
    void reported(const LoadReport &report, core::TimePoint now) override;
    void restarted(core::TimePoint now) override;

private:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    static constexpr std::size_t recentSize = 5;

    void noteLatency(Milliseconds latency);
    bool latencyUsual() const;
    bool latencyStepped() const;
    void growIfProven(unsigned inFlight, core::TimePoint now);
    void cut(LimitReason reason, const char *text, core::TimePoint now);
    bool ceilingInForce(core::TimePoint now) const;

    LimitBounds bounds;
    unsigned limit;
    LimitReason kind = LimitReason::Start;
    const char *cause = "cold start"; // In words, for `kind`.
    core::TimePoint changedAt;
    core::Duration dwell;          // Least time at one value before the next step up.
    unsigned answersAtValue = 0;   // Answers at usual latency since the last change.
    Milliseconds baseline{0};      // Slow average; a sample counts for at most the step factor.
    unsigned baselineSamples = 0;  // Up to the weight of the slow average.
    Milliseconds recentAverage{0}; // Fast average.
    unsigned elevated = 0;         // Answers in a row with a fast average far above the baseline.
    std::array<Milliseconds, recentSize> recent{};
    std::size_t recentNext = 0;
    std::size_t recentCount = 0;
    std::optional<unsigned> ceiling; // From the newest report.
    core::TimePoint ceilingAt;
    core::Incarnation incarnation;
};

/// Baseline for measurements: one step up per interval from the start, whatever happens, and back
/// to the start only when the server is known to have started again.
class FixedRamp : public ConcurrencyLimit
{
public:
    FixedRamp(LimitBounds limitBounds, core::Duration stepInterval, core::TimePoint now);

    unsigned current(core::TimePoint now) const override;
    std::string reason(core::TimePoint now) const override;
    LimitReason reasonKind(core::TimePoint now) const override;
    void answered(core::Duration, unsigned, core::TimePoint) override { }
    void refused(core::TimePoint) override { }
    void connectionLost(core::TimePoint) override { }
    void waiting(core::Duration, core::TimePoint) override { }
    void reported(const LoadReport &report, core::TimePoint now) override;
    void restarted(core::TimePoint now) override;

private:
    LimitBounds bounds;
    core::Duration interval;
    core::TimePoint startedAt;
    core::Incarnation incarnation;
};

} // namespace amaranthdale::decisions
