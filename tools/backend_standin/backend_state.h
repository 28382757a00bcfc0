// Everything that changes in the backend server stand-in; not thread-safe.
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

/// A request that runs.
struct RunningRequest
{
    core::RequestId id;
    core::ResponseHandler respond;
    clock::TimerId timer = 0;
};

/// State of a request that `DELETE /-/requests/{id}` names.
enum class RequestFate { Running, Finished, Unknown };

class BackendState
{
public:
    BackendState(const BackendSettings &settings, core::Incarnation incarnation,
                 core::TimePoint now);

    /// Forgets all but the settings and faults, as a restart does.
    void restart(core::Incarnation newIncarnation, core::TimePoint now);

    /// Why a request may not begin; empty when it may.
    struct Refusal
    {
        unsigned status = 0; ///< 0: the request may begin.
        std::string reason;
    };
    Refusal whyRefused(const Claim &claim, core::TimePoint now) const;

    /// Counts a request in and returns its number.
    std::uint64_t begin(RunningRequest request, core::TimePoint now);

    /// Counts a request out. Nothing when it was cancelled or lost in a restart.
    std::optional<RunningRequest> end(std::uint64_t number, core::TimePoint now);

    /// Number of a running request with this id, or 0.
    std::uint64_t findRunning(const core::RequestId &id) const;
    RequestFate fateOf(const core::RequestId &id) const;

    /// Service time of a request that begins now.
    core::Duration drawServiceTime(core::TimePoint now);

    unsigned inFlight() const { return static_cast<unsigned>(this->running.size()); }

    /// Share of the request slots in use, as the possibly lagging report shows it.
    double reportedLoad(core::TimePoint now) const;

    core::Incarnation incarnation;
    BackendFaults faults;
    bool draining = false;
    GrantTable grants;
    Capacity capacity;
    std::map<std::uint64_t, RunningRequest> running;

private:
    // Requests in flight from a moment on.
    struct LoadSample
    {
        core::TimePoint since;
        unsigned inFlight = 0;
    };

    void noteLoad(core::TimePoint now);

    const BackendSettings &settings;
    boost::random::mt19937_64 random;
    std::uint64_t lastNumber = 0;
    std::deque<LoadSample> samples; // In order of time; covers at least the load lag.
    std::set<core::RequestId> finished;
    std::deque<core::RequestId> finishedOrder; // Oldest first; bounds `finished`.
};

} // namespace amaranthdale::tools
