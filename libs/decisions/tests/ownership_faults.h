// The fault matrix, and the runner that the tests and the policy benchmark share.
#pragma once

#include "ownership_model.h"

namespace amaranthdale::decisions::model {

enum class FaultKind {
    Kill,              ///< Kills a process.
    Freeze,            ///< Pauses a process for `length`.
    Restart,           ///< Kills a process and starts a new one without state after `length`.
    Isolate,           ///< Cuts all links of a process.
    IsolateWithServer, ///< Isolates the target and the server of slot 0 together.
    CutToLog,          ///< Cuts the links between a process and the log.
    CutToServer,       ///< Cuts the links between the controller and the server of slot 0.
    CutToSuccessor,    ///< Cuts the link from the target to the first successor, one way.
    LogOutage,
    LostResponses,  ///< Appends take effect, but half of the responses are lost.
    DelayedAppends, ///< Appends take effect 400 ms late, after their time-out.
    /// Isolates the controller, its successors and half of the servers together, without the log.
    PartitionOfLog,
    Leave,       ///< Starts the planned shutdown of an instance.
    DrainServer, ///< Marks the server as leaving in its service document.
};

/// Processes that a fault affects, by their role for slot 0 when the first fault begins.
enum class Target { None, Controller, Server, FirstSuccessor, SecondSuccessor, OtherInstance, All };

struct Fault
{
    FaultKind kind;
    Target target = Target::None;
    milliseconds at{0};
    milliseconds length{0}; ///< Zero lasts until the end of the run.
};

struct FaultCase
{
    std::string name;
    std::vector<Fault> faults;
    milliseconds duration{3000};
    milliseconds longestGap{1000}; ///< Limit on the time any slot is unserved.
    bool checksFence = true;
};

struct FaultResult
{
    bool settled = false;
    milliseconds longestGap{0};
    std::size_t slotsInterrupted = 0;
    milliseconds unservedTime{0}; ///< Sum over all slots.
    bool statesAgree = false;
    bool servedAtEnd = false;
    std::vector<std::string> breaches;
};

const std::vector<FaultCase> &faultMatrix();

FaultResult runCase(const FaultCase &fault, std::uint64_t seed, const PolicyFactory &policy = {});

/// A case of two to five random faults, all of which end within 3 s.
FaultCase randomCase(std::uint64_t seed);

} // namespace amaranthdale::decisions::model
