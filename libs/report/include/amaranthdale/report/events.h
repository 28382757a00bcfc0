// Events that the components of an instance record for reports.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/concurrency_limit.h"

#include <string_view>

namespace amaranthdale::report {

/// Outcome of a request as reported to its caller.
enum class RequestOutcome { Answered, NotRun, Unknown };

/// Why a request was refused without being executed.
enum class NotRunReason {
    None,            ///< The request was not refused.
    Overloaded,      ///< Admission control could not admit it before its deadline.
    NoOwner,         ///< Its slot currently has no owner.
    NoAuthority,     ///< The controller could not confirm that it has not been replaced.
    Fenced,          ///< The backend server holds a higher epoch.
    Unreachable,     ///< No byte of the request reached the backend server.
    CrashProtection, ///< Requests with its fingerprint crashed two backend servers.
    Stopping,        ///< The instance or the backend server is shutting down.
    InvalidRequest,  ///< The caller's request was malformed.
    Cancelled,       ///< The caller disconnected before the request was run.
};

using decisions::LimitReason;

/// Why slots changed owner.
enum class OwnershipCause {
    FirstAssignment, ///< The slots had no owner.
    Balance,         ///< Placement rebalanced the load.
    HotKey,          ///< A hot key was moved individually.
    ServerLeaving,   ///< The document marks the server as leaving or no longer lists it.
    DataCentreDrain, ///< Operators took the server's data centre out of service.
    ServerLost,      ///< The server was lost and its lease expired.
    WaitedOut,       ///< Neither the server nor its former controller responded.
};

/// Names in camelCase, as shown in reports.
std::string_view nameOf(RequestOutcome outcome);
std::string_view nameOf(NotRunReason reason);
std::string_view nameOf(LimitReason reason);
std::string_view nameOf(OwnershipCause cause);

/// A request that was completed: answered, refused or of unknown outcome.
struct RequestFinished
{
    core::ServiceName service;
    core::DataCentreName dataCentre; ///< Of the backend server; empty if none was selected.
    core::ServerName server;         ///< Empty if none was selected.
    RequestOutcome outcome = RequestOutcome::Answered;
    NotRunReason reason = NotRunReason::None; ///< Set if `outcome` is `NotRun`.
    bool retried = false;
    bool hedged = false;
    core::Duration latency{}; ///< From the caller's request to the end of its response.
};

/// Load of a backend server as measured by its controller.
struct ServerLoad
{
    core::ServiceName service;
    core::ServerName server;
    std::uint64_t inFlight = 0;
    std::uint64_t queued = 0;
    std::uint64_t limit = 0; ///< Maximum number of requests in flight.
    LimitReason reason = LimitReason::Start;
};

/// Slots that a replayed log record assigned to a backend server.
struct OwnershipChanged
{
    core::ServiceName service;
    core::ServerName server;
    std::uint64_t slots = 0;
    OwnershipCause cause = OwnershipCause::Balance;
};

/// A completed interval in which slots of a backend server were unavailable.
struct SlotsUnavailable
{
    core::ServiceName service;
    core::ServerName server; ///< Owner at the start of the interval.
    std::uint64_t slots = 0;
    core::TimePoint begin;
    core::TimePoint end;
};

} // namespace amaranthdale::report
