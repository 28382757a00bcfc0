// Snapshot and later changes of a partition.
#include "newest_records.h"

namespace amaranthdale::relay {

void NewestRecords::reset(const Snapshot &snapshot)
{
    if (this->valid && snapshot.nextOffset < this->nextOffset)
        return; // An older read that completed late.
    this->newest.clear();
    for (const Record &record : snapshot.records)
        this->newest[record.key] = record;
    this->nextOffset = snapshot.nextOffset;
    this->valid = true;
}

void NewestRecords::apply(std::uint64_t from, const Batch &batch)
{
    if (!this->valid || batch.nextOffset <= this->nextOffset)
        return;
    if (from > this->nextOffset) {
        this->valid = false;
        this->newest.clear();
        return;
    }
    for (const Record &record : batch.records) {
        if (record.offset < this->nextOffset)
            continue;
        // The pages of a snapshot are read one after another, so a later one may be ahead.
        const auto known = this->newest.find(record.key);
        if (known != this->newest.end() && known->second.offset > record.offset)
            continue;
        if (record.value)
            this->newest[record.key] = record;
        else
            this->newest.erase(record.key);
    }
    this->nextOffset = batch.nextOffset;
}

std::vector<Record> NewestRecords::records() const
{
    std::vector<Record> all;
    all.reserve(this->newest.size());
    for (const auto &[key, record] : this->newest)
        all.push_back(record);
    return all;
}

} // namespace amaranthdale::relay
