// What one instance knows of the load, speed and health of one backend server.
#pragma once

#include "amaranthdale/catalog/directory.h"
#include "amaranthdale/core/types.h"

#include <cstdint>

namespace amaranthdale::balance {

/// What a server said of itself in a response.
struct LoadReport
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    double slowdown = 1; ///< How much longer work takes than usual at this moment.
};

/// How an attempt ended, as far as it tells about the server.
enum class AttemptResult {
    Answered,    ///< A complete response.
    Failed,      ///< The server failed the request, or broke the connection while it ran.
    Shed,        ///< The server refused for lack of room.
    Misdirected, ///< The server isn't the owner of the key, or isn't the one that was meant.
    Unreachable, ///< No connection.
    TimedOut,
    Cancelled, ///< Given up by the caller; tells nothing.
};

/// Load, speed and health of one run of a server. Not thread-safe.
class ServerLoad
{
public:
    explicit ServerLoad(catalog::BackendServer backendServer);

    const catalog::BackendServer &server() const { return this->backend; }
    void update(catalog::BackendServer backendServer) { this->backend = std::move(backendServer); }

    void onSent() { ++this->sent; }

    /// `elapsed` is the time from sending to the whole response and `usual` what the route takes
    /// on an average server without a queue.
    void onEnd(AttemptResult result, core::Duration elapsed, core::Duration usual,
               core::TimePoint now);

    void onReport(const LoadReport &report, core::TimePoint now);

    /// Expected time to a response for a request sent now that usually takes `usual`.
    core::Duration estimate(core::Duration usual, core::TimePoint now) const;

    /// Share of recent attempts that failed, 0 to 1; fades with time.
    double failureRate(core::TimePoint now) const;

    /// False while the server is avoided after it could not be reached.
    bool isTrusted(core::TimePoint now) const { return now >= this->avoidUntil; }

    /// A cold server gets nothing of this instance before `first`.
    void delayWarmup(core::TimePoint first) { this->firstWarmup = first; }

    /// Takes one request of a cold server's allowance of `rate` requests/s. True for warm servers.
    bool takeWarmup(double rate, core::TimePoint now);

    /// When `takeWarmup` succeeds next.
    core::TimePoint nextWarmup(double rate, core::TimePoint now) const;

    bool isCold(core::TimePoint now) const { return now < this->backend.coldUntil; }

    /// Work per second that it has been seen to do, relative to an average server.
    double capacity() const;

    unsigned inFlight() const { return this->sent; }

    /// Requests at the server, those of other senders as last reported.
    double atServer(core::TimePoint now) const { return this->sent + this->othersLoad(now); }

private:
    double othersLoad(core::TimePoint now) const;
    double queueFactor(core::TimePoint now) const;

    catalog::BackendServer backend;
    unsigned sent = 0;         ///< Requests of this instance at the server.
    double speedFactor = 1;    ///< Time it takes relative to an average server.
    double reportedOthers = 0; ///< Requests of other instances when it last reported.
    double usualOthers = 0;    ///< Their average.
    double slowdown = 1;
    core::TimePoint reportedAt{};
    double failures = 0; ///< Moving average, as of failuresAt.
    core::TimePoint failuresAt{};
    core::TimePoint avoidUntil{};
    unsigned unreachableInRow = 0;
    core::TimePoint firstWarmup{};
    core::TimePoint nextWarmupAt{};
};

} // namespace amaranthdale::balance
