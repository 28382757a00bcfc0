// Exclusive ownership under faults, and how long keys stay unowned after a loss.
#include "granter_model.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace {

using namespace amaranthdale;
using namespace amaranthdale::keyspace;
using model::Faults;
using model::World;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t schedules = 60;

// Shorter than in production, so that a run covers several waits.
GranterLimits shortLimits()
{
    GranterLimits limits;
    limits.authority = seconds(6);
    limits.placement.initialRanges = 16;
    limits.placement.leastRequests = 0;
    return limits;
}

void expectNoBreach(const Faults &faults)
{
    for (std::uint32_t seed = 1; seed <= schedules; ++seed) {
        World world(seed, faults, shortLimits());
        world.run(seconds(40));
        CAPTURE(seed);
        const std::string first = world.breaches().empty() ? "" : world.breaches().front();
        CHECK(first == "");
    }
}

} // namespace

TEST_CASE("a calm service gets all its keys owned and keeps them")
{
    World world(1, Faults{}, shortLimits());
    world.run(seconds(4));
    CHECK(world.heldKeys() == model::probedKeys().size());
    world.run(seconds(10));
    CHECK(world.heldKeys() == model::probedKeys().size());
    CHECK(world.breaches().empty());
}

TEST_CASE("lost and late answers never give a key two owners")
{
    expectNoBreach(Faults{.lostAnswers = true, .membership = true});
}

TEST_CASE("granters that lose the log or a server never give a key two owners")
{
    expectNoBreach(Faults{.cuts = true, .reelections = true, .membership = true});
}

TEST_CASE("servers that restart under their name get their keys under a higher fence")
{
    expectNoBreach(Faults{.restarts = true, .reelections = true});
}

TEST_CASE("suspended granters never give a key two owners")
{
    expectNoBreach(Faults{.cuts = true, .reelections = true, .suspensions = true});
}

TEST_CASE("all faults together never give a key two owners")
{
    expectNoBreach(Faults{true, true, true, true, true, true});
}

TEST_CASE("keys of a lost granter stay owned until the next one renews them")
{
    World world(3, Faults{}, shortLimits());
    world.run(seconds(5));
    world.killInstance(world.electedInstance(), milliseconds(1700));
    for (int step = 0; step < 40; ++step) {
        world.run(milliseconds(100));
        CHECK(world.heldKeys() == model::probedKeys().size());
    }
}

TEST_CASE("keys of a dead server are owned again once its hold has run out")
{
    World world(4, Faults{}, shortLimits());
    world.run(seconds(5));
    world.killServer(1, milliseconds(2600));
    CHECK(world.heldKeys() < model::probedKeys().size());
    const GranterLimits limits;
    world.run(limits.renewal + limits.hold + limits.transit + milliseconds(500));
    CHECK(world.heldKeys() == model::probedKeys().size());
    CHECK(world.breaches().empty());
}

TEST_CASE("a granter that has lost the log stops before its successor moves keys")
{
    World world(5, Faults{}, shortLimits());
    world.run(seconds(5));
    const std::size_t before = world.electedInstance();
    const std::size_t after = before + 1;
    world.cutLog(before, seconds(60));
    world.cutServer(after, 0, seconds(60));
    world.elect(after);
    world.run(seconds(2));
    world.run(seconds(40));
    CHECK(world.breaches().empty());
    CHECK(world.heldKeys() == model::probedKeys().size());
}

namespace {

const core::TimePoint start{std::chrono::hours(1)};

core::InstanceId instance(const char *name)
{
    return {core::InstanceName(name), core::Incarnation(1)};
}

std::vector<Candidate> servers(int count)
{
    std::vector<Candidate> found;
    for (int index = 0; index < count; ++index)
        found.push_back({{core::ServerName("s" + std::to_string(index)), 1}, 1, false});
    return found;
}

// The only append among `orders`, or null.
const AppendOrder *appendOf(const std::vector<Order> &orders)
{
    for (const Order &order : orders) {
        if (const auto *append = std::get_if<AppendOrder>(&order))
            return append;
    }
    return nullptr;
}

} // namespace

TEST_CASE("instances that disagree about the election don't replace each other at once")
{
    Granter granter(instance("b"), "", GranterLimits());
    granter.setElected(true);
    granter.setServers(servers(2), start);
    Assignment record;
    record.granter = instance("a");
    record.holdings = placeInitially(servers(2), PlacementLimits());
    granter.onLog(record, 1, start, start);
    record.granter = instance("c");
    granter.onLog(record, 2, start + seconds(1), start + seconds(1));
    CHECK(appendOf(granter.tick(start + seconds(2), KeyLoad())) == nullptr);
    CHECK(appendOf(granter.tick(start + seconds(4), KeyLoad())) != nullptr);
}

TEST_CASE("a server whose address belongs to another one gets no keys while its entry lasts")
{
    Granter granter(instance("a"), "", GranterLimits());
    granter.setElected(true);
    granter.setServers(servers(3), start);
    granter.onLog(std::nullopt, 0, start, start);
    core::TimePoint now = start + seconds(2);
    const auto first = granter.tick(now, KeyLoad());
    REQUIRE(appendOf(first) != nullptr);
    granter.onAppend(appendOf(first)->id, AppendResult::Done, now);
    for (const Order &order : granter.tick(now, KeyLoad())) {
        const auto &grant = std::get<GrantOrder>(order);
        const bool gone = grant.holding.owner.name.value == "s1";
        granter.onGrant(grant.id, gone ? OrderResult::Gone : OrderResult::Done, now);
    }
    now += milliseconds(100);
    const auto next = granter.tick(now, KeyLoad());
    REQUIRE(appendOf(next) != nullptr);
    for (const Holding &holding : appendOf(next)->assignment.holdings)
        CHECK(holding.owner.name.value != "s1");
}

TEST_CASE("an append that was refused is not repeated at once")
{
    Granter granter(instance("a"), "", GranterLimits());
    granter.setElected(true);
    granter.setServers(servers(3), start);
    granter.onLog(std::nullopt, 0, start, start);
    const core::TimePoint now = start + seconds(2);
    const auto first = granter.tick(now, KeyLoad());
    granter.onAppend(appendOf(first)->id, AppendResult::Refused, now);
    granter.onLog(std::nullopt, 0, now, now);
    CHECK(appendOf(granter.tick(now + milliseconds(50), KeyLoad())) == nullptr);
    CHECK(appendOf(granter.tick(now + milliseconds(400), KeyLoad())) != nullptr);
}

TEST_CASE(
        "a short renewal by a successor does not end the wait for an earlier granter's long grant")
{
    const GranterLimits limits;
    Granter granter(instance("b"), "", limits);
    granter.setElected(true);
    granter.setServers(servers(2), start);
    Assignment record;
    record.granter = instance("a");
    record.settled = true;
    record.holdings = placeInitially(servers(2), PlacementLimits());
    granter.onLog(record, 1, start, start);
    core::TimePoint now = start + seconds(1);
    const auto takeover = granter.tick(now, KeyLoad());
    REQUIRE(appendOf(takeover) != nullptr);
    granter.onAppend(appendOf(takeover)->id, AppendResult::Done, now);
    for (const Order &order : granter.tick(now, KeyLoad()))
        granter.onGrant(std::get<GrantOrder>(order).id, OrderResult::Done, now);
    granter.onPredecessorEnded(now);

    // Server s0 can't be reached any more; its keys may move once the long grant has run out.
    const core::TimePoint confirmed = now;
    granter.setServers({servers(2)[1]}, now);
    bool moved = false;
    while (!moved && now < confirmed + seconds(20)) {
        now += milliseconds(100);
        granter.onLogUnchanged(now, now);
        for (const Order &order : granter.tick(now, KeyLoad())) {
            if (const auto *grant = std::get_if<GrantOrder>(&order))
                granter.onGrant(grant->id,
                                grant->holding.owner.name.value == "s0" ? OrderResult::NotSent
                                                                        : OrderResult::Done,
                                now);
            else if (const auto *release = std::get_if<ReleaseOrder>(&order))
                granter.onRelease(release->id, OrderResult::NotSent, "", now);
            else
                granter.onAppend(std::get<AppendOrder>(order).id, AppendResult::Done, now);
        }
        const auto &holdings = granter.assignment()->holdings;
        moved = std::none_of(holdings.begin(), holdings.end(), [](const Holding &holding) {
            return holding.owner.name.value == "s0";
        });
    }
    CHECK(moved);
    CHECK(now >= confirmed + limits.longHold);
}
