// Set of slots and hot keys, and the ones that a slot record moves.
#pragma once

#include "amaranthdale/decisions/log_records.h"

#include <algorithm>
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

// All slots and hot keys that the record moves.
inline KeySet keysOf(const SlotRecord &record)
{
    KeySet keys;
    for (const SlotMove &move : record.moves) {
        keys.slots.insert(move.slots.begin(), move.slots.end());
        keys.hotKeys.insert(move.hotKeys.begin(), move.hotKeys.end());
    }
    return keys;
}

inline bool movesSlot(const SlotRecord &record, core::SlotIndex slot)
{
    return std::any_of(record.moves.begin(), record.moves.end(), [slot](const SlotMove &move) {
        return std::find(move.slots.begin(), move.slots.end(), slot) != move.slots.end();
    });
}

inline bool movesHotKey(const SlotRecord &record, const std::string &key)
{
    return std::any_of(record.moves.begin(), record.moves.end(), [&key](const SlotMove &move) {
        return std::find(move.hotKeys.begin(), move.hotKeys.end(), key) != move.hotKeys.end();
    });
}

} // namespace amaranthdale::decisions
