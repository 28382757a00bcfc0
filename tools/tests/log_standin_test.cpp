// Tests of the log stand-in. An incorrect fault would give fault tests wrong results.
#include "log_standin/log_handler.h"
#include "recorder.h"

using namespace amaranthdale;
using namespace amaranthdale::tools;
using namespace std::chrono_literals;

namespace {

struct LogFixture : Recorder
{
    testing::Reply append(const std::string &body)
    {
        return this->send(this->log, {"POST", "/streams/c/records", {}, body});
    }

    testing::Reply read(const std::string &query)
    {
        return this->send(this->log, {"GET", "/streams/c/records?" + query, {}, {}});
    }

    testing::Reply control(const std::string &body)
    {
        return this->send(this->log, {"PUT", "/control", {}, body});
    }

    LogHandler log{this->clock, this->sink, 3};
};

} // namespace

TEST_CASE_FIXTURE(LogFixture, "records get ascending offsets and are read back in pages")
{
    CHECK(append("a").body() == R"({"offset":1})");
    CHECK(append("b").body() == R"({"offset":2})");
    CHECK(read("from=2").body() == R"({"first":1,"next":3,"records":[{"offset":2,"body":"b"}]})");
    CHECK(read("from=1&max=1").body()
          == R"({"first":1,"next":3,"records":[{"offset":1,"body":"a"}]})");
    CHECK(read("from=x").status() == 400);
    CHECK(append("\xff").status() == 400);
    REQUIRE(sink.events.size() == 2);
    CHECK(std::get<history::AppendEvent>(sink.events[1]).offset.value == 2);
}

TEST_CASE_FIXTURE(LogFixture, "retention removes the oldest records and advances the first offset")
{
    for (const char *body : {"a", "b", "c", "d"})
        append(body);
    CHECK(read("from=1&max=1").body()
          == R"({"first":2,"next":5,"records":[{"offset":2,"body":"b"}]})");
}

TEST_CASE_FIXTURE(LogFixture, "a long poll ends with the next record or at its timeout")
{
    const auto first = read("from=1&waitMs=500");
    CHECK_FALSE(first.done());
    append("a");
    CHECK(first.body() == R"({"first":1,"next":2,"records":[{"offset":1,"body":"a"}]})");
    const auto second = read("from=2&waitMs=500");
    clock.advance(499ms);
    CHECK_FALSE(second.done());
    clock.advance(1ms);
    CHECK(second.body() == R"({"first":1,"next":2,"records":[]})");
}

TEST_CASE_FIXTURE(LogFixture, "while down, the log appends nothing and refuses pending reads")
{
    const auto waiting = read("from=1&waitMs=500");
    CHECK(control(R"({"down":true})").status() == 200);
    CHECK(waiting.status() == 503);
    CHECK(append("a").status() == 503);
    CHECK(read("from=1").status() == 503);
    control(R"({"down":false})");
    CHECK(append("b").body() == R"({"offset":1})");
    CHECK(control(R"({"dwon":true})").status() == 400);
}

TEST_CASE_FIXTURE(LogFixture, "a lost response follows an append that took effect")
{
    control(R"({"loseAppendResponses":1})");
    CHECK_FALSE(append("a").bodyArrived());
    CHECK(append("b").body() == R"({"offset":2})");
}

TEST_CASE_FIXTURE(LogFixture, "a delayed append takes effect even if the log is down by then")
{
    control(R"({"effectDelay":"5s"})");
    const auto late = append("late");
    control(R"({"effectDelay":"0s"})");
    CHECK(append("early").body() == R"({"offset":1})");
    control(R"({"down":true})");
    clock.advance(5s);
    CHECK(late.body() == R"({"offset":2})");
}

TEST_CASE_FIXTURE(LogFixture, "append responses and reads are delayed")
{
    control(R"({"appendDelay":"1s","readDelay":"2s"})");
    const auto appended = append("a");
    const auto page = read("from=1");
    clock.advance(1s);
    CHECK(appended.done());
    CHECK_FALSE(page.done());
    clock.advance(1s);
    CHECK(page.body() == R"({"first":1,"next":2,"records":[{"offset":1,"body":"a"}]})");
}
