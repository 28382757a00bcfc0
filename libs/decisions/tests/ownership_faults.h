// The fault matrix as data, and the runner that the tests and the comparison of policies share.
#pragma once

#include "ownership_model.h"

namespace amaranthdale::decisions::model {

enum class FaultKind {
    Kill,              ///< Stops a process for good.
    Freeze,            ///< Stops it for `length`, then it goes on as if nothing had happened.
    Restart,           ///< Stops it; after `length` a new process without state takes its place.
    Isolate,           ///< Cuts all links of a process.
    IsolateWithServer, ///< As above, but the target and the server of slot 0 reach each other.
    CutToLog,          ///< Cuts the links between a process and the log.
    CutToServer,       ///< Cuts the links between the controller and the server of slot 0.
    CutToSuccessor,    ///< Cuts the link to the first successor, in that direction only.
    LogOutage,
    LostResponses,  ///< Appends take effect, half of their responses are lost.
    DelayedAppends, ///< Appends take effect 400 ms later, after their response timed out.
    PartitionOfLog, ///< Leaves the target, its successors and half of the servers without the log.
    Leave,          ///< Planned shutdown of an instance.
    DrainServer,    ///< The service document marks the server as leaving.
};

/// Who is meant, seen from slot 0 at the start of the run.
enum class Target { None, Controller, Server, FirstSuccessor, SecondSuccessor, Bystander, All };

struct Fault
{
    FaultKind kind;
    Target target = Target::None;
    milliseconds at{0};
    milliseconds length{0}; ///< Zero: until the end of the run.
};

struct FaultCase
{
    std::string name;
    std::vector<Fault> faults;
    milliseconds duration{3000};
    milliseconds longestGap{1000}; ///< Time without service that any slot may see.
    bool checksFence = true;
};

struct FaultResult
{
    bool settled = false;
    milliseconds longestGap{0};
    std::size_t slotsInterrupted = 0;
    milliseconds unservedTime{0}; ///< Summed over all slots.
    bool statesAgree = false;
    bool servedAtEnd = false;
    std::vector<std::string> breaches;
};

const std::vector<FaultCase> &faultMatrix();

FaultResult runCase(const FaultCase &fault, std::uint64_t seed, const PolicyFactory &policy = {});

/// A case of two to five random faults that all end, the last one within 3 s.
FaultCase randomCase(std::uint64_t seed);

} // namespace amaranthdale::decisions::model
