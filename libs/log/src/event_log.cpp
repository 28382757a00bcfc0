// Log with a limit on repeated events.
#include "amaranthdale/log/event_log.h"

#include <algorithm>
#include <map>
#include <mutex>

namespace amaranthdale::log {

namespace {

// Number of event names with a counter. Names are constants of the code, so more of them mean that
// someone passes variable text; such events share one counter instead of growing the table.
constexpr std::size_t mostEventNames = 512;
constexpr std::string_view otherEvents = "other-events";

// Shared with timers, which can run after the log is gone.
class LimitedLog : public std::enable_shared_from_this<LimitedLog>
{
public:
    LimitedLog(clock::Clock &clockToUse, LineSink &sinkToUse, LogLimits limitsToUse)
        : clock(clockToUse), sink(sinkToUse), limits(limitsToUse)
    { }

    void write(Severity severity, std::string_view event, const std::vector<Field> &fields)
    {
        if (severity < this->limits.least || !this->admit(severity, event))
            return;
        this->sink.writeLine(severity, formatLine(this->clock.wallNow(), severity, event, fields));
    }

private:
    struct Counter
    {
        core::TimePoint windowEnd;
        unsigned written = 0;
        std::uint64_t suppressed = 0;
        Severity worst = Severity::Debug; // Of the suppressed lines.
    };

    bool admit(Severity severity, std::string_view event)
    {
        const core::TimePoint now = this->clock.now();
        std::unique_lock lock(this->mutex);
        const auto [name, counter] = this->counterOf(event);
        // A window with suppressed lines is closed by its timer, which reports them.
        if (now >= counter->windowEnd && counter->suppressed == 0)
            *counter = Counter{now + this->limits.interval};
        if (counter->written < this->limits.linesPerEvent) {
            ++counter->written;
            return true;
        }
        counter->worst = std::max(counter->worst, severity);
        const bool first = ++counter->suppressed == 1;
        const core::TimePoint end = counter->windowEnd;
        lock.unlock();
        if (first)
            this->scheduleReport(std::string(name), end);
        return false;
    }

    std::pair<std::string_view, Counter *> counterOf(std::string_view event)
    {
        auto found = this->counters.find(event);
        if (found == this->counters.end()) {
            const bool full = this->counters.size() >= mostEventNames;
            found = this->counters.try_emplace(std::string(full ? otherEvents : event)).first;
        }
        return {found->first, &found->second};
    }

    void scheduleReport(std::string event, core::TimePoint time)
    {
        this->clock.schedule(time, [weak = this->weak_from_this(), event = std::move(event)] {
            if (const auto log = weak.lock())
                log->reportSuppressed(event);
        });
    }

    void reportSuppressed(const std::string &event)
    {
        Counter closed;
        {
            std::lock_guard lock(this->mutex);
            Counter &counter = this->counters[event];
            closed = counter;
            counter = Counter{this->clock.now() + this->limits.interval};
        }
        const std::vector<Field> fields{{"suppressed", std::to_string(closed.suppressed)}};
        this->sink.writeLine(closed.worst,
                             formatLine(this->clock.wallNow(), closed.worst, event, fields));
    }

    clock::Clock &clock;
    LineSink &sink;
    const LogLimits limits;
    // A leaf lock outside the order of tables: no other lock is taken while it is held.
    std::mutex mutex;
    std::map<std::string, Counter, std::less<>> counters;
};

class ProcessLog : public EventLog
{
public:
    using EventLog::write;

    explicit ProcessLog(std::shared_ptr<LimitedLog> sharedLog) : log(std::move(sharedLog)) { }

    void write(Severity severity, std::string_view event, std::vector<Field> fields) override
    {
        this->log->write(severity, event, fields);
    }

private:
    std::shared_ptr<LimitedLog> log;
};

} // namespace

std::unique_ptr<EventLog> makeEventLog(clock::Clock &clock, LineSink &sink, LogLimits limits)
{
    return std::make_unique<ProcessLog>(std::make_shared<LimitedLog>(clock, sink, limits));
}

} // namespace amaranthdale::log
