// Runtime check of the lock order.
#include "amaranthdale/tables/ordered_mutex.h"

#include <cstdio>
#include <cstdlib>
#include <vector>

namespace amaranthdale::tables {

namespace {

#ifndef NDEBUG
// Ranks of the locks held by this thread, in acquisition order.
thread_local std::vector<LockRank> heldRanks;

void checkOrder(LockRank wanted)
{
    if (heldRanks.empty() || heldRanks.back() < wanted)
        return;
    std::fprintf(
            stderr,
            "event=lockOrderBroken held=%d wanted=%d remedy=\"lock mutexes in ascending rank\"\n",
            static_cast<int>(heldRanks.back()), static_cast<int>(wanted));
    std::abort();
}
#endif

} // namespace

#ifdef NDEBUG
const bool OrderedMutex::checksOrder = false;
#else
const bool OrderedMutex::checksOrder = true;
#endif

void OrderedMutex::lock()
{
#ifndef NDEBUG
    checkOrder(this->rank);
#endif
    this->mutex.lock();
#ifndef NDEBUG
    heldRanks.push_back(this->rank);
#endif
}

void OrderedMutex::unlock()
{
#ifndef NDEBUG
    heldRanks.pop_back();
#endif
    this->mutex.unlock();
}

} // namespace amaranthdale::tables
