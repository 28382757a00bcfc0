// Slopes of the control of keys: record size, time of a granter's tick, of placement and of lookup,
// by the number of ranges. Prints one table.
#include "amaranthdale/keyspace/granter.h"
#include "decode.h"

#include <chrono>
#include <cstdio>

namespace {

using namespace amaranthdale;
using namespace amaranthdale::keyspace;
using Clock = std::chrono::steady_clock;

std::vector<Candidate> servers(unsigned count)
{
    std::vector<Candidate> found;
    for (unsigned index = 0; index < count; ++index)
        found.push_back(
                {{core::ServerName("i-" + std::to_string(1000000000 + index)), 1}, 4, false});
    return found;
}

template<class Function>
double microseconds(unsigned repeats, Function &&function)
{
    const auto begin = Clock::now();
    for (unsigned repeat = 0; repeat < repeats; ++repeat)
        function();
    return std::chrono::duration<double, std::micro>(Clock::now() - begin).count() / repeats;
}

void measure(unsigned ranges, unsigned serverCount)
{
    const core::TimePoint start{std::chrono::hours(1)};
    GranterLimits limits;
    limits.placement.initialRanges = ranges;
    limits.placement.mostRanges = ranges;
    const core::InstanceId self{core::InstanceName("edge-1"), core::Incarnation(1)};
    Granter granter(self, "10.0.0.1:7000", limits);
    const auto candidates = servers(serverCount);
    KeyLoad load;
    for (Key key = 0; key < keyCount; key += 7)
        load.add(key, 1);
    granter.setElected(true);
    granter.setServers(candidates, start);
    granter.onLog(std::nullopt, 0, start, start);
    auto now = start + std::chrono::seconds(2);
    const auto first = granter.tick(now, load);
    granter.onAppend(std::get<AppendOrder>(first.front()).id, AppendResult::Done, now);
    for (const Order &order : granter.tick(now, load))
        granter.onGrant(std::get<GrantOrder>(order).id, OrderResult::Done, now);
    const Assignment assignment = *granter.assignment();
    const std::string text = platform::encodeAssignment(assignment);
    const double tick = microseconds(50, [&] { granter.tick(now, load); });
    const double plan = microseconds(
            10, [&] { planMoves(assignment.holdings, candidates, load, limits.placement); });
    const double decode = microseconds(20, [&] { platform::decodeAssignment(text); });
    Key key = 0;
    const Holding *last = nullptr;
    const double find =
            microseconds(100000, [&] { last = assignment.find(key = (key + 977) % keyCount); });
    std::printf("| %u | %u | %zu | %.1f | %.0f | %.0f | %.3f |%s\n", ranges, serverCount,
                text.size(), tick, plan, decode, find, last == nullptr ? " " : "");
}

} // namespace

int main()
{
    std::printf("| ranges | servers | record bytes | tick us | placement us | decoding us | lookup "
                "us |\n");
    std::printf("|---|---|---|---|---|---|---|\n");
    for (const unsigned ranges : {64U, 256U, 1024U, 4096U})
        measure(ranges, std::max(4U, ranges / 8));
}
