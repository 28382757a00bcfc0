// Slots under loads that fill them: who waits, who is refused, and what callers get.
#include "amaranthdale/balance/slot_pool.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>

using namespace amaranthdale;
using namespace amaranthdale::balance;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::TimePoint start{seconds(1000)};
const core::DataCentreName east("east");

catalog::BackendServer server(const std::string &name, unsigned slots = 4)
{
    catalog::BackendServer entry;
    entry.name = core::ServerName(name);
    entry.slots = slots;
    entry.dataCentre = east;
    return entry;
}

Demand demand(core::TimePoint now, unsigned priority = 1)
{
    Demand wanted;
    wanted.route = "stock";
    wanted.targetLatency = milliseconds(600);
    wanted.deadline = now + milliseconds(1500);
    wanted.priority = priority;
    return wanted;
}

std::string granted(const SlotVerdict &verdict)
{
    const auto *name = std::get_if<core::ServerName>(&verdict.decision);
    return name == nullptr ? "" : name->value;
}

SlotPool pool(const catalog::BackendServers &servers, double warmupRate = 0)
{
    SlotPool made(1);
    catalog::Service service;
    service.warmupRate = warmupRate;
    made.setService(service);
    made.setServers(servers, start);
    return made;
}

// Asks for a slot and returns the verdict, if there is one at once.
std::optional<SlotVerdict> ask(SlotPool &slots, Ticket ticket, core::TimePoint now,
                               unsigned priority = 1, bool mayWait = true)
{
    slots.request(ticket, demand(now, priority), east, mayWait, now);
    const auto verdicts = slots.dispatch(now);
    const auto own = std::find_if(verdicts.begin(), verdicts.end(),
                                  [&](const auto &verdict) { return verdict.ticket == ticket; });
    return own == verdicts.end() ? std::nullopt : std::optional(*own);
}

} // namespace

TEST_CASE("slots are used evenly, then one request more at each server, then requests wait")
{
    auto slots = pool({server("a", 2), server("b", 2)});
    std::map<std::string, int> at;
    for (Ticket ticket = 1; ticket <= 6; ++ticket) {
        const auto verdict = ask(slots, ticket, start);
        REQUIRE(verdict);
        ++at[granted(*verdict)];
    }
    CHECK(at["a"] == 3);
    CHECK(at["b"] == 3);
    CHECK(!ask(slots, 7, start));
    slots.release(1, AttemptResult::Answered, milliseconds(100), {}, start + milliseconds(100));
    const auto verdicts = slots.dispatch(start + milliseconds(100));
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].ticket == 7);
    CHECK(!granted(verdicts[0]).empty());
}

TEST_CASE("urgent requests get the next slot before others that came earlier")
{
    auto slots = pool({server("a", 1)});
    ask(slots, 1, start);
    ask(slots, 2, start);
    CHECK(!ask(slots, 3, start, 2));
    CHECK(!ask(slots, 4, start, 1));
    slots.release(1, AttemptResult::Answered, milliseconds(100), {}, start);
    const auto verdicts = slots.dispatch(start);
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].ticket == 4);
}

TEST_CASE("a request that may not wait is refused where no slot is free")
{
    auto slots = pool({server("a", 1)});
    ask(slots, 1, start);
    ask(slots, 2, start);
    const auto verdict = ask(slots, 3, start, 1, false);
    REQUIRE(verdict);
    CHECK(std::holds_alternative<Refuse>(verdict->decision));
    CHECK(slots.waiting() == 0);
}

TEST_CASE("a slot whose release was lost is free again after a while")
{
    auto slots = pool({server("a", 1)});
    ask(slots, 1, start);
    ask(slots, 2, start);
    CHECK(!ask(slots, 3, start));
    CHECK(slots.inUse() == 2);
    slots.dispatch(start + milliseconds(1200));
    CHECK(slots.inUse() < 2);
}

TEST_CASE("requests of senders that are not coordinated count by the server's report")
{
    auto slots = pool({server("a", 4), server("b", 4)});
    REQUIRE(ask(slots, 1, start));
    REQUIRE(ask(slots, 2, start));
    // Both servers have one request of ours; "a" reports four more.
    const LoadReport busy{5, 0, 4, 1};
    slots.release(1, AttemptResult::Answered, milliseconds(100), busy, start);
    int atB = 0;
    for (Ticket ticket = 10; ticket < 14; ++ticket) {
        const auto verdict = ask(slots, ticket, start);
        REQUIRE(verdict);
        atB += granted(*verdict) == "b" ? 1 : 0;
    }
    CHECK(atB >= 3);
}

TEST_CASE("a cold server gets its share of the rate that it sustains, and the others the rest")
{
    catalog::BackendServer cold = server("a");
    cold.coldUntil = start + seconds(10);
    auto slots = pool({cold, server("b")}, 10);
    int atCold = 0;
    Ticket ticket = 0;
    for (auto now = start; now < start + seconds(4); now += milliseconds(10)) {
        const auto verdict = ask(slots, ++ticket, now);
        REQUIRE(verdict);
        atCold += granted(*verdict) == "a" ? 1 : 0;
        slots.release(ticket, AttemptResult::Answered, milliseconds(1), {}, now);
    }
    CHECK(atCold <= 21); // Half of 10 requests/s for 4 s, and the first one.
}

// Instances cut off from one another each take themselves for the only one that hands out slots.
TEST_CASE("many pools of one cold server stay within its limit")
{
    constexpr double rate = 9.2;
    catalog::BackendServer cold = server("a");
    cold.coldUntil = start + seconds(3);
    std::vector<SlotPool> pools;
    for (unsigned seed = 0; seed < 20; ++seed) {
        pools.emplace_back(seed);
        catalog::Service service;
        service.warmupRate = rate;
        service.warmup = seconds(3);
        pools.back().setService(service);
        pools.back().setServers({cold}, start);
    }
    int most = 0;
    std::vector<core::TimePoint> sent;
    for (auto now = start; now < start + milliseconds(900); now += milliseconds(5)) {
        for (SlotPool &each : pools) {
            const auto verdict =
                    ask(each, static_cast<Ticket>(now.time_since_epoch().count()), now, 1, false);
            if (verdict && !granted(*verdict).empty())
                sent.push_back(now);
        }
    }
    most = static_cast<int>(sent.size());
    CHECK(most <= 21);
    CHECK(most > 0);
}

TEST_CASE("a server that can't be reached is left alone while another one may get room")
{
    auto slots = pool({server("a", 1), server("b", 1)});
    const auto first = ask(slots, 1, start);
    REQUIRE(first);
    slots.release(1, AttemptResult::Unreachable, milliseconds(1), {}, start);
    const std::string lost = granted(*first);
    for (Ticket ticket = 2; ticket <= 3; ++ticket) {
        const auto verdict = ask(slots, ticket, start);
        REQUIRE(verdict);
        CHECK(granted(*verdict) != lost);
    }
    CHECK(!ask(slots, 4, start));
}

TEST_CASE("slots of a run that has ended are free")
{
    auto slots = pool({server("a", 1)});
    ask(slots, 1, start);
    ask(slots, 2, start);
    catalog::BackendServer restarted = server("a", 1);
    restarted.incarnation = 7;
    slots.setServers({restarted}, start);
    CHECK(slots.inUse() == 0);
    const auto verdict = ask(slots, 3, start);
    REQUIRE(verdict);
    CHECK(granted(*verdict) == "a");
}

// The load of a hot key: sixteen times what its only server can run. Sent without coordination,
// most requests wait in the server's queue until they are late, or are shed there.
TEST_CASE("an overloaded server answers in time what it can run, and the rest is refused at once")
{
    auto slots = pool({server("owner", 4)});
    constexpr auto work = milliseconds(140);
    constexpr auto interval = milliseconds(2); // 500 requests/s for a server of 28.
    struct Running
    {
        Ticket ticket = 0;
        core::TimePoint begin{};
        core::TimePoint end{};
    };
    std::vector<Running> running;
    std::map<Ticket, core::TimePoint> askedAt;
    int inTime = 0;
    int late = 0;
    int refusedAtOnce = 0;
    int refusedLater = 0;
    core::TimePoint slotFree[4] = {start, start, start, start};
    Ticket ticket = 0;
    for (auto now = start; now < start + seconds(6); now += interval) {
        for (auto run = running.begin(); run != running.end();) {
            if (now < run->end) {
                ++run;
                continue;
            }
            (now - askedAt[run->ticket] <= milliseconds(600) ? inTime : late) += 1;
            slots.release(run->ticket, AttemptResult::Answered, now - run->begin, {}, now);
            run = running.erase(run);
        }
        Demand wanted = demand(now);
        wanted.owner = core::ServerName("owner");
        askedAt[++ticket] = now;
        slots.request(ticket, wanted, east, true, now);
        for (const SlotVerdict &verdict : slots.dispatch(now)) {
            if (granted(verdict).empty()) {
                (askedAt[verdict.ticket] == now ? refusedAtOnce : refusedLater) += 1;
                continue;
            }
            core::TimePoint &slot = *std::min_element(std::begin(slotFree), std::end(slotFree));
            slot = std::max(slot, now) + work;
            running.push_back({verdict.ticket, now, slot});
        }
    }
    // Six seconds of a server that runs 28 requests/s.
    const int served = inTime + late;
    CHECK(served >= 0.9 * 6 * 28);
    // Only what began to wait in the first half second, when the load might have passed, is late.
    CHECK(late <= 28 * 1.5);
    CHECK(refusedAtOnce > 20 * refusedLater);
}

// A burst of half a second that a server works off within the deadlines.
TEST_CASE("a short burst is served late rather than refused")
{
    auto slots = pool({server("owner", 4)});
    int decided = 0;
    int refused = 0;
    for (Ticket ticket = 1; ticket <= 24; ++ticket) {
        const auto verdict =
                ask(slots, ticket, start + milliseconds(10 * static_cast<int>(ticket)));
        decided += verdict ? 1 : 0;
        refused += verdict && granted(*verdict).empty() ? 1 : 0;
    }
    CHECK(decided == 5);
    CHECK(refused == 0);
}
