// Events that test programs note in history files, one JSON object a line.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/records/fault.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace amaranthdale::history {

/// Calendar time with microseconds. All programs of a test share one machine and its clock.
using WallTime = std::chrono::sys_time<std::chrono::microseconds>;

/// A backend server started, or turned into a new incarnation: it holds no grant.
struct StartEvent
{
    WallTime at;
    core::ServerName server;
    core::Incarnation incarnation;

    bool operator==(const StartEvent &) const = default;
};

/// Slots `first` to `last`, both included.
struct SlotRange
{
    core::SlotIndex first = 0;
    core::SlotIndex last = 0;

    bool operator==(const SlotRange &) const = default;
};

/// A backend server accepted a grant, which replaces its former one.
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

/// A backend server began to run a request.
struct RunEvent
{
    WallTime at;
    core::ServerName server;
    core::ServiceName service;
    core::RequestId requestId; ///< Empty when the request carried none.
    std::string method;
    std::optional<core::SlotIndex> slot;
    std::string hotKey; ///< Empty when the request named none.
    core::Fence fence;
    unsigned running = 0; ///< Requests running at this server, this one included.
    unsigned limit = 0;   ///< Requests that it can sustain at this moment.

    bool operator==(const RunEvent &) const = default;
};

/// What a caller learnt about the fate of a request.
enum class CallOutcome {
    Answered,
    NotRun,
    Unknown, ///< The response said so, or there was none.
};

/// What a caller found when it checked a response.
enum class ResponseCheck {
    None, ///< There was no complete response to check.
    Right,
    Wrong, ///< Id or body of another request.
    Short, ///< Fewer bytes than expected, without an error.
};

/// One attempt of a caller at a request.
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
    unsigned status = 0; ///< 0 when there was no response.

    bool operator==(const CallEvent &) const = default;
};

/// A record took its place on the log.
struct AppendEvent
{
    WallTime at;
    core::LogOffset offset;
    std::string body;

    bool operator==(const AppendEvent &) const = default;
};

using Event = std::variant<StartEvent, GrantEvent, RunEvent, CallEvent, AppendEvent>;

/// Writes an event as one line without its line end.
std::string encodeEvent(const Event &event);

/// Reads what `encodeEvent` writes.
records::Checked<Event> decodeEvent(std::string_view line);

/// Time of an event; of a call, its beginning.
WallTime timeOf(const Event &event);

} // namespace amaranthdale::history
