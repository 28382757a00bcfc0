// Tests of the manual clock, which all timing tests use.
#include "amaranthdale/clock/manual_clock.h"

#include <doctest/doctest.h>

#include <vector>

using namespace amaranthdale;
using namespace std::chrono_literals;

TEST_CASE("timers run in order of due time, and the clock shows that time while they run")
{
    clock::ManualClock clock;
    const core::TimePoint start = clock.now();
    std::vector<core::Duration> seen;
    clock.schedule(start + 20ms, [&] { seen.push_back(clock.now() - start); });
    clock.schedule(start + 10ms, [&] {
        seen.push_back(clock.now() - start);
        clock.schedule(start + 15ms, [&] { seen.push_back(clock.now() - start); });
    });
    clock.advance(12ms);
    CHECK(seen == std::vector<core::Duration>{10ms});
    clock.advance(100ms);
    CHECK(seen == std::vector<core::Duration>{10ms, 15ms, 20ms});
    CHECK(clock.now() == start + 112ms);
}

TEST_CASE("a cancelled timer never runs")
{
    clock::ManualClock clock;
    bool ran = false;
    clock.cancel(clock.schedule(clock.now() + 1ms, [&] { ran = true; }));
    clock.advance(1s);
    CHECK_FALSE(ran);
}
