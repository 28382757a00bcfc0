// Sends the requests of a load plan and records the outcome of each attempt.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/core/message.h"
#include "amaranthdale/history/history_file.h"
#include "amaranthdale/tables/guarded.h"
#include "load_tool/load_plan.h"
#include "load_tool/load_summary.h"

#include <deque>
#include <functional>

namespace amaranthdale::tools {

/// Executes a load plan. Plan, sender, clock and sink must outlive it.
class LoadRun
{
public:
    LoadRun(const LoadPlan &plan, core::HttpSender &sender, clock::Clock &clock,
            history::EventSink &sink);

    /// Starts the load. Calls `done` once, when the run time is over and nothing is in flight.
    void start(std::function<void()> done);

    LoadSummary summary();

private:
    // A request and the state of its attempts.
    struct Call
    {
        PlannedRequest request;
        core::RequestId id;  // Empty for an idempotent request.
        core::TimePoint due; // Start of the latency, so that a late send is included.
        history::WallTime sentAt;
        unsigned attempts = 0;
        std::size_t instance = 0;
    };
    using CallPointer = std::shared_ptr<Call>;

    struct State
    {
        explicit State(const LoadPlan &plan) : generator(plan) { }

        RequestGenerator generator;
        LoadSummary summary;
        std::size_t inFlight = 0;
        std::size_t nextInstance = 0;
        std::uint64_t startedCalls = 0; // Used by the open loop.
        bool timeUp = false;
        bool reported = false;
        bool fetchingIds = false;
        std::deque<core::RequestId> ids;
        std::deque<CallPointer> waitingForId;
    };

    void startDueCalls();
    void startCall(core::TimePoint due);
    void assignId(const CallPointer &call);
    void fetchIds();
    void onIdsFetched(core::Outcome<std::string> body);
    void sendAttempt(const CallPointer &call);
    void onResponse(const CallPointer &call, core::Outcome<core::HttpResponse> response);
    void finishAttempt(const CallPointer &call, history::CallEvent event);
    void finishCall();
    void reportIfDone();

    const LoadPlan &plan;
    core::HttpSender &sender;
    clock::Clock &clock;
    history::EventSink &sink;
    std::function<void()> done;
    core::TimePoint startTime;
    tables::Guarded<State> state;
};

} // namespace amaranthdale::tools
