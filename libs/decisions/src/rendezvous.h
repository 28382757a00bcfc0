// Rendezvous hashing: every process ranks the candidates for an entity in the same order.
#pragma once

#include "amaranthdale/core/hash.h"

#include <string>

namespace amaranthdale::decisions {

// Weight of a candidate for an entity. The highest weight is preferred.
inline std::uint64_t rendezvousWeight(const std::string &entity, const std::string &candidate)
{
    return core::stableHash(candidate, core::stableHash(entity, 0));
}

} // namespace amaranthdale::decisions
