// Stable hashing with xxHash.
#include "amaranthdale/core/hash.h"

#include <xxhash.h>

#include <cassert>

namespace amaranthdale::core {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

SlotIndex slotForKey(std::string_view key, std::uint64_t seed, SlotIndex hashSlots)
{
    assert(hashSlots > 0);
    return static_cast<SlotIndex>(stableHash(key, seed) % hashSlots);
}

} // namespace amaranthdale::core
