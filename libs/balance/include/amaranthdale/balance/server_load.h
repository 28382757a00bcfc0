// Load, speed and health of one backend server as one instance observes them.
#pragma once

#include "amaranthdale/catalog/directory.h"
#include "amaranthdale/core/types.h"

#include <cstdint>

namespace amaranthdale::balance {

/// Load that a server reports with a response.
struct LoadReport
{
    unsigned running = 0; ///< Requests in execution.
    unsigned waiting = 0; ///< Requests in the server's queue.
    unsigned slots = 0;   ///< Requests that the server executes at the same time.
    double slowdown = 1;  ///< Current service time relative to the normal one.
};

/// Outcome of an attempt, as far as it depends on the server.
enum class AttemptResult {
    Answered,    ///< Complete response.
    Failed,      ///< The server returned an error or closed the connection during the request.
    Shed,        ///< The server refused the request because it is full.
    Misdirected, ///< The server doesn't own the key, or isn't the one that was addressed.
    Unreachable, ///< No connection could be made.
    TimedOut,
    Cancelled, ///< Cancelled by the caller; says nothing about the server.
};

/// Load, speed and health of one incarnation of a server. Not thread-safe.
class ServerLoad
{
public:
    explicit ServerLoad(catalog::BackendServer backendServer);

    const catalog::BackendServer &server() const { return this->backend; }
    void update(catalog::BackendServer backendServer) { this->backend = std::move(backendServer); }

    void onSent() { ++this->ownInFlight; }

    /// `elapsed` is the time from sending to the complete response; `routeLatency` is what the
    /// route takes on an average server without a queue, or zero if it isn't known.
    void onEnd(AttemptResult result, core::Duration elapsed, core::Duration routeLatency,
               core::TimePoint now);

    void onReport(const LoadReport &report, core::TimePoint now);

    /// Expected response time of a request sent now whose route takes `routeLatency`.
    core::Duration expectedLatency(core::Duration routeLatency, core::TimePoint now) const;

    /// Share of recent attempts that failed, 0 to 1; decays with time.
    double failureRate(core::TimePoint now) const;

    /// False during the backoff after the server could not be reached.
    bool isAvailable(core::TimePoint now) const { return now >= this->unavailableUntil; }

    /// This instance sends nothing to a cold server before `start`.
    void setWarmupStart(core::TimePoint start) { this->warmupStart = start; }

    /// Takes one request from a cold server's allowance of `rate` requests/s. Always true for warm
    /// servers.
    bool tryTakeWarmup(double rate, core::TimePoint now);

    /// Earliest time at which `tryTakeWarmup` succeeds.
    core::TimePoint earliestWarmup(double rate, core::TimePoint now) const;

    bool isCold(core::TimePoint now) const { return now < this->backend.coldUntil; }

    /// Slots, scaled by the observed speed relative to an average server.
    double capacity() const;

    unsigned inFlight() const { return this->ownInFlight; }

    /// Usual response time relative to an average server.
    double latencyRatio() const { return this->latencyFactor; }

    /// Requests at the server: those of this instance and an estimate of other senders' requests
    /// from the last report.
    double totalInFlight(core::TimePoint now) const
    {
        return this->ownInFlight + this->othersInFlight(now);
    }

    /// Factor by which waiting for the server's slots extends a response time.
    double queueFactor(core::TimePoint now) const;

private:
    double othersInFlight(core::TimePoint now) const;

    catalog::BackendServer backend;
    unsigned ownInFlight = 0;  ///< Requests of this instance at the server.
    double latencyFactor = 1;  ///< Response time relative to an average server.
    double reportedOthers = 0; ///< Requests of other senders at the last report.
    double averageOthers = 0;  ///< Moving average of `reportedOthers`.
    double slowdown = 1;
    core::TimePoint reportedAt{};
    double failures = 0; ///< Moving average of the failure rate at `failuresAt`.
    core::TimePoint failuresAt{};
    core::TimePoint unavailableUntil{};
    unsigned consecutiveUnreachable = 0;
    core::TimePoint warmupStart{};
    core::TimePoint nextWarmup{};
};

} // namespace amaranthdale::balance
