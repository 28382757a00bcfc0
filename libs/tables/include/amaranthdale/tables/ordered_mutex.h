// Mutexes with a place in one stated order, which rules out deadlock between tables.
#pragma once

#include <mutex>

namespace amaranthdale::tables {

/// Place of a table in the lock order: a thread takes locks by rising rank only.
enum class LockRank {
    Configuration = 1,
    Membership = 2,
    Ownership = 3,
    BackendServers = 4,
    Requests = 5,
    Reports = 6,
};

/// A mutex that aborts the process, with both ranks on standard error, when a thread takes it while
/// holding one of the same or a higher rank. The check is compiled out with NDEBUG.
class OrderedMutex
{
public:
    explicit OrderedMutex(LockRank lockRank) : rank(lockRank) { }

    void lock();
    void unlock();

private:
    std::mutex mutex;
    const LockRank rank;
};

} // namespace amaranthdale::tables
