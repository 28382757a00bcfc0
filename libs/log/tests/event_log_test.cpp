// Tests of the event log: escaping of untrusted values, and a rate limit that reports what it
// suppresses.
#include "amaranthdale/clock/manual_clock.h"
#include "amaranthdale/log/capturing_log.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::log;
using namespace std::chrono_literals;

namespace {

class VectorSink : public LineSink
{
public:
    void writeLine(Severity, const std::string &line) override { this->lines.push_back(line); }

    std::vector<std::string> lines;
};

} // namespace

TEST_CASE("a value from a caller can't inject a pair or a line")
{
    const std::string line = formatLine({}, Severity::Warning, "request-refused",
                                        {{"key", "a\" outcome=answered\nevent=forged\r\x1b\\"}});
    CHECK(line
          == "time=1970-01-01T00:00:00.000Z severity=warning event=request-refused "
             "key=\"a\\\" outcome=answered\\nevent=forged\\x0d\\x1b\\\\\"");
}

TEST_CASE("plain values are not quoted and empty ones are, so that a line can be split into its "
          "pairs")
{
    CHECK(formatLine(std::chrono::system_clock::time_point(1500ms), Severity::Info, "started",
                     {{"port", "80"}, {"data centre", ""}})
          == "time=1970-01-01T00:00:01.500Z severity=info event=started port=80 data_centre=\"\"");
}

TEST_CASE("repeated events are limited, and what was suppressed is counted once the interval ends")
{
    clock::ManualClock clock;
    VectorSink sink;
    const auto log = makeEventLog(clock, sink, LogOptions{Severity::Info, 2, 10s});
    for (int repeat = 0; repeat < 5; ++repeat)
        log->write(Severity::Warning, "connect-failed", {{"repeat", std::to_string(repeat)}});
    log->write(Severity::Info, "other", {});
    CHECK(sink.lines.size() == 3);

    clock.advance(10s);
    REQUIRE(sink.lines.size() == 4);
    CHECK(sink.lines[3].find("severity=warning event=connect-failed suppressed=3")
          != std::string::npos);
    log->write(Severity::Warning, "connect-failed", {});
    CHECK(sink.lines.size() == 5);
}

TEST_CASE("a timer that fires after the log is destroyed writes nothing")
{
    clock::ManualClock clock;
    VectorSink sink;
    auto log = makeEventLog(clock, sink, LogOptions{Severity::Info, 0, 1s});
    log->write(Severity::Error, "late", {});
    log.reset();
    clock.advance(2s);
    CHECK(sink.lines.empty());
}

TEST_CASE("events below the minimum severity are dropped")
{
    clock::ManualClock clock;
    VectorSink sink;
    const auto log = makeEventLog(clock, sink, LogOptions{Severity::Warning});
    log->write(Severity::Info, "detail", {});
    CHECK(sink.lines.empty());
}

TEST_CASE("the log4cplus sink accepts lines of every severity")
{
    const auto sink = makeStandardErrorSink();
    sink->writeLine(Severity::Info, "time=test severity=info event=sink-check");
}

TEST_CASE("the capturing log keeps events with their fields for tests")
{
    CapturingLog log;
    EventLog &base = log;
    base.write(Severity::Info, "started", {{"port", "80"}});
    REQUIRE(log.count("started") == 1);
    CHECK(log.events()[0].find("port") == "80");
    CHECK_FALSE(log.events()[0].find("address"));
}
