// A value that can only be accessed while its mutex is held.
#pragma once

#include "amaranthdale/tables/ordered_mutex.h"

#include <utility>

namespace amaranthdale::tables {

/// A `T` protected by an `OrderedMutex`.
template<class T>
class Guarded
{
public:
    template<class... Arguments>
    explicit Guarded(LockRank rank, Arguments &&...arguments)
        : mutex(rank), value(std::forward<Arguments>(arguments)...)
    { }

    /// Calls `function` with the value while holding the lock. The function must not do I/O, invoke
    /// callbacks or acquire locks of the same or a lower rank.
    template<class Function>
    decltype(auto) with(Function &&function)
    {
        std::lock_guard lock(this->mutex);
        return std::forward<Function>(function)(this->value);
    }

    template<class Function>
    decltype(auto) with(Function &&function) const
    {
        std::lock_guard lock(this->mutex);
        return std::forward<Function>(function)(std::as_const(this->value));
    }

private:
    mutable OrderedMutex mutex;
    T value;
};

} // namespace amaranthdale::tables
