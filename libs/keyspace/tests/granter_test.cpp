// Exclusive ownership under faults, and how long keys stay unowned after a loss.
#include "granter_model.h"

#include <doctest/doctest.h>

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
