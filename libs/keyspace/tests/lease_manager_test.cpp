// Tests for exclusive ownership under faults and for the time keys are unowned after a failure.
#include "lease_manager_model.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace {

using namespace amaranthdale;
using namespace amaranthdale::keyspace;
using model::Faults;
using model::Simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t seedCount = 60;

// Shorter than in production, so that a run covers several expiries of authority.
LeaseOptions shortLimits()
{
    LeaseOptions limits;
    limits.authorityDuration = seconds(6);
    limits.placement.initialRanges = 16;
    limits.placement.minRequests = 0;
    return limits;
}

void expectNoViolation(const Faults &faults)
{
    for (std::uint32_t seed = 1; seed <= seedCount; ++seed) {
        Simulation simulation(seed, faults, shortLimits());
        simulation.run(seconds(40));
        CAPTURE(seed);
        const std::string first =
                simulation.violations().empty() ? "" : simulation.violations().front();
        CHECK(first == "");
    }
}

} // namespace

TEST_CASE("without faults all keys get owners and keep them")
{
    Simulation simulation(1, Faults{}, shortLimits());
    simulation.run(seconds(4));
    CHECK(simulation.countOwnedKeys() == model::sampledKeys().size());
    simulation.run(seconds(10));
    CHECK(simulation.countOwnedKeys() == model::sampledKeys().size());
    CHECK(simulation.violations().empty());
}

TEST_CASE("lost and delayed replies never give a key two owners")
{
    expectNoViolation(Faults{.lostReplies = true, .membership = true});
}

TEST_CASE("granters that lose the connection to the log or a server never give a key two owners")
{
    expectNoViolation(Faults{.disconnects = true, .reelections = true, .membership = true});
}

TEST_CASE("servers that restart under the same name get their keys with a higher fencing token")
{
    expectNoViolation(Faults{.restarts = true, .reelections = true});
}

TEST_CASE("suspended granters never give a key two owners")
{
    expectNoViolation(Faults{.disconnects = true, .reelections = true, .suspensions = true});
}

TEST_CASE("all kinds of faults combined never give a key two owners")
{
    expectNoViolation(Faults{true, true, true, true, true, true});
}

TEST_CASE("keys stay owned after a granter failure until its successor renews the leases")
{
    Simulation simulation(3, Faults{}, shortLimits());
    simulation.run(seconds(5));
    simulation.killInstance(simulation.electedInstance(), milliseconds(1700));
    for (int step = 0; step < 40; ++step) {
        simulation.run(milliseconds(100));
        CHECK(simulation.countOwnedKeys() == model::sampledKeys().size());
    }
}

TEST_CASE("keys of a failed server get new owners once its leases have expired")
{
    Simulation simulation(4, Faults{}, shortLimits());
    simulation.run(seconds(5));
    simulation.killServer(1, milliseconds(2600));
    CHECK(simulation.countOwnedKeys() < model::sampledKeys().size());
    const LeaseOptions limits;
    simulation.run(limits.renewalInterval + limits.leaseDuration + limits.maxCallDelay
                   + milliseconds(500));
    CHECK(simulation.countOwnedKeys() == model::sampledKeys().size());
    CHECK(simulation.violations().empty());
}

TEST_CASE("a granter that cannot reach the log stops granting before its successor moves keys")
{
    Simulation simulation(5, Faults{}, shortLimits());
    simulation.run(seconds(5));
    const std::size_t before = simulation.electedInstance();
    const std::size_t after = before + 1;
    simulation.disconnectLog(before, seconds(60));
    simulation.disconnectServer(after, 0, seconds(60));
    simulation.elect(after);
    simulation.run(seconds(2));
    simulation.run(seconds(40));
    CHECK(simulation.violations().empty());
    CHECK(simulation.countOwnedKeys() == model::sampledKeys().size());
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

// Returns the first append in `commands`, or null.
const AppendCommand *appendOf(const std::vector<Command> &commands)
{
    for (const Command &command : commands) {
        if (const auto *append = std::get_if<AppendCommand>(&command))
            return append;
    }
    return nullptr;
}

} // namespace

TEST_CASE("instances that disagree about the election don't replace each other immediately")
{
    LeaseManager granter(instance("b"), "", LeaseOptions());
    granter.setElected(true);
    granter.setServers(servers(2), start);
    Assignment record;
    record.granter = instance("a");
    record.ownedRanges = makeInitialPlacement(servers(2), PlacementLimits());
    granter.onLog(record, 1, start, start);
    record.granter = instance("c");
    granter.onLog(record, 2, start + seconds(1), start + seconds(1));
    CHECK(appendOf(granter.tick(start + seconds(2), KeyLoad())) == nullptr);
    CHECK(appendOf(granter.tick(start + seconds(4), KeyLoad())) != nullptr);
}

TEST_CASE("a server whose address is used by another one gets no keys while its entry persists")
{
    LeaseManager granter(instance("a"), "", LeaseOptions());
    granter.setElected(true);
    granter.setServers(servers(3), start);
    granter.onLog(std::nullopt, 0, start, start);
    core::TimePoint now = start + seconds(2);
    const auto first = granter.tick(now, KeyLoad());
    REQUIRE(appendOf(first) != nullptr);
    granter.onAppend(appendOf(first)->id, AppendResult::Success, now);
    for (const Command &command : granter.tick(now, KeyLoad())) {
        const auto &grant = std::get<GrantCommand>(command);
        const bool gone = grant.ownedRange.owner.name.value == "s1";
        granter.onGrant(grant.id, gone ? CommandResult::ServerReplaced : CommandResult::Success,
                        now);
    }
    now += milliseconds(100);
    const auto next = granter.tick(now, KeyLoad());
    REQUIRE(appendOf(next) != nullptr);
    for (const OwnedRange &ownedRange : appendOf(next)->assignment.ownedRanges)
        CHECK(ownedRange.owner.name.value != "s1");
}

TEST_CASE("a refused append is not retried immediately")
{
    LeaseManager granter(instance("a"), "", LeaseOptions());
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
        "a short renewal by a successor does not end the wait for an earlier granter's long lease")
{
    const LeaseOptions limits;
    LeaseManager granter(instance("b"), "", limits);
    granter.setElected(true);
    granter.setServers(servers(2), start);
    Assignment record;
    record.granter = instance("a");
    record.settled = true;
    record.ownedRanges = makeInitialPlacement(servers(2), PlacementLimits());
    granter.onLog(record, 1, start, start);
    core::TimePoint now = start + seconds(1);
    const auto takeover = granter.tick(now, KeyLoad());
    REQUIRE(appendOf(takeover) != nullptr);
    granter.onAppend(appendOf(takeover)->id, AppendResult::Success, now);
    for (const Command &command : granter.tick(now, KeyLoad()))
        granter.onGrant(std::get<GrantCommand>(command).id, CommandResult::Success, now);
    granter.onPredecessorEnded(now);

    // Server s0 becomes unreachable. Its keys may move once the long lease has expired.
    const core::TimePoint confirmed = now;
    granter.setServers({servers(2)[1]}, now);
    bool moved = false;
    while (!moved && now < confirmed + seconds(20)) {
        now += milliseconds(100);
        granter.onLogUnchanged(now, now);
        for (const Command &command : granter.tick(now, KeyLoad())) {
            if (const auto *grant = std::get_if<GrantCommand>(&command))
                granter.onGrant(grant->id,
                                grant->ownedRange.owner.name.value == "s0"
                                        ? CommandResult::NotExecuted
                                        : CommandResult::Success,
                                now);
            else if (const auto *release = std::get_if<ReleaseCommand>(&command))
                granter.onRelease(release->id, CommandResult::NotExecuted, "", now);
            else
                granter.onAppend(std::get<AppendCommand>(command).id, AppendResult::Success, now);
        }
        const auto &ownedRanges = granter.assignment()->ownedRanges;
        moved = std::none_of(
                ownedRanges.begin(), ownedRanges.end(),
                [](const OwnedRange &ownedRange) { return ownedRange.owner.name.value == "s0"; });
    }
    CHECK(moved);
    CHECK(now >= confirmed + limits.outageLeaseDuration);
}
