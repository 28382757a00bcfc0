// Tests of limits, queue, selection and the hot key sketch: each guards against overload,
// imbalance or unfair shares.
#include "amaranthdale/decisions/hot_key_sketch.h"
#include "amaranthdale/decisions/server_selector.h"
#include "request_fixtures.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::decisions;
using namespace amaranthdale::decisions::test;

namespace {

// Answers at `latency`, with the limit used, for `span`. Returns the time at the end.
core::TimePoint answerFor(ConcurrencyLimit &limit, core::Duration latency, core::Duration span,
                          core::TimePoint now)
{
    const core::TimePoint end = now + span;
    while (now < end) {
        const unsigned inFlight = limit.current(now);
        now += latency / inFlight;
        limit.answered(latency, inFlight, now);
    }
    return now;
}

const LimitBounds fourSlots{1, 4};
constexpr core::Duration usual = milliseconds(5);

std::size_t timesChosen(const ServerSelector &selector, const std::vector<ServerView> &servers,
                        std::size_t index, const core::ServerName &except = {})
{
    RandomSource random(7);
    std::size_t count = 0;
    for (int draw = 0; draw < 1000; ++draw)
        count += selector.choose(servers, except, start, random) == index ? 1 : 0;
    return count;
}

std::vector<ServerView> threeServers()
{
    std::vector<ServerView> servers(3);
    for (std::size_t index = 0; index < servers.size(); ++index) {
        servers[index].name = core::ServerName(std::string(1, static_cast<char>('a' + index)));
        servers[index].controllerKnown = true;
        servers[index].limit = 4;
        servers[index].observedAt = start;
    }
    return servers;
}

} // namespace

TEST_CASE("a cold server gets one request at a time and one more per second of good answers")
{
    AdaptiveLimit limit(fourSlots, start);
    CHECK(limit.current(start) == 1);
    core::TimePoint now = answerFor(limit, usual, milliseconds(900), start);
    CHECK(limit.current(now) == 1);
    now = answerFor(limit, usual, milliseconds(200), now);
    CHECK(limit.current(now) == 2);
    now = answerFor(limit, usual, seconds(10), now);
    CHECK(limit.current(now) == 4);
}

TEST_CASE("a limit that isn't used doesn't grow, for nothing shows that more would be borne")
{
    AdaptiveLimit limit(LimitBounds{4, 8}, start);
    core::TimePoint now = start;
    for (int answer = 0; answer < 1000; ++answer)
        limit.answered(usual, 1, now += milliseconds(10));
    CHECK(limit.current(now) == 4);
}

TEST_CASE("a straggler is cut within five answers and back at full limit seconds after it recovers")
{
    AdaptiveLimit limit(fourSlots, start);
    core::TimePoint now = answerFor(limit, usual, seconds(10), start);
    REQUIRE(limit.current(now) == 4);
    for (int answer = 0; answer < 5; ++answer)
        limit.answered(usual * 10, 4, now);
    CHECK(limit.current(now) == 1);
    CHECK(limit.reason(now) == "1 of 4 slots: latency step");
    CHECK(limit.reasonCode(now) == LimitReason::LatencyStep);
    now = answerFor(limit, usual * 10, seconds(30), now);
    CHECK(limit.current(now) == 1);
    now = answerFor(limit, usual, seconds(4), now);
    CHECK(limit.current(now) == 4);
}

TEST_CASE("a report tells a limit that started low from one that was cut or stands at the slots")
{
    AdaptiveLimit limit(fourSlots, start);
    core::TimePoint now = start;
    CHECK(limit.reasonCode(now) == LimitReason::Start);
    now = answerFor(limit, usual, seconds(10), now);
    CHECK(limit.reasonCode(now) == LimitReason::RequestSlots);
    limit.reported({core::Incarnation(1), 4, 2.0}, now);
    CHECK(limit.reasonCode(now) == LimitReason::ServerReport);
    limit.refused(now);
    limit.reported({core::Incarnation(1), 0, 0.1}, now);
    CHECK(limit.reasonCode(now) == LimitReason::Refusals);
    limit.connectionLost(now);
    CHECK(limit.reasonCode(now) == LimitReason::ConnectionLost);
    limit.restarted(now);
    CHECK(limit.reasonCode(now) == LimitReason::Start);
}

TEST_CASE("a frozen server, which answers nothing, is cut by the age of what it holds")
{
    AdaptiveLimit limit(fourSlots, start);
    const core::TimePoint now = answerFor(limit, usual, seconds(10), start);
    limit.waiting(usual * 10, now);
    CHECK(limit.current(now) == 4);
    limit.waiting(usual * 17, now);
    CHECK(limit.current(now) == 1);
}

TEST_CASE("a server that turned cold without warning is treated like a fresh one")
{
    AdaptiveLimit limit(fourSlots, start);
    core::TimePoint now = answerFor(limit, usual, seconds(10), start);
    SUBCASE("refusal")
    {
        limit.refused(now);
    }
    SUBCASE("connection loss")
    {
        limit.connectionLost(now);
    }
    SUBCASE("restart")
    {
        limit.reported(LoadReport{core::Incarnation(1), 0, 0}, now);
        limit.reported(LoadReport{core::Incarnation(2), 0, 0}, now);
    }
    CHECK(limit.current(now) == 1);
    now = answerFor(limit, usual, milliseconds(900), now);
    CHECK(limit.current(now) == 1);
}

TEST_CASE("a server that fails at each step up is tried less often")
{
    AdaptiveLimit limit(fourSlots, start);
    core::TimePoint now = start;
    int failures = 0;
    while (now < start + seconds(30)) {
        now = answerFor(limit, usual, milliseconds(100), now);
        if (limit.current(now) > 1) {
            limit.refused(now);
            ++failures;
        }
    }
    CHECK(failures <= 9);
}

TEST_CASE("a cold server that slows down without refusing isn't taken for healthy")
{
    // It bears one request; a second makes both take four times as long.
    AdaptiveLimit limit(fourSlots, start);
    core::TimePoint now = start;
    unsigned highest = 0;
    core::Duration above{};
    while (now < start + seconds(30)) {
        const unsigned inFlight = limit.current(now);
        const core::Duration latency = usual * inFlight * inFlight;
        highest = std::max(highest, inFlight);
        above += inFlight > 1 ? latency / inFlight : core::Duration();
        limit.answered(latency, inFlight, now += latency / inFlight);
    }
    CHECK(highest == 2);
    CHECK(above < seconds(3));
}

TEST_CASE("a report lowers the limit, never raises it, and lapses when it isn't repeated")
{
    AdaptiveLimit limit(fourSlots, start);
    limit.reported(LoadReport{core::Incarnation(1), 0, 0.0}, start);
    CHECK(limit.current(start) == 1);
    const core::TimePoint now = answerFor(limit, usual, seconds(10), start);
    limit.reported(LoadReport{core::Incarnation(1), 4, 2.0}, now);
    CHECK(limit.current(now) == 2);
    CHECK(limit.current(now + seconds(3)) == 4);
}

TEST_CASE("random latencies of a healthy server don't cut its limit")
{
    AdaptiveLimit limit(fourSlots, start);
    RandomSource random(3);
    core::TimePoint now = start;
    int cuts = 0;
    unsigned before = 1;
    for (int answer = 0; answer < 100'000; ++answer) {
        // Sum of two uniform numbers, now and then a slow one.
        const bool slow = randomBelow(random, 100) < 3;
        const std::uint64_t micros =
                (randomBelow(random, 5000) + randomBelow(random, 5000)) * (slow ? 6 : 1);
        now += milliseconds(1);
        limit.answered(std::chrono::microseconds(micros), limit.current(now), now);
        cuts += limit.current(now) < before ? 1 : 0;
        before = limit.current(now);
    }
    CHECK(cuts == 0);
    CHECK(before == 4);
}

TEST_CASE("brands share a server by weight, and a greedy one can't fill the queue")
{
    FairQueue queue({Brand{core::BrandName("a"), 1}, Brand{core::BrandName("b"), 3}}, 8);
    for (Ticket ticket = 1; ticket <= 8; ++ticket)
        CHECK(queue.push(QueueEntry{ticket, core::BrandName("a"), start}).accepted);
    CHECK_FALSE(queue.push(QueueEntry{9, core::BrandName("a"), start}).accepted);
    for (Ticket ticket = 11; ticket <= 14; ++ticket) {
        const PushResult result = queue.push(QueueEntry{ticket, core::BrandName("b"), start});
        CHECK(result.accepted);
        CHECK(result.evicted == 8 - (ticket - 11));
    }
    CHECK(queue.size() == 8);
    std::string order;
    while (const auto entry = queue.pop())
        order += entry->brand.value;
    CHECK(order == "abbbabaa");
}

TEST_CASE("the wait named in a refusal grows with what is ahead, not with other brands' backlog")
{
    FairQueue queue({}, 100);
    for (Ticket ticket = 1; ticket <= 50; ++ticket)
        queue.push(QueueEntry{ticket, core::BrandName("greedy"), start});
    CHECK(queue.expectedWait(core::BrandName("greedy"), milliseconds(4), 4) == milliseconds(51));
    CHECK(queue.expectedWait(core::BrandName("small"), milliseconds(4), 4) == milliseconds(2));
}

TEST_CASE("expired entries leave the queue, whatever their place")
{
    FairQueue queue({}, 8);
    queue.push(QueueEntry{1, core::BrandName("a"), start + seconds(2)});
    queue.push(QueueEntry{2, core::BrandName("a"), start + seconds(1)});
    const auto expired = queue.takeExpired(start + seconds(1));
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].ticket == 2);
    CHECK(queue.pop()->ticket == 1);
    CHECK_FALSE(queue.pop());
}

TEST_CASE("servers that are drained, leaving or without a known controller get no new work")
{
    std::vector<ServerView> servers = threeServers();
    servers[0].drained = true;
    servers[1].leaving = true;
    servers[2].controllerKnown = false;
    RandomSource random(1);
    CHECK_FALSE(TwoChoices().choose(servers, {}, start, random));
    CHECK_FALSE(LeastReportedLoad().choose(servers, {}, start, random));
    servers[1].leaving = false;
    CHECK(TwoChoices().choose(servers, servers[1].name, start, random) == 1);
}

TEST_CASE("two choices avoid a loaded server, and a retry avoids the one that was tried")
{
    std::vector<ServerView> servers = threeServers();
    servers[0].inFlight = 4;
    CHECK(timesChosen(TwoChoices(), servers, 0) == 0);
    CHECK(timesChosen(TwoChoices(), servers, 1, servers[1].name) == 0);
}

TEST_CASE("an old view of an idle server doesn't attract everything")
{
    std::vector<ServerView> servers = threeServers();
    servers[0].observedAt = start - seconds(5);
    servers[1].inFlight = 1;
    servers[2].inFlight = 1;
    CHECK(timesChosen(TwoChoices(), servers, 0) == 0);
    CHECK(observedLoad(servers[0], start) == doctest::Approx(0.5));
    servers[1].sentSince = 4;
    CHECK(timesChosen(TwoChoices(), servers, 0) > 0);
}

TEST_CASE("the sketch names the hot key among many cold ones, and forgets it when it cools")
{
    HotKeySketch sketch(64, seconds(1));
    RandomSource random(5);
    core::TimePoint now = start;
    for (int request = 0; request < 20'000; ++request) {
        const bool hot = randomBelow(random, 10) < 2;
        sketch.observe(hot ? 42 : 1000 + randomBelow(random, 100'000), now += milliseconds(1));
    }
    const std::vector<HotKey> keys = sketch.keysAbove(0.1, now);
    REQUIRE(keys.size() == 1);
    CHECK(keys[0].keyHash == 42);
    CHECK(keys[0].share == doctest::Approx(0.2).epsilon(0.2));
    for (int request = 0; request < 10'000; ++request)
        sketch.observe(1000 + randomBelow(random, 100'000), now += milliseconds(1));
    CHECK(sketch.keysAbove(0.1, now).empty());
}
