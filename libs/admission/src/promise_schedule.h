// Times at which refused requests of one route were asked to come back.
#pragma once

#include "amaranthdale/admission/admission_options.h"

#include <deque>

namespace amaranthdale::admission {

/// Ledger of promised returns of one route. A returning request has a new id, so a promise is
/// fulfilled by any request that arrives when it is due; one that arrives earlier fulfils none.
/// Not thread-safe.
class PromiseSchedule
{
public:
    /// Returns the delay after which a refused request finds room. `earliest` is the delay until
    /// there is any, `interval` the time between two promises, `honoured` the longest delay that
    /// the caller observes. A later time is returned but not promised, as the caller would not come
    /// back at it.
    core::Duration book(core::Duration earliest, core::Duration interval, core::Duration honoured,
                        const AdmissionOptions &options, core::TimePoint now);

    /// Removes a promise that is due. Returns false if there is none.
    bool takeDue(core::TimePoint now);

    /// Number of promises due until `until` that may still be fulfilled.
    std::size_t openUntil(core::TimePoint now, core::TimePoint until) const;

private:
    std::deque<core::TimePoint> promised; ///< Invariant: ascending, at most `maxPromises`.
    core::TimePoint lastUnpromised{};     ///< Newest time that was named without a promise.
};

} // namespace amaranthdale::admission
