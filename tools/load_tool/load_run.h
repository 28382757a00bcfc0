// Sends planned requests and notes what callers learn of each.
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

/// One run of a plan. Sender, clock and sink must outlive it.
class LoadRun
{
public:
    LoadRun(const LoadPlan &plan, core::HttpSender &sender, clock::Clock &clock,
            history::EventSink &sink);

    /// Starts the load; calls `done` once when its time is over and nothing is in flight.
    void start(std::function<void()> done);

    LoadSummary summary();

private:
    // A request on its way through one or more attempts.
    struct Call
    {
        PlannedRequest request;
        core::RequestId id;  // Empty for an idempotent request.
        core::TimePoint due; // Latency counts from here, so that a late start isn't hidden.
        history::WallTime sentAt;
        unsigned attempts = 0;
        std::size_t instance = 0;
    };
    using CallPointer = std::shared_ptr<Call>;

    struct State
    {
        explicit State(const LoadPlan &plan) : mix(plan) { }

        RequestMix mix;
        LoadSummary summary;
        std::size_t inFlight = 0;
        std::size_t nextInstance = 0;
        std::uint64_t started = 0; // Requests of the open loop.
        bool over = false;
        bool reported = false;
        bool fetchingIds = false;
        std::deque<core::RequestId> ids;
        std::deque<CallPointer> waitingForId;
    };

    void startDue();
    void beginCall(core::TimePoint due);
    void giveId(const CallPointer &call);
    void fetchIds();
    void onIds(core::Outcome<std::string> body);
    void attempt(const CallPointer &call);
    void onResponse(const CallPointer &call, core::Outcome<core::HttpResponse> response);
    void conclude(const CallPointer &call, history::CallEvent event);
    void endCall();
    void reportIfDone();

    const LoadPlan &plan;
    core::HttpSender &sender;
    clock::Clock &clock;
    history::EventSink &sink;
    std::function<void()> done;
    core::TimePoint begin;
    tables::Guarded<State> state;
};

} // namespace amaranthdale::tools
