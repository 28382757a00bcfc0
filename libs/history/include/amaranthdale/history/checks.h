// Checks a history against the promises in docs/design.md, section 1.2.
#pragma once

#include "amaranthdale/history/events.h"

#include <memory>
#include <string>
#include <vector>

namespace amaranthdale::history {

/// A violated promise and the events that prove it.
struct Breach
{
    unsigned promise = 0; ///< Number in docs/design.md, section 1.2.
    std::string message;
    std::vector<Event> events;
};

/// An invariant that every history must satisfy.
class Check
{
public:
    virtual ~Check() = default;

    /// Appends the breaches found in `events`, which are sorted by time.
    virtual void run(const std::vector<Event> &events, std::vector<Breach> &breaches) const = 0;
};

/// Promise 1: at most one backend server owns a slot or hot key at any time, and no server starts a
/// request for a slot or hot key that another server owns.
std::unique_ptr<Check> makeOwnershipCheck();

/// Promises 6 and 7: a non-idempotent request is run at most once, and no request is run whose
/// attempts were all reported as not run.
std::unique_ptr<Check> makeRunCheck();

/// Promise 5: every answered call received the complete response to its own request.
std::unique_ptr<Check> makeResponseCheck();

/// Promise 3: no server runs more requests than it can sustain.
std::unique_ptr<Check> makeColdLimitCheck();

/// Promises 4 and 8: more than `grace` after the record that marks a server as leaving, removes it
/// or drains its data centre, no request starts at that server.
std::unique_ptr<Check> makeDrainCheck(core::Duration grace = std::chrono::seconds(3));

/// Runs all checks. `events` may be in any order.
std::vector<Breach> checkHistory(std::vector<Event> events);

} // namespace amaranthdale::history
