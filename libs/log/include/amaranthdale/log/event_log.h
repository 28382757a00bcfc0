// Log of events: one line of key=value pairs for each, through log4cplus.
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

/// Importance of an event, in rising order.
enum class Severity { Debug, Info, Warning, Error };

/// Name of the severity in lower case, as lines and settings show it.
std::string_view severityName(Severity severity);

/// One pair of a line. Keys come from the code; values may come from anywhere.
struct Field
{
    std::string key;
    std::string value;

    bool operator==(const Field &) const = default;
};

/// Where all parts of the system report events. Thread-safe; never blocks on a peer.
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

/// Receives finished lines, without their line ends. Thread-safe.
class LineSink
{
public:
    virtual ~LineSink() = default;

    virtual void writeLine(Severity severity, const std::string &line) = 0;
};

/// A sink that passes lines to the log4cplus logger "amaranthdale", which it directs to standard
/// error.
std::unique_ptr<LineSink> makeStandardErrorSink();

/// A sink that directs the same logger to standard output. Lines that the reader does not take at
/// once are dropped and counted.
std::unique_ptr<LineSink> makeStandardOutputSink();

/// Bounds of a log.
struct LogLimits
{
    Severity least = Severity::Info; ///< Events below it are dropped.
    unsigned linesPerEvent = 20;     ///< Lines of one event name in each `interval`.
    core::Duration interval = std::chrono::seconds(10);
};

/// The log of a process. Lines of one event beyond the limit are counted, and the count is written
/// as `suppressed` when the interval ends. `clock` and `sink` must outlive the log.
std::unique_ptr<EventLog> makeEventLog(clock::Clock &clock, LineSink &sink, LogLimits limits = {});

/// Formats a line: time in UTC with milliseconds, severity, event, then the fields in order.
/// Values are quoted and escaped wherever they could be read as another pair or line.
std::string formatLine(std::chrono::system_clock::time_point time, Severity severity,
                       std::string_view event, const std::vector<Field> &fields);

} // namespace amaranthdale::log
