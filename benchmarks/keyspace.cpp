// Cost of key assignment by number of ranges: record size, and the time of a granter's tick, of
// placement, decoding and lookup. Prints one table.
#include "amaranthdale/keyspace/lease_manager.h"
#include "decode.h"

#include <chrono>
#include <cstdio>

namespace {

using namespace amaranthdale;
using namespace amaranthdale::keyspace;
using Clock = std::chrono::steady_clock;

std::vector<Candidate> makeCandidates(unsigned count)
{
    std::vector<Candidate> candidates;
    for (unsigned index = 0; index < count; ++index)
        candidates.push_back(
                {{core::ServerName("i-" + std::to_string(1000000000 + index)), 1}, 4, false});
    return candidates;
}

template<class Function>
double averageMicroseconds(unsigned repetitions, Function &&function)
{
    const auto begin = Clock::now();
    for (unsigned repetition = 0; repetition < repetitions; ++repetition)
        function();
    return std::chrono::duration<double, std::micro>(Clock::now() - begin).count() / repetitions;
}

void measure(unsigned ranges, unsigned serverCount)
{
    const core::TimePoint start{std::chrono::hours(1)};
    LeaseOptions limits;
    limits.placement.initialRanges = ranges;
    limits.placement.maxRanges = ranges;
    const core::InstanceId self{core::InstanceName("edge-1"), core::Incarnation(1)};
    LeaseManager granter(self, "10.0.0.1:7000", limits);
    const auto candidates = makeCandidates(serverCount);
    KeyLoad load;
    for (Key key = 0; key < keyCount; key += 7)
        load.add(key, 1);
    granter.setElected(true);
    granter.setServers(candidates, start);
    granter.onLog(std::nullopt, 0, start, start);
    auto now = start + std::chrono::seconds(2);
    const auto first = granter.tick(now, load);
    granter.onAppend(std::get<AppendCommand>(first.front()).id, AppendResult::Success, now);
    for (const Command &command : granter.tick(now, load))
        granter.onGrant(std::get<GrantCommand>(command).id, CommandResult::Success, now);
    const Assignment assignment = *granter.assignment();
    const std::string text = platform::encodeAssignment(assignment);
    const double tickTime = averageMicroseconds(50, [&] { granter.tick(now, load); });
    const double placementTime = averageMicroseconds(
            10, [&] { planMoves(assignment.ownedRanges, candidates, load, limits.placement); });
    const double decodeTime = averageMicroseconds(20, [&] { platform::decodeAssignment(text); });
    Key key = 0;
    const OwnedRange *ownedRange = nullptr;
    const double lookupTime = averageMicroseconds(
            100000, [&] { ownedRange = assignment.find(key = (key + 977) % keyCount); });
    // Uses the lookup's result, so that the compiler can't remove the loop.
    std::printf("| %u | %u | %zu | %.1f | %.0f | %.0f | %.3f |%s\n", ranges, serverCount,
                text.size(), tickTime, placementTime, decodeTime, lookupTime,
                ownedRange == nullptr ? " " : "");
}

// Plans for 437 servers and 600 ranges, by requests and by work, with a set of 120 hot keys and one
// key with a sixth of the load.
void measurePlans()
{
    constexpr unsigned servers = 437;
    constexpr unsigned ranges = 600;
    const auto candidates = makeCandidates(servers);
    PlacementLimits limits;
    limits.initialRanges = ranges;
    const auto owned = makeInitialPlacement(candidates, limits);
    KeyLoad load;
    for (Key key = 0; key < keyCount; key += 7)
        load.add(key, 1);
    for (Key key = 20000; key < 20120; ++key)
        load.add(key, 40);
    load.add(50001, 2500);
    RebalanceOptions options;
    options.enabled = true;
    options.keyBurst = 1e9;
    Rebalancer rebalancer(limits, options);
    core::TimePoint now{std::chrono::hours(1)};
    std::size_t moves = 0;
    const double byRequests = averageMicroseconds(
            20, [&] { moves = planMoves(owned, candidates, load, limits).size(); });
    std::printf("plan by requests: %.0f us, %zu moves\n", byRequests, moves);
    const double byWork = averageMicroseconds(20, [&] {
        now += std::chrono::milliseconds(500);
        moves = rebalancer.plan(owned, candidates, load, now).size();
    });
    std::printf("plan by work, hot keys, consolidation: %.0f us, %zu moves\n", byWork, moves);
    const double shift = averageMicroseconds(20, [&] { load.followShift(5); });
    std::printf("detection of a shift: %.0f us\n", shift);
    const double decay = averageMicroseconds(20, [&] { load.decay(0.8F); });
    std::printf("decay: %.0f us\n", decay);
}

} // namespace

int main()
{
    std::printf("| ranges | servers | record bytes | tick us | placement us | decoding us | lookup "
                "us |\n");
    std::printf("|---|---|---|---|---|---|---|\n");
    for (const unsigned ranges : {64U, 256U, 1024U, 4096U})
        measure(ranges, std::max(4U, ranges / 8));
    measurePlans();
}
