// What a relay holds of a partition, and the reads of other instances that wait for it.
#pragma once

#include "newest_records.h"
#include "record_tail.h"

#include <map>
#include <optional>
#include <vector>

namespace amaranthdale::relay {

/// A read of another instance that is answered later.
struct WaitingRead
{
    std::uint64_t from = 0;
    core::ResponseHandler respond;
    core::TimePoint arrivedAt{}; ///< By `Clock::uptime`.
};

/// Not thread-safe; the relay guards it.
struct PartitionState
{
    explicit PartitionState(std::size_t retainedRecords) : tail(retainedRecords) { }

    void confirm(std::optional<core::TimePoint> asOf, std::uint64_t end)
    {
        if (!asOf || (this->confirmedAt && *asOf <= *this->confirmedAt))
            return;
        this->confirmedAt = asOf;
        this->confirmedEnd = end;
    }

    RecordTail tail;
    core::TimePoint lastReadAt{};       ///< Start of the newest read; may be in the future.
    core::TimePoint storeRespondedAt{}; ///< When the store last responded to a read.
    /// All records that were acknowledged before `confirmedAt` have offsets below
    /// `confirmedEnd`.
    std::optional<core::TimePoint> confirmedAt;
    std::uint64_t confirmedEnd = 0;

    std::map<std::uint64_t, WaitingRead> waitingReads;
    NewestRecords newest;
    std::vector<WaitingRead> waitingForNewest; ///< Requests of other instances.
    bool readingNewest = false;                ///< A read for `waitingForNewest` is in progress.
};

} // namespace amaranthdale::relay
