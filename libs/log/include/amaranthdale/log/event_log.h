// Event log: one line of key=value pairs per event, written through log4cplus.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/core/types.h"

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::log {

/// Severity of an event, in ascending order.
enum class Severity { Debug, Info, Warning, Error };

/// Name of the severity in lower case, as used in log lines and settings.
std::string_view severityName(Severity severity);

/// One key=value pair of a line. Keys are constants in the code; values may be untrusted input.
struct Field
{
    std::string key;
    std::string value;

    bool operator==(const Field &) const = default;
};

/// Interface through which all components log events. Thread-safe; never blocks on a peer.
class EventLog
{
public:
    virtual ~EventLog() = default;

    /// Writes one line. `event` is a short constant in kebab case such as "takeover-begun".
    virtual void write(Severity severity, std::string_view event, std::vector<Field> fields) = 0;

    void write(Severity severity, std::string_view event, std::initializer_list<Field> fields)
    {
        this->write(severity, event, std::vector<Field>(fields));
    }
};

/// Receives formatted lines, without line terminators. Thread-safe.
class LineSink
{
public:
    virtual ~LineSink() = default;

    virtual void writeLine(Severity severity, const std::string &line) = 0;
};

/// A sink that configures the log4cplus logger "amaranthdale" to write to standard error.
std::unique_ptr<LineSink> makeStandardErrorSink();

/// A sink that configures the same logger to write to standard output. Lines that can't be written
/// without blocking are dropped and counted.
std::unique_ptr<LineSink> makeStandardOutputSink();

/// Severity threshold and rate limit of a log.
struct LogOptions
{
    Severity minSeverity = Severity::Info; ///< Less severe events are dropped.
    unsigned linesPerEvent = 20;           ///< Limit per event name and `interval`.
    core::Duration interval = std::chrono::seconds(10);
};

/// Creates the log of a process. Lines of an event beyond the limit are only counted, and the count
/// is logged as `suppressed` when the interval ends. `clock` and `sink` must outlive the log.
std::unique_ptr<EventLog> makeEventLog(clock::Clock &clock, LineSink &sink, LogOptions limits = {});

/// Formats a line: time in UTC with milliseconds, severity, event, then the fields in order.
/// Values that could be parsed as another pair or line are quoted and escaped.
std::string formatLine(std::chrono::system_clock::time_point time, Severity severity,
                       std::string_view event, const std::vector<Field> &fields);

} // namespace amaranthdale::log
