// The newest records of a partition that a relay has read from the store.
#pragma once

#include "amaranthdale/relay/record_source.h"

#include <deque>

namespace amaranthdale::relay {

/// A contiguous tail of one partition. Not thread-safe. Invariant: holds every readable record
/// with an offset in [first, end).
class RecordTail
{
public:
    explicit RecordTail(std::size_t mostRecords) : most(mostRecords) { }

    /// Enters what a read from `from` yielded. A gap drops what was held before.
    void add(std::uint64_t from, const Batch &batch);

    /// Records from `from` on, or nothing where they are not held.
    std::optional<Batch> since(std::uint64_t from) const;

private:
    const std::size_t most;
    std::uint64_t first = 0;
    std::uint64_t end = 0;
    bool started = false;
    std::deque<Record> records;
};

} // namespace amaranthdale::relay
