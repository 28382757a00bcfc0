// Where instances read the records of durable, keyed topics.
#pragma once

#include "amaranthdale/core/message.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace amaranthdale::relay {

/// A record of a keyed topic. No value: the key was removed.
struct Record
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset = 0;

    bool operator==(const Record &) const = default;
};

/// Newest record of each key of a partition and the offset of its next record.
struct Snapshot
{
    std::vector<Record> records;
    std::uint64_t end = 0;
};

/// Part of a partition.
struct Batch
{
    std::vector<Record> records;
    std::uint64_t end = 0; ///< Offset to read on from.
    /// Records at the wanted offset have been deleted: read the newest record of each key instead.
    bool expired = false;
    /// The state may be this much older than the call.
    core::Duration age{};
};

/// Place of a partition.
struct Partition
{
    std::string topic;
    unsigned part = 0;

    auto operator<=>(const Partition &) const = default;
};

/// Reads records. Thread-safe.
class RecordSource
{
public:
    virtual ~RecordSource() = default;

    template<class T>
    using Handler = std::function<void(core::Outcome<T>)>;

    /// Newest record of each key.
    virtual void readNewest(const Partition &partition, Handler<Snapshot> handler) = 0;

    /// Records from offset `from` on. Waits up to `wait` for one.
    virtual void read(const Partition &partition, std::uint64_t from, core::Duration wait,
                      Handler<Batch> handler) = 0;
};

} // namespace amaranthdale::relay
