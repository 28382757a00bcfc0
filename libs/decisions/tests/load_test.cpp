// Tests of concurrency limits, fair queue, server selection and the hot key sketch. They guard
// against overload, imbalance and unfair shares.
#include "amaranthdale/decisions/hot_key_sketch.h"
#include "amaranthdale/decisions/server_selector.h"
#include "request_fixtures.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::decisions;
using namespace amaranthdale::decisions::test;

namespace {

// Keeps the limit fully used with responses at `latency` for `span`. Returns the end time.
core::TimePoint respondFor(ConcurrencyLimit &limit, core::Duration latency, core::Duration span,
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
constexpr core::Duration normalLatency = milliseconds(5);

std::size_t timesChosen(const ServerSelector &selector, const std::vector<ServerView> &servers,
                        std::size_t index, const core::ServerName &alreadyTried = {})
{
    RandomSource random(7);
    std::size_t count = 0;
    for (int draw = 0; draw < 1000; ++draw)
        count += selector.choose(servers, alreadyTried, start, random) == index ? 1 : 0;
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

TEST_CASE("a cold server starts at one request in flight and gets one more per second of normal "
          "latency")
{
    AdaptiveLimit limit(fourSlots, start);
    CHECK(limit.current(start) == 1);
    core::TimePoint now = respondFor(limit, normalLatency, milliseconds(900), start);
    CHECK(limit.current(now) == 1);
    now = respondFor(limit, normalLatency, milliseconds(200), now);
    CHECK(limit.current(now) == 2);
    now = respondFor(limit, normalLatency, seconds(10), now);
    CHECK(limit.current(now) == 4);
}

TEST_CASE("a limit that isn't used doesn't grow")
{
    AdaptiveLimit limit(LimitBounds{4, 8}, start);
    core::TimePoint now = start;
    for (int response = 0; response < 1000; ++response)
        limit.answered(normalLatency, 1, now += milliseconds(10));
    CHECK(limit.current(now) == 4);
}

TEST_CASE("a straggler's limit is reset within five responses and full again seconds after it "
          "recovers")
{
    AdaptiveLimit limit(fourSlots, start);
    core::TimePoint now = respondFor(limit, normalLatency, seconds(10), start);
    REQUIRE(limit.current(now) == 4);
    for (int response = 0; response < 5; ++response)
        limit.answered(normalLatency * 10, 4, now);
    CHECK(limit.current(now) == 1);
    CHECK(limit.reason(now) == "1 of 4 slots: latency step");
    CHECK(limit.reasonCode(now) == LimitReason::LatencyStep);
    now = respondFor(limit, normalLatency * 10, seconds(30), now);
    CHECK(limit.current(now) == 1);
    now = respondFor(limit, normalLatency, seconds(4), now);
    CHECK(limit.current(now) == 4);
}

TEST_CASE("the reason tells an initial limit from one that was reset or capped by the slots")
{
    AdaptiveLimit limit(fourSlots, start);
    core::TimePoint now = start;
    CHECK(limit.reasonCode(now) == LimitReason::Start);
    now = respondFor(limit, normalLatency, seconds(10), now);
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

TEST_CASE("a frozen server's limit is reset by the age of its pending requests")
{
    AdaptiveLimit limit(fourSlots, start);
    const core::TimePoint now = respondFor(limit, normalLatency, seconds(10), start);
    limit.requestPending(normalLatency * 10, now);
    CHECK(limit.current(now) == 4);
    limit.requestPending(normalLatency * 17, now);
    CHECK(limit.current(now) == 1);
}

TEST_CASE("a server that turns cold again is treated like a cold start")
{
    AdaptiveLimit limit(fourSlots, start);
    core::TimePoint now = respondFor(limit, normalLatency, seconds(10), start);
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
    now = respondFor(limit, normalLatency, milliseconds(900), now);
    CHECK(limit.current(now) == 1);
}

TEST_CASE("the limit of a server that fails after each increase is raised less often")
{
    AdaptiveLimit limit(fourSlots, start);
    core::TimePoint now = start;
    int failures = 0;
    while (now < start + seconds(30)) {
        now = respondFor(limit, normalLatency, milliseconds(100), now);
        if (limit.current(now) > 1) {
            limit.refused(now);
            ++failures;
        }
    }
    CHECK(failures <= 9);
}

TEST_CASE("a cold server that slows down without refusing isn't classified as healthy")
{
    // The server sustains one request; with a second, both take four times as long.
    AdaptiveLimit limit(fourSlots, start);
    core::TimePoint now = start;
    unsigned highest = 0;
    core::Duration timeAboveOne{};
    while (now < start + seconds(30)) {
        const unsigned inFlight = limit.current(now);
        const core::Duration latency = normalLatency * inFlight * inFlight;
        highest = std::max(highest, inFlight);
        timeAboveOne += inFlight > 1 ? latency / inFlight : core::Duration();
        limit.answered(latency, inFlight, now += latency / inFlight);
    }
    CHECK(highest == 2);
    CHECK(timeAboveOne < seconds(3));
}

TEST_CASE("a load report lowers the limit, never raises it, and expires unless repeated")
{
    AdaptiveLimit limit(fourSlots, start);
    limit.reported(LoadReport{core::Incarnation(1), 0, 0.0}, start);
    CHECK(limit.current(start) == 1);
    const core::TimePoint now = respondFor(limit, normalLatency, seconds(10), start);
    limit.reported(LoadReport{core::Incarnation(1), 4, 2.0}, now);
    CHECK(limit.current(now) == 2);
    CHECK(limit.current(now + seconds(3)) == 4);
}

TEST_CASE("random latencies of a healthy server don't reset its limit")
{
    AdaptiveLimit limit(fourSlots, start);
    RandomSource random(3);
    core::TimePoint now = start;
    int resets = 0;
    unsigned previousLimit = 1;
    for (int response = 0; response < 100'000; ++response) {
        // Sum of two uniform numbers; 3% are six times as slow.
        const bool isSlow = randomBelow(random, 100) < 3;
        const std::uint64_t micros =
                (randomBelow(random, 5000) + randomBelow(random, 5000)) * (isSlow ? 6 : 1);
        now += milliseconds(1);
        limit.answered(std::chrono::microseconds(micros), limit.current(now), now);
        resets += limit.current(now) < previousLimit ? 1 : 0;
        previousLimit = limit.current(now);
    }
    CHECK(resets == 0);
    CHECK(previousLimit == 4);
}

TEST_CASE("brands share a server by weight, and one brand can't keep others out of the queue")
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

TEST_CASE("the expected wait depends on the requests ahead, not on other brands' backlog")
{
    FairQueue queue({}, 100);
    for (Ticket ticket = 1; ticket <= 50; ++ticket)
        queue.push(QueueEntry{ticket, core::BrandName("backlogged"), start});
    CHECK(queue.expectedWait(core::BrandName("backlogged"), milliseconds(4), 4)
          == milliseconds(51));
    CHECK(queue.expectedWait(core::BrandName("small"), milliseconds(4), 4) == milliseconds(2));
}

TEST_CASE("expired entries are removed from any position in the queue")
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

TEST_CASE("servers that are drained, leaving or without a known controller get no new requests")
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

TEST_CASE("two choices avoid a loaded server, and a retry avoids the server that was tried")
{
    std::vector<ServerView> servers = threeServers();
    servers[0].inFlight = 4;
    CHECK(timesChosen(TwoChoices(), servers, 0) == 0);
    CHECK(timesChosen(TwoChoices(), servers, 1, servers[1].name) == 0);
}

TEST_CASE("an outdated view of an idle server doesn't attract all requests")
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

TEST_CASE("the sketch finds a hot key among many cold ones, and drops it when it cools down")
{
    HotKeySketch sketch(64, seconds(1));
    RandomSource random(5);
    core::TimePoint now = start;
    for (int request = 0; request < 20'000; ++request) {
        const bool isHot = randomBelow(random, 10) < 2;
        sketch.observe(isHot ? 42 : 1000 + randomBelow(random, 100'000), now += milliseconds(1));
    }
    const std::vector<HotKey> keys = sketch.keysAbove(0.1, now);
    REQUIRE(keys.size() == 1);
    CHECK(keys[0].keyHash == 42);
    CHECK(keys[0].share == doctest::Approx(0.2).epsilon(0.2));
    for (int request = 0; request < 10'000; ++request)
        sketch.observe(1000 + randomBelow(random, 100'000), now += milliseconds(1));
    CHECK(sketch.keysAbove(0.1, now).empty());
}
