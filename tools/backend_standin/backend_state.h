// Mutable state of the backend server stand-in; not thread-safe.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/core/message.h"
#include "backend_standin/capacity.h"
#include "backend_standin/grant_table.h"

#include <boost/random/mersenne_twister.hpp>

#include <deque>
#include <map>
#include <set>
#include <string>

namespace amaranthdale::tools {

struct RunningRequest
{
    core::RequestId id;
    core::ResponseHandler respond;
    clock::TimerId timer = 0;
};

/// State of the request in `DELETE /-/requests/{id}`.
enum class RequestState { Running, Finished, Unknown };

class BackendState
{
public:
    BackendState(const BackendSettings &settings, core::Incarnation incarnation,
                 core::TimePoint now);

    /// Simulates a restart of the process; keeps the settings and faults.
    void restart(core::Incarnation newIncarnation, core::TimePoint now);

    /// Reason why a request is refused; empty if it is admitted.
    struct Refusal
    {
        unsigned status = 0; ///< HTTP status; 0 if the request is admitted.
        std::string reason;
    };
    Refusal checkAdmission(const OwnershipClaim &claim, core::TimePoint now) const;

    /// Adds a running request and returns its number.
    std::uint64_t begin(RunningRequest request, core::TimePoint now);

    /// Removes a running request; nullopt if it was cancelled or lost in a restart.
    std::optional<RunningRequest> end(std::uint64_t number, core::TimePoint now);

    /// Number of the running request with this id, or 0 if there is none.
    std::uint64_t findRunning(const core::RequestId &id) const;
    RequestState requestState(const core::RequestId &id) const;

    /// Random service time of a request that starts now.
    core::Duration sampleServiceTime(core::TimePoint now);

    unsigned inFlight() const { return static_cast<unsigned>(this->running.size()); }

    /// Share of the request slots in use, delayed by the `loadLag` fault.
    double reportedLoad(core::TimePoint now) const;

    core::Incarnation incarnation;
    BackendFaults faults;
    bool draining = false;
    GrantTable grants;
    Capacity capacity;
    std::map<std::uint64_t, RunningRequest> running;

private:
    // Number of requests in flight from `since` until the next sample.
    struct LoadSample
    {
        core::TimePoint since;
        unsigned inFlight = 0;
    };

    void recordLoad(core::TimePoint now);

    const BackendSettings &settings;
    boost::random::mt19937_64 random;
    std::uint64_t lastNumber = 0;
    std::deque<LoadSample> samples; // Ordered by time; covers at least the load lag.
    std::set<core::RequestId> finished;
    std::deque<core::RequestId> finishedOrder; // Oldest first; limits the size of `finished`.
};

} // namespace amaranthdale::tools
