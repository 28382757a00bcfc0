// Decides when a pool's shortage is logged and reported.
#pragma once

#include "amaranthdale/core/types.h"

namespace amaranthdale::slots {

/// One pool's shortage as reported so far. Not thread-safe.
class ShortageReport
{
public:
    /// What is due for a pool that is short, or isn't.
    struct Due
    {
        bool observe = false;  ///< Metrics.
        bool logBegin = false; ///< At most once per `logInterval`.
        bool logEnd = false;   ///< Only after a logged begin.
    };

    Due update(bool isShort, core::TimePoint now);

    /// True until the end of a shortage has been reported.
    bool isOpen() const { return this->wasShort; }

    /// Duration of the current or last shortage.
    core::Duration duration(core::TimePoint now) const { return now - this->since; }

    static constexpr core::Duration observeInterval = std::chrono::seconds(1);

    /// Pools that alternate between short and not short would otherwise fill the log.
    static constexpr core::Duration logInterval = std::chrono::seconds(10);

private:
    bool wasShort = false;
    bool beginLogged = false;
    core::TimePoint since{};
    core::TimePoint nextObserve{};
    core::TimePoint nextLog{};
};

} // namespace amaranthdale::slots
