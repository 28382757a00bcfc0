// Promises 3, 5, 6 and 7: checks of individual requests.
#include "amaranthdale/history/checks.h"

#include <algorithm>
#include <map>

namespace amaranthdale::history {

namespace {

// All events of one request id.
struct RequestHistory
{
    std::vector<const RunEvent *> runs;
    std::vector<const CallEvent *> attempts;
};

using Requests = std::map<std::pair<core::ServiceName, core::RequestId>, RequestHistory>;

Requests collectRequests(const std::vector<Event> &events)
{
    Requests requests;
    for (const Event &event : events) {
        if (const auto *run = std::get_if<RunEvent>(&event); run && !run->requestId.empty())
            requests[{run->service, run->requestId}].runs.push_back(run);
        if (const auto *call = std::get_if<CallEvent>(&event); call && !call->requestId.empty())
            requests[{call->service, call->requestId}].attempts.push_back(call);
    }
    return requests;
}

// The caller's event states whether the request is idempotent; without one, the method decides.
bool isIdempotent(const RequestHistory &request)
{
    if (!request.attempts.empty())
        return request.attempts.front()->idempotent;
    const std::string &method = request.runs.front()->method;
    return method == "GET" || method == "HEAD";
}

std::vector<Event> eventsOf(const RequestHistory &request)
{
    std::vector<Event> events;
    for (const RunEvent *run : request.runs)
        events.emplace_back(*run);
    for (const CallEvent *attempt : request.attempts)
        events.emplace_back(*attempt);
    return events;
}

// Returns true if an attempt that was not reported as not run started before the run.
bool hasMatchingAttempt(const RunEvent &run, const RequestHistory &request)
{
    return std::any_of(request.attempts.begin(), request.attempts.end(),
                       [&run](const CallEvent *attempt) {
                           return attempt->outcome != CallOutcome::NotRun && attempt->at <= run.at;
                       });
}

class RunCheck : public Check
{
public:
    void run(const std::vector<Event> &events, std::vector<Breach> &breaches) const override
    {
        for (const auto &[key, request] : collectRequests(events)) {
            if (request.runs.empty())
                continue;
            const std::string id = key.second.value;
            if (request.runs.size() > 1 && !isIdempotent(request))
                breaches.push_back(Breach{7,
                                          "non-idempotent request " + id + " was run "
                                                  + std::to_string(request.runs.size()) + " times",
                                          eventsOf(request)});
            const bool ranDespiteRefusal = !request.attempts.empty()
                    && std::any_of(request.runs.begin(), request.runs.end(),
                                   [&request = request](const RunEvent *each) {
                                       return !hasMatchingAttempt(*each, request);
                                   });
            if (ranDespiteRefusal)
                breaches.push_back(Breach{6,
                                          "request " + id + " was reported as not run, but was run",
                                          eventsOf(request)});
        }
    }
};

class CallResponseCheck : public Check
{
public:
    void run(const std::vector<Event> &events, std::vector<Breach> &breaches) const override
    {
        for (const Event &event : events) {
            const auto *call = std::get_if<CallEvent>(&event);
            if (!call || call->outcome != CallOutcome::Answered)
                continue;
            if (call->response == ResponseCheck::Wrong)
                breaches.push_back(Breach{5,
                                          "request " + call->requestId.value
                                                  + " received the response of another request",
                                          {event}});
            if (call->response == ResponseCheck::Short)
                breaches.push_back(Breach{5,
                                          "request " + call->requestId.value
                                                  + " received a truncated response",
                                          {event}});
        }
    }
};

class ColdLimitCheck : public Check
{
public:
    void run(const std::vector<Event> &events, std::vector<Breach> &breaches) const override
    {
        for (const Event &event : events) {
            const auto *run = std::get_if<RunEvent>(&event);
            if (run && run->running > run->limit)
                breaches.push_back(
                        Breach{3,
                               run->server.value + " runs " + std::to_string(run->running)
                                       + " requests but can sustain " + std::to_string(run->limit),
                               {event}});
        }
    }
};

} // namespace

std::unique_ptr<Check> makeRunCheck()
{
    return std::make_unique<RunCheck>();
}

std::unique_ptr<Check> makeResponseCheck()
{
    return std::make_unique<CallResponseCheck>();
}

std::unique_ptr<Check> makeColdLimitCheck()
{
    return std::make_unique<ColdLimitCheck>();
}

} // namespace amaranthdale::history
