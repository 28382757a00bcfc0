// Checks of a history against the promises of the design page.
#pragma once

#include "amaranthdale/history/events.h"

#include <memory>
#include <string>
#include <vector>

namespace amaranthdale::history {

/// A breach of a promise with the events that show it.
struct Breach
{
    unsigned promise = 0; ///< Number in section 1.2 of the design page.
    std::string message;
    std::vector<Event> events;
};

/// One rule that a history must keep.
class Check
{
public:
    virtual ~Check() = default;

    /// Adds each breach found in `events`, which are in order of time.
    virtual void run(const std::vector<Event> &events, std::vector<Breach> &breaches) const = 0;
};

/// Promise 1: of two backend servers, at most one holds a slot or hot key at any moment, and no
/// server starts a request for one that another holds.
std::unique_ptr<Check> makeOwnershipCheck();

/// Promises 6 and 7: at most one run of a non-idempotent id; no run explained only by attempts that
/// were refused as not run.
std::unique_ptr<Check> makeRunCheck();

/// Promise 5: each answered call got the complete response to its own request.
std::unique_ptr<Check> makeResponseCheck();

/// Promise 3: no request starts above the number that the server can sustain.
std::unique_ptr<Check> makeColdLimitCheck();

/// Promises 4 and 8: no request starts at a server that is leaving, or whose data centre is
/// drained, more than `grace` after the record.
std::unique_ptr<Check> makeDrainCheck(core::Duration grace = std::chrono::seconds(3));

/// Runs all checks. `events` may come in any order.
std::vector<Breach> checkHistory(std::vector<Event> events);

} // namespace amaranthdale::history
