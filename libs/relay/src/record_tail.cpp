// Implementation of the contiguous, bounded tail of a partition.
#include "record_tail.h"

#include "amaranthdale/core/log_position.h"

namespace amaranthdale::relay {

void RecordTail::add(std::uint64_t from, const Batch &batch)
{
    if (this->initialised && batch.nextOffset <= this->end)
        return; // A concurrent read that returned more has already completed.
    if (!this->initialised || from > this->end) {
        this->records.clear();
        this->first = from;
        this->end = from;
        this->initialised = true;
    }
    for (const Record &record : batch.records) {
        if (record.offset >= this->end)
            this->records.push_back(record);
    }
    this->end = batch.nextOffset;
    while (this->records.size() > this->maxRecords) {
        this->first = this->records.front().offset + 1;
        this->records.pop_front();
    }
}

void RecordTail::initialise(std::uint64_t offset)
{
    if (this->initialised && core::logEra(offset) <= core::logEra(this->end))
        return;
    this->records.clear();
    this->first = offset;
    this->end = offset;
    this->initialised = true;
}

std::optional<Batch> RecordTail::readFrom(std::uint64_t from) const
{
    if (!this->initialised || from < this->first || from > this->end)
        return std::nullopt;
    Batch batch;
    batch.nextOffset = this->end;
    for (const Record &record : this->records) {
        if (record.offset >= from)
            batch.records.push_back(record);
    }
    return batch;
}

} // namespace amaranthdale::relay
