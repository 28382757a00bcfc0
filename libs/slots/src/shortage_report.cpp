// Implementation of the reports on a pool's shortage.
#include "shortage_report.h"

#include <utility>

namespace amaranthdale::slots {

ShortageReport::Due ShortageReport::update(bool isShort, core::TimePoint now)
{
    Due due;
    const bool changed = std::exchange(this->wasShort, isShort) != isShort;
    due.observe = changed || (isShort && now >= this->nextObserve);
    if (due.observe)
        this->nextObserve = now + observeInterval;
    if (changed && isShort) {
        this->since = now;
        due.logBegin = now >= this->nextLog;
        this->beginLogged = due.logBegin;
        if (due.logBegin)
            this->nextLog = now + logInterval;
    }
    if (changed && !isShort)
        due.logEnd = std::exchange(this->beginLogged, false);
    return due;
}

} // namespace amaranthdale::slots
