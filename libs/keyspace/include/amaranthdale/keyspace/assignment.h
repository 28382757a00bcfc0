// Which backend server owns which keys of a service: the record that all instances agree on.
#pragma once

#include "amaranthdale/core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranthdale::keyspace {

/// A key of a keyed service.
using Key = std::uint32_t;

/// Keys are 0 to keyCount - 1.
inline constexpr Key keyCount = 65536;

/// An inclusive range of keys.
struct KeyRange
{
    Key first = 0;
    Key last = 0;

    auto operator<=>(const KeyRange &) const = default;
    Key size() const { return this->last - this->first + 1; }
    bool contains(Key key) const { return this->first <= key && key <= this->last; }
};

/// One run of one backend server.
struct ServerRun
{
    core::ServerName name;
    std::uint64_t incarnation = 0;

    auto operator<=>(const ServerRun &) const = default;
};

/// A range and its owner.
struct Holding
{
    KeyRange keys;
    ServerRun owner;         ///< Empty name: nobody.
    std::uint64_t fence = 0; ///< Token of the owner's grant. Rises with each change of owner.
    std::string handover;    ///< What the last owner returned for the next one; may be empty.

    bool operator==(const Holding &) const = default;
};

/// All keys of one service. Invariant: the holdings are sorted and cover every key once.
struct Assignment
{
    core::InstanceId granter; ///< The only instance that may move keys.
    std::string granterPeer;  ///< Address at which the granter takes messages of its peers.
    bool settled = false;     ///< No earlier granter sends grants any more.
    std::vector<Holding> holdings;

    bool operator==(const Assignment &) const = default;

    /// The holding of `key`, or null before the first assignment.
    const Holding *find(Key key) const;
};

/// True when the holdings are sorted and cover every key once.
bool coversAllKeys(const Assignment &assignment);

} // namespace amaranthdale::keyspace
