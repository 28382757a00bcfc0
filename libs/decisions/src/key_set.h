// Slots and hot keys of one backend server.
#pragma once

#include "amaranthdale/decisions/log_records.h"

#include <set>

namespace amaranthdale::decisions {

struct KeySet
{
    std::set<core::SlotIndex> slots;
    std::set<std::string> hotKeys;

    bool empty() const { return this->slots.empty() && this->hotKeys.empty(); }
    bool operator==(const KeySet &) const = default;

    void add(const KeySet &other)
    {
        this->slots.insert(other.slots.begin(), other.slots.end());
        this->hotKeys.insert(other.hotKeys.begin(), other.hotKeys.end());
    }

    void remove(const KeySet &other)
    {
        for (core::SlotIndex slot : other.slots)
            this->slots.erase(slot);
        for (const std::string &key : other.hotKeys)
            this->hotKeys.erase(key);
    }

    std::vector<core::SlotIndex> slotList() const
    {
        return {this->slots.begin(), this->slots.end()};
    }
    std::vector<std::string> hotKeyList() const
    {
        return {this->hotKeys.begin(), this->hotKeys.end()};
    }
};

// Everything that the record moves away from its source.
inline KeySet keysOf(const SlotRecord &record)
{
    KeySet keys;
    for (const SlotMove &move : record.moves) {
        keys.slots.insert(move.slots.begin(), move.slots.end());
        keys.hotKeys.insert(move.hotKeys.begin(), move.hotKeys.end());
    }
    return keys;
}

} // namespace amaranthdale::decisions
