// A value that can only be reached with its lock held.
#pragma once

#include "amaranthdale/tables/ordered_mutex.h"

#include <utility>

namespace amaranthdale::tables {

/// A shared table: a `T` behind one `OrderedMutex`.
template<class T>
class Guarded
{
public:
    template<class... Arguments>
    explicit Guarded(LockRank rank, Arguments &&...arguments)
        : mutex(rank), value(std::forward<Arguments>(arguments)...)
    { }

    /// Runs `function` on the value with the lock held. The function does no I/O, runs no callback
    /// and takes only locks of a higher rank.
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
