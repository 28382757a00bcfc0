// The newest record of each key of a partition, kept up to date by the batches read after it.
#pragma once

#include "amaranthdale/relay/record_source.h"

#include <map>

namespace amaranthdale::relay {

/// Not thread-safe. Invariant: if valid, holds the newest record of each key before `end`.
class NewestRecords
{
public:
    /// Takes over a snapshot.
    void reset(const Snapshot &snapshot);

    /// Applies a read from `from`. A gap before it makes the state invalid.
    void apply(std::uint64_t from, const Batch &batch);

    bool isValid() const { return this->valid; }
    std::uint64_t end() const { return this->nextOffset; }
    std::vector<Record> records() const;

private:
    bool valid = false;
    std::uint64_t nextOffset = 0;
    std::map<std::string, Record> newest;
};

} // namespace amaranthdale::relay
