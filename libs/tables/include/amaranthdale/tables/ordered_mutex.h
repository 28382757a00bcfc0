// Mutexes with a fixed acquisition order, which prevents deadlocks between shared tables.
#pragma once

#include <mutex>

namespace amaranthdale::tables {

/// Position of a table in the lock order. Threads acquire locks in ascending rank only.
enum class LockRank {
    Configuration = 1,
    Membership = 2,
    Ownership = 3,
    BackendServers = 4,
    Requests = 5,
    Reports = 6,
};

/// A mutex that checks the lock order: when a thread locks it while holding a mutex of the same or
/// a higher rank, it prints both ranks to standard error and aborts. Release builds, which define
/// NDEBUG, don't check: a wrong order is found by the tests, not by callers.
class OrderedMutex
{
public:
    /// Whether this build checks the order.
    static const bool checksOrder;

    explicit OrderedMutex(LockRank lockRank) : rank(lockRank) { }

    void lock();
    void unlock();

private:
    std::mutex mutex;
    const LockRank rank;
};

} // namespace amaranthdale::tables
