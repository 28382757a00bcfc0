// Events that test programs record in history files, one JSON object per line.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/records/fault.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace amaranthdale::history {

/// Wall-clock time in microseconds. All programs of a test run on one machine and share its clock.
using WallTime = std::chrono::sys_time<std::chrono::microseconds>;

/// A backend server started or took a new incarnation; it holds no grant.
struct StartEvent
{
    WallTime at;
    core::ServerName server;
    core::Incarnation incarnation;

    bool operator==(const StartEvent &) const = default;
};

/// Slots `first` to `last`, inclusive.
struct SlotRange
{
    core::SlotIndex first = 0;
    core::SlotIndex last = 0;

    bool operator==(const SlotRange &) const = default;
};

/// A backend server accepted a grant, which replaces its previous one.
struct GrantEvent
{
    WallTime at;
    WallTime until; ///< Expiry, converted from the server's monotonic clock.
    core::ServerName server;
    core::ServiceName service;
    core::Fence fence;
    std::vector<SlotRange> slots;
    std::vector<std::string> hotKeys;

    bool operator==(const GrantEvent &) const = default;
};

/// A backend server started running a request.
struct RunEvent
{
    WallTime at;
    core::ServerName server;
    core::ServiceName service;
    core::RequestId requestId; ///< Empty if the request had none.
    std::string method;
    std::optional<core::SlotIndex> slot;
    std::string hotKey; ///< Empty if the request had none.
    core::Fence fence;
    unsigned running = 0; ///< Requests running at this server, including this one.
    unsigned limit = 0;   ///< Number of requests that the server can sustain at this time.

    bool operator==(const RunEvent &) const = default;
};

/// Outcome of a request as known to its caller.
enum class CallOutcome {
    Answered,
    NotRun,
    Unknown, ///< Reported as unknown, or no response arrived.
};

/// Result of the caller's check of a response.
enum class ResponseCheck {
    None, ///< No complete response arrived.
    Right,
    Wrong, ///< Contains the id or body of another request.
    Short, ///< Truncated, without an error.
};

/// One attempt of a caller to send a request.
struct CallEvent
{
    WallTime at;
    WallTime until;
    core::RequestId requestId;
    core::ServiceName service;
    std::string method;
    bool idempotent = false;
    CallOutcome outcome = CallOutcome::Unknown;
    ResponseCheck response = ResponseCheck::None;
    unsigned status = 0; ///< 0 if no response arrived.

    bool operator==(const CallEvent &) const = default;
};

/// A record was appended to the log.
struct AppendEvent
{
    WallTime at;
    core::LogOffset offset;
    std::string body;

    bool operator==(const AppendEvent &) const = default;
};

using Event = std::variant<StartEvent, GrantEvent, RunEvent, CallEvent, AppendEvent>;

/// Encodes an event as one line, without a line terminator.
std::string encodeEvent(const Event &event);

/// Decodes the output of `encodeEvent`.
records::ValidationResult<Event> decodeEvent(std::string_view line);

/// Returns the time of an event; for a call, its start.
WallTime timeOf(const Event &event);

} // namespace amaranthdale::history
