// The assignment of keys to backend servers, as stored in the log that all instances read.
#pragma once

#include "amaranthdale/core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranthdale::keyspace {

/// A key of a keyed service.
using Key = std::uint32_t;

/// Keys range from 0 to keyCount - 1.
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

/// A backend server process, identified by the server name and the incarnation.
struct ServerIncarnation
{
    core::ServerName name;
    std::uint64_t incarnation = 0;

    auto operator<=>(const ServerIncarnation &) const = default;
};

/// A key range and its owner.
struct OwnedRange
{
    KeyRange keys;
    ServerIncarnation owner; ///< Its name is empty if the range has no owner.
    std::uint64_t fence = 0; ///< Fencing token of the grant. Increases when the owner changes.
    std::string handover;    ///< Data from the previous owner for the next one; may be empty.

    bool operator==(const OwnedRange &) const = default;
};

/// An instance that confirms to the granter that it knows of no successor. A later process of the
/// same instance is none, as it has lost what the earlier one agreed to.
struct Witness
{
    core::InstanceId instance;
    std::string peerAddress;

    bool operator==(const Witness &) const = default;
};

/// The limits that a granter with witnesses keeps. They are part of the record, so that a successor
/// needn't assume the longest possible ones.
struct AuthorityTerms
{
    core::Duration readAuthority{};    ///< From the start of a log read that showed no successor.
    core::Duration confirmation{};     ///< From the start of a request that a witness confirmed.
    core::Duration longestAuthority{}; ///< With confirmations, from the start of that read.
    core::Duration lease{};            ///< Longest lease that is sent without confirmations.
    core::Duration confirmedLease{};   ///< Longest lease that is sent with them.
    std::vector<Witness> witnesses;    ///< A majority of them confirms.

    bool operator==(const AuthorityTerms &) const = default;
};

/// A granter that was replaced and may still send grants.
struct Predecessor
{
    core::InstanceId instance;
    std::string peerAddress;
    std::optional<AuthorityTerms> terms{}; ///< Those of its record; none: the rule without them.

    bool operator==(const Predecessor &) const = default;
};

/// Ownership of all keys of a service. Invariant: the owned ranges are sorted and cover each key
/// once.
struct Assignment
{
    core::InstanceId granter; ///< The only instance that may change owners.
    std::string granterPeer;  ///< Address at which the granter receives messages from its peers.
    bool settled = false;     ///< No earlier granter can send grants any more.
    std::vector<OwnedRange> ownedRanges;
    /// Unless settled, every earlier granter that may still send grants; empty if they are not
    /// known.
    std::vector<Predecessor> earlierGranters;
    /// Limits of the granter; none: `LeaseOptions::authorityDuration` and the outage lease.
    std::optional<AuthorityTerms> terms{};
    /// Records with other owners may have been lost: no grants until the leases of all earlier
    /// granters have ended.
    bool ownersUncertain = false;

    // Not part of the record.

    /// Written before the store came back from an older copy. Nobody is granter by it, and later
    /// records may be missing.
    bool earlierEra = false;
    std::uint64_t position = 0; ///< After the record, in the era of its writer. Not compared.

    bool operator==(const Assignment &other) const;

    /// Returns the owned range that contains `key`, or null before the initial assignment.
    const OwnedRange *find(Key key) const;
};

/// True if the owned ranges are sorted and cover each key once.
bool coversAllKeys(const Assignment &assignment);

} // namespace amaranthdale::keyspace
