// Events that the parts of an instance record for reports.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/concurrency_limit.h"

#include <string_view>

namespace amaranthdale::report {

/// How a request ended, as its caller was told.
enum class RequestOutcome { Answered, NotRun, Unknown };

/// Why a request was certainly not run.
enum class NotRunReason {
    None,            ///< It was not refused.
    Overloaded,      ///< Admission control had no room before the deadline.
    NoOwner,         ///< Its slot has no owner now.
    NoAuthority,     ///< The controller could not prove that it has not been replaced.
    Fenced,          ///< The backend server holds a higher epoch.
    Unreachable,     ///< No byte of the request reached the backend server.
    CrashProtection, ///< Its fingerprint crashed two backend servers.
    Stopping,        ///< The instance or the backend server is being stopped.
    InvalidRequest,  ///< The caller's request was malformed.
    Cancelled,       ///< The caller went away first.
};

using decisions::LimitReason;

/// Why slots got another owner.
enum class OwnershipCause {
    FirstAssignment, ///< The slots had no owner.
    Balance,         ///< Placement evened out the load.
    HotKey,          ///< A hot key was moved individually.
    ServerLeaving,   ///< The document says that the server leaves, or no longer names it.
    DataCentreDrain, ///< Operators took the server's data centre out of service.
    ServerLost,      ///< The lease expired after the loss of the server.
    WaitedOut,       ///< Neither server nor former controller answered.
};

/// Names in camelCase, as reports show them.
std::string_view nameOf(RequestOutcome outcome);
std::string_view nameOf(NotRunReason reason);
std::string_view nameOf(LimitReason reason);
std::string_view nameOf(OwnershipCause cause);

/// A request that got its response or refusal.
struct RequestFinished
{
    core::ServiceName service;
    core::DataCentreName dataCentre; ///< Of the backend server; empty when none was chosen.
    core::ServerName server;         ///< Empty when none was chosen.
    RequestOutcome outcome = RequestOutcome::Answered;
    NotRunReason reason = NotRunReason::None; ///< Set for `NotRun`.
    bool retried = false;
    bool hedged = false;
    core::Duration latency{}; ///< From the caller's request to the end of its response.
};

/// Load of a backend server as its controller sees it.
struct ServerLoad
{
    core::ServiceName service;
    core::ServerName server;
    std::uint64_t inFlight = 0;
    std::uint64_t queued = 0;
    std::uint64_t limit = 0; ///< Requests allowed in flight.
    LimitReason reason = LimitReason::Start;
};

/// Slots that a replayed record gave to a backend server.
struct OwnershipChanged
{
    core::ServiceName service;
    core::ServerName server;
    std::uint64_t slots = 0;
    OwnershipCause cause = OwnershipCause::Balance;
};

/// An interval in which slots of a backend server served nobody; it has ended.
struct SlotsUnavailable
{
    core::ServiceName service;
    core::ServerName server; ///< The owner when the interval began.
    std::uint64_t slots = 0;
    core::TimePoint begin;
    core::TimePoint end;
};

} // namespace amaranthdale::report
