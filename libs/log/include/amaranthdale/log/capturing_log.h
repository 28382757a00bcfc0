// Log for tests that keeps events in memory.
#pragma once

#include "amaranthdale/log/event_log.h"

#include <mutex>
#include <optional>

namespace amaranthdale::log {

/// A captured event with its fields.
struct CapturedEvent
{
    Severity severity = Severity::Info;
    std::string event;
    std::vector<Field> fields;

    /// Value of the first field with this key, or nullopt.
    std::optional<std::string> find(std::string_view key) const;
};

/// Keeps every event, without rate limits.
class CapturingLog : public EventLog
{
public:
    using EventLog::write;
    void write(Severity severity, std::string_view event, std::vector<Field> fields) override;

    /// Events so far, in the order of writing.
    std::vector<CapturedEvent> events() const;

    /// Number of events with this name.
    std::size_t count(std::string_view event) const;

private:
    mutable std::mutex mutex;
    std::vector<CapturedEvent> captured;
};

} // namespace amaranthdale::log
