// Positions in the partitions of a store that may come back from an older copy.
//
// The store gives out offsets again after such a return, and counts its returns as eras. A position
// holds the era above the offset, so that positions of a later era are above all of an earlier one.
// Positions of the first era, 0, equal offsets.
#pragma once

#include <cstdint>

namespace amaranthdale::core {

/// 87 years at 400 records a second.
inline constexpr unsigned logOffsetBits = 40;

constexpr std::uint64_t logPosition(std::uint64_t era, std::uint64_t offset)
{
    return era << logOffsetBits | offset;
}

constexpr std::uint64_t logEra(std::uint64_t position)
{
    return position >> logOffsetBits;
}

constexpr std::uint64_t logOffset(std::uint64_t position)
{
    return position & ((std::uint64_t{1} << logOffsetBits) - 1);
}

} // namespace amaranthdale::core
