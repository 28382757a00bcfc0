// Fixtures for tests of requests, ledger and dispatcher.
#pragma once

#include "amaranthdale/decisions/server_dispatcher.h"

#include <algorithm>
#include <string>

namespace amaranthdale::decisions::test {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

inline const core::TimePoint start{std::chrono::hours(1)};

/// Id issued at `offset`; `number` makes ids of the same offset distinct.
inline std::string issuedId(std::uint64_t offset, unsigned number)
{
    const std::string digits = std::to_string(number);
    return "amd-" + std::to_string(offset) + "-" + std::string(32 - digits.size(), '0') + digits;
}

/// Non-idempotent request in slot 0 with a deadline two seconds after `start`.
inline RequestInfo payment(const std::string &id, IdOrigin origin)
{
    RequestInfo request;
    request.id = core::RequestId(id);
    request.origin = origin;
    request.service = core::ServiceName("till");
    request.fingerprint = 77;
    request.deadline = start + seconds(2);
    return request;
}

/// Idempotent request.
inline RequestInfo stockRead(const std::string &id)
{
    RequestInfo request = payment(id, IdOrigin::Instance);
    request.idempotent = true;
    return request;
}

inline std::shared_ptr<const StoredResponse> responseOf(std::string body)
{
    StoredResponse response;
    response.body = std::move(body);
    return std::make_shared<const StoredResponse>(std::move(response));
}

inline Completion answeredWith(std::string body)
{
    Completion completion;
    completion.response = *responseOf(std::move(body));
    return completion;
}

inline Completion failedWith(RunOutcome outcome, core::ErrorKind kind)
{
    Completion completion;
    completion.outcome = outcome;
    completion.kind = kind;
    return completion;
}

/// First action of type `Wanted`, or null.
template<class Wanted>
const Wanted *findAction(const Actions &actions)
{
    for (const Action &action : actions) {
        if (const Wanted *wanted = std::get_if<Wanted>(&action))
            return wanted;
    }
    return nullptr;
}

template<class Wanted>
std::size_t countActions(const Actions &actions)
{
    return static_cast<std::size_t>(
            std::count_if(actions.begin(), actions.end(), [](const Action &action) {
                return std::holds_alternative<Wanted>(action);
            }));
}

inline std::shared_ptr<tables::Guarded<CrashFilter>> makeCrashFilter()
{
    return std::make_shared<tables::Guarded<CrashFilter>>(tables::LockRank::Requests);
}

} // namespace amaranthdale::decisions::test
