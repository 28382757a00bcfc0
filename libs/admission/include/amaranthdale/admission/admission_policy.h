// Decides which waiting request gets the next slot of a pool that is short of capacity, and which
// requests are refused.
//
// Load that it is made for: routes with different target latencies share servers and together ask
// for more than these serve. Strict priority starves the least urgent route, while long-running
// requests with a distant target fill the queue and make the urgent ones late.
#pragma once

#include "amaranthdale/admission/admission_options.h"
#include "amaranthdale/core/types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace amaranthdale::admission {

/// Index of a route, priority and organisation within one pool.
using ClassId = std::uint32_t;

/// A request that arrives at a pool.
struct Applicant
{
    std::string route;
    std::string organisation; ///< Empty if requests belong to none.
    unsigned priority = 0;
    core::Duration targetLatency{}; ///< From the arrival at the pool.
    core::Duration timeout{};       ///< From the arrival at the pool.
    bool mayWait = true;
};

/// Result of an arrival.
struct Arrival
{
    ClassId classId = 0;
    bool takesPromise = false; ///< Arrived when a promised return was due.
};

/// A request in the queue of a pool.
struct WaitingRequest
{
    ClassId classId = 0;
    bool takesPromise = false;
    bool eligible = true; ///< False once no free server may run it.
    bool mayWait = true;
    core::TimePoint targetAt{}; ///< Responses until then are in time.
    core::TimePoint deadline{};
    core::Duration serviceTime{}; ///< Usual time of its route on one slot.
    core::Duration latency{};     ///< Expected time to the response if it is sent now.

    bool canBeInTime(core::TimePoint now) const { return now + this->latency <= this->targetAt; }
};

/// Result for a request without a slot: it waits, or comes back after `retryAfter`.
struct Verdict
{
    bool accepted = false;
    core::Duration retryAfter{};
};

/// What one route asked for and got within the half-life of the counts.
struct RouteShare
{
    std::string route;
    unsigned priority = 0;
    double asked = 0;         ///< Requests.
    double granted = 0;       ///< Requests.
    double share = 0;         ///< Relative share in a shortage.
    std::size_t promised = 0; ///< Returns promised and not yet due.
};

/// Policy of one pool. Not thread-safe.
class AdmissionPolicy
{
public:
    virtual ~AdmissionPolicy() = default;

    /// Counts a request.
    virtual Arrival arrive(const Applicant &applicant, core::TimePoint now) = 0;

    /// Index of the eligible request that gets the next slot, or nothing if none is eligible.
    virtual std::optional<std::size_t> selectNext(std::span<const WaitingRequest> waiting,
                                                  core::TimePoint now) const = 0;

    /// Counts a slot that was granted to `request`.
    virtual void onGranted(const WaitingRequest &request, core::TimePoint now) = 0;

    /// Decides whether a new request is queued. `waiting` holds all requests without a slot,
    /// `request` included; `slots` is the number of requests that the pool executes at once.
    virtual Verdict judge(const WaitingRequest &request, std::span<const WaitingRequest> waiting,
                          double slots, core::TimePoint now) = 0;

    /// Shares of the routes that asked for slots.
    virtual std::vector<RouteShare> shares(core::TimePoint now) const = 0;
};

/// Policy that serves equal multiples of the routes' shares of their demand.
std::unique_ptr<AdmissionPolicy> makeSharePolicy(const AdmissionOptions &options);

/// Receives the state of pools for metrics.
class AdmissionObserver
{
public:
    virtual ~AdmissionObserver() = default;

    /// Called when a pool becomes short, at most once a second while it is, and when the shortage
    /// ends. Must not call back into the pool.
    virtual void onPool(const std::string &pool, bool isShort,
                        const std::vector<RouteShare> &shares) = 0;
};

} // namespace amaranthdale::admission
