// Buffer of the newest records of a partition that a relay has read from the store.
#pragma once

#include "amaranthdale/relay/record_source.h"

#include <deque>

namespace amaranthdale::relay {

/// A contiguous tail of a partition, within one era of the store. Not thread-safe. Invariant: holds
/// every readable record with an offset in [first, end).
class RecordTail
{
public:
    explicit RecordTail(std::size_t recordLimit) : maxRecords(recordLimit) { }

    /// Adds the result of a read from `from`. A gap discards the records held before.
    void add(std::uint64_t from, const Batch &batch);

    /// Starts an empty tail at `offset`, unless one of the same or a later era is held already.
    void initialise(std::uint64_t offset);

    /// Records from `from` on, or nullopt if they are not held.
    std::optional<Batch> readFrom(std::uint64_t from) const;

    /// True if `offset` lies behind the records that are held.
    bool isBehind(std::uint64_t offset) const { return this->initialised && offset > this->end; }

    /// True if reads from `offset` can be served, now or later.
    bool covers(std::uint64_t offset) const { return this->initialised && offset >= this->first; }

private:
    const std::size_t maxRecords;
    std::uint64_t first = 0;
    std::uint64_t end = 0;
    bool initialised = false;
    std::deque<Record> records;
};

} // namespace amaranthdale::relay
