// Pauses between two questions to an instance.
#pragma once

#include "amaranthdale/clock/clock.h"

#include <memory>

namespace amaranthdale::cli {

/// Time as a command sees it.
class Pacer
{
public:
    virtual ~Pacer() = default;

    virtual core::TimePoint now() const = 0;

    /// Returns after `duration`.
    virtual void pause(core::Duration duration) = 0;
};

/// Pauses by timers of `clock`, which must outlive the pacer and run its callbacks on another
/// thread than the one that pauses.
std::unique_ptr<Pacer> makePacer(clock::Clock &clock);

} // namespace amaranthdale::cli
