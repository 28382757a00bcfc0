// Prints the unserved time of each authority policy under the faults for which the policies differ.
#include "ownership_faults.h"

#include <cstdio>

using namespace amaranthdale;
using namespace amaranthdale::decisions;
using namespace amaranthdale::decisions::model;

namespace {

struct Variant
{
    const char *name;
    PolicyFactory policy;
};

std::vector<Variant> variants()
{
    return {{"named successors",
             [](const OwnershipTimings &timings) {
                 return std::make_unique<NamedSuccessorAuthority>(timings);
             }},
            {"long wait (90 s)", [](const OwnershipTimings &timings) {
                 return std::make_unique<LongWaitAuthority>(timings);
             }}};
}

// The cases run long enough for the long wait to end.
std::vector<FaultCase> comparedCases()
{
    using K = FaultKind;
    using T = Target;
    using Ms = milliseconds;
    return {{"controller and server at once",
             {{K::Kill, T::Controller}, {K::Kill, T::Server}},
             Ms(100000)},
            {"log outage of 60 s", {{K::LogOutage, T::None, Ms(0), Ms(60000)}}, Ms(62000)},
            {"log outage of 120 s", {{K::LogOutage, T::None, Ms(0), Ms(120000)}}, Ms(122000)},
            {"log outage of 60 s, one instance lost",
             {{K::LogOutage, T::None, Ms(0), Ms(60000)}, {K::Kill, T::FirstSuccessor, Ms(500)}},
             Ms(62000)},
            {"partition of 60 s, log on the other side",
             {{K::PartitionOfLog, T::Controller, Ms(0), Ms(60000)}},
             Ms(62000)}};
}

void printRow(const FaultCase &fault, const Variant &variant)
{
    const FaultResult result = runCase(fault, 1, variant.policy);
    std::printf("%-42s %-18s %12lld %10zu %12.1f %9zu\n", fault.name.c_str(), variant.name,
                static_cast<long long>(result.longestGap.count()), result.slotsInterrupted,
                static_cast<double>(result.unservedTime.count()) / 1000, result.breaches.size());
}

} // namespace

int main()
{
    std::printf("%-42s %-18s %12s %10s %12s %9s\n", "fault (6 instances, 6 servers, 12 slots)",
                "policy", "longest gap", "slots hit", "unserved", "breaches");
    std::printf("%-42s %-18s %12s %10s %12s\n", "", "", "(ms)", "", "(slot s)");
    for (const FaultCase &fault : comparedCases()) {
        for (const Variant &variant : variants())
            printRow(fault, variant);
    }
}
