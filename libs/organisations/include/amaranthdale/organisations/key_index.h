// Lookup of the organisation that holds a caller's key.
#pragma once

#include "amaranthdale/catalog/catalogue.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace amaranthdale::organisations {

/// Hash of a key under the random seed of this process. Identifies a key without revealing it.
using KeyDigest = std::uint64_t;

/// A valid key and its organisation.
struct KeyMatch
{
    const catalog::Organisation *organisation = nullptr; ///< Valid as long as the index.
    KeyDigest digest = 0;
};

/// Keys of the organisations of one configuration. Immutable. The cost of a lookup depends neither
/// on the number of organisations nor on that of the keys.
class KeyIndex
{
public:
    /// `seed` should be random for each process: callers who know it could choose keys that
    /// collide.
    KeyIndex(std::shared_ptr<const catalog::RouteTable> configuration, std::uint64_t seed);

    /// Returns the organisation that holds `key`. A wrong key is compared in constant time, so that
    /// response times don't reveal how much of it is right.
    std::optional<KeyMatch> find(std::string_view key) const;

    /// True if `organisation` holds the key that `find` gave this digest, with the same seed.
    bool holds(KeyDigest digest, const core::OrganisationName &organisation) const;

private:
    struct Entry
    {
        std::string_view key; ///< Points into `table`.
        std::size_t position = 0;
    };

    KeyDigest digestOf(std::string_view key) const;

    const std::shared_ptr<const catalog::RouteTable> table; ///< Has organisations.
    const std::uint64_t hashSeed;
    std::unordered_multimap<KeyDigest, Entry> entries;
};

} // namespace amaranthdale::organisations
