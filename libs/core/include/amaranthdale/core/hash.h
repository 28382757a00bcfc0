// Hashes that all processes must agree on.
#pragma once

#include "amaranthdale/core/types.h"

#include <cstdint>
#include <string_view>

namespace amaranthdale::core {

/// Seeded XXH3 of `text`. Stable across processes, builds and machines.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed);

/// Slot of `key` in a service with `hashSlots` slots (at least 1).
SlotIndex slotForKey(std::string_view key, std::uint64_t seed, SlotIndex hashSlots);

} // namespace amaranthdale::core
