// Event log that limits the rate of repeated events.
#include "amaranthdale/log/event_log.h"

#include <algorithm>
#include <map>
#include <mutex>

namespace amaranthdale::log {

namespace {

// Limit on event names with a counter of their own. Names are constants in the code, so more of
// them mean that variable text is passed as a name; such events share one counter, so that the
// table stays bounded.
constexpr std::size_t maxEventNames = 512;
constexpr std::string_view otherEvents = "other-events";

// Timers hold weak references to it, as they can fire after the log is destroyed.
class RateLimitedLog : public std::enable_shared_from_this<RateLimitedLog>
{
public:
    RateLimitedLog(clock::Clock &logClock, LineSink &lineSink, LogOptions logLimits)
        : clock(logClock), sink(lineSink), limits(logLimits)
    { }

    void write(Severity severity, std::string_view event, const std::vector<Field> &fields)
    {
        if (severity < this->limits.minSeverity || !this->admit(severity, event))
            return;
        this->sink.writeLine(severity, formatLine(this->clock.wallNow(), severity, event, fields));
    }

private:
    struct Counter
    {
        core::TimePoint windowEnd;
        unsigned written = 0;
        std::uint64_t suppressed = 0;
        Severity maxSeverity = Severity::Debug; // Of the suppressed lines.
    };

    bool admit(Severity severity, std::string_view event)
    {
        const core::TimePoint now = this->clock.now();
        std::unique_lock lock(this->mutex);
        const auto [name, counter] = this->findOrAddCounter(event);
        // The timer of a window with suppressed lines reports them and starts the next window.
        if (now >= counter->windowEnd && counter->suppressed == 0)
            *counter = Counter{now + this->limits.interval};
        if (counter->written < this->limits.linesPerEvent) {
            ++counter->written;
            return true;
        }
        counter->maxSeverity = std::max(counter->maxSeverity, severity);
        const bool first = ++counter->suppressed == 1;
        const core::TimePoint end = counter->windowEnd;
        lock.unlock();
        if (first)
            this->scheduleReport(std::string(name), end);
        return false;
    }

    std::pair<std::string_view, Counter *> findOrAddCounter(std::string_view event)
    {
        auto found = this->counters.find(event);
        if (found == this->counters.end()) {
            const bool full = this->counters.size() >= maxEventNames;
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
        Counter finished;
        {
            std::lock_guard lock(this->mutex);
            Counter &counter = this->counters[event];
            finished = counter;
            counter = Counter{this->clock.now() + this->limits.interval};
        }
        const std::vector<Field> fields{{"suppressed", std::to_string(finished.suppressed)}};
        this->sink.writeLine(
                finished.maxSeverity,
                formatLine(this->clock.wallNow(), finished.maxSeverity, event, fields));
    }

    clock::Clock &clock;
    LineSink &sink;
    const LogOptions limits;
    // Leaf lock outside the lock order of the tables: no other lock is taken while it is held.
    std::mutex mutex;
    std::map<std::string, Counter, std::less<>> counters;
};

class ProcessLog : public EventLog
{
public:
    using EventLog::write;

    explicit ProcessLog(std::shared_ptr<RateLimitedLog> sharedLog) : log(std::move(sharedLog)) { }

    void write(Severity severity, std::string_view event, std::vector<Field> fields) override
    {
        this->log->write(severity, event, fields);
    }

private:
    std::shared_ptr<RateLimitedLog> log;
};

} // namespace

std::unique_ptr<EventLog> makeEventLog(clock::Clock &clock, LineSink &sink, LogOptions limits)
{
    return std::make_unique<ProcessLog>(std::make_shared<RateLimitedLog>(clock, sink, limits));
}

} // namespace amaranthdale::log
