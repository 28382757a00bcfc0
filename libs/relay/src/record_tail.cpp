// Keeping a tail contiguous and bounded.
#include "record_tail.h"

namespace amaranthdale::relay {

void RecordTail::add(std::uint64_t from, const Batch &batch)
{
    if (this->started && batch.end <= this->end)
        return; // Ended later than a read that told more.
    if (!this->started || from > this->end) {
        this->records.clear();
        this->first = from;
        this->end = from;
        this->started = true;
    }
    for (const Record &record : batch.records) {
        if (record.offset >= this->end)
            this->records.push_back(record);
    }
    this->end = batch.end;
    while (this->records.size() > this->most) {
        this->first = this->records.front().offset + 1;
        this->records.pop_front();
    }
}

std::optional<Batch> RecordTail::since(std::uint64_t from) const
{
    if (!this->started || from < this->first || from > this->end)
        return std::nullopt;
    Batch batch;
    batch.end = this->end;
    for (const Record &record : this->records) {
        if (record.offset >= from)
            batch.records.push_back(record);
    }
    return batch;
}

} // namespace amaranthdale::relay
