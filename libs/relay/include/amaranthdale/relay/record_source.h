// Interface for reading the records of durable, keyed topics.
//
// All offsets here are positions (core/log_position.h): they are only compared, never calculated
// with, and a batch lies within one era of the store.
#pragma once

#include "amaranthdale/core/message.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace amaranthdale::relay {

/// A record of a keyed topic. A record without a value removes the key.
struct Record
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset = 0;

    bool operator==(const Record &) const = default;
};

/// Newest record of each key of a partition, and the offset of the partition's next record.
struct Snapshot
{
    std::vector<Record> records;
    std::uint64_t nextOffset = 0;
    std::size_t unreadable = 0; ///< Records that were skipped because they can't be decoded.
    /// Upper bound on how much older than the call the data may be.
    core::Duration maxAge{};
    std::size_t bytes = 0; ///< Size of the keys and values, if they were read from the store.
    /// Contains everything that was acknowledged before this time of `Clock::uptime`, if set.
    std::optional<core::TimePoint> asOf = std::nullopt;
};

/// Consecutive records of a partition.
struct Batch
{
    std::vector<Record> records;
    std::uint64_t nextOffset = 0; ///< Offset to continue reading from.
    /// The records at the requested offset have been deleted: use `readNewest` instead.
    bool expired = false;
    /// Upper bound on how much older than the call the data may be.
    core::Duration maxAge{};
    bool reachedEnd = true; ///< Contains all records up to the end of the partition.
    /// Contains everything that was acknowledged before this time of `Clock::uptime`, if set.
    std::optional<core::TimePoint> asOf = std::nullopt;
};

/// Identifies a partition of a topic.
struct Partition
{
    std::string topic;
    unsigned index = 0;

    auto operator<=>(const Partition &) const = default;
};

/// Reads records. Thread-safe.
class RecordSource
{
public:
    virtual ~RecordSource() = default;

    template<class T>
    using Handler = std::function<void(core::Outcome<T>)>;

    /// Reads the newest record of each key.
    virtual void readNewest(const Partition &partition, Handler<Snapshot> handler) = 0;

    /// Reads records from offset `from` on. Waits up to `wait` for one if there are none yet.
    virtual void read(const Partition &partition, std::uint64_t from, core::Duration wait,
                      Handler<Batch> handler) = 0;
};

} // namespace amaranthdale::relay
