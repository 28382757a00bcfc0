// The known backend servers, as announced by the registry.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/core/types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace amaranthdale::catalog {

/// One incarnation of a backend server, as registered by the server.
struct BackendServer
{
    core::ServerName name;
    core::ServiceName service;
    core::Endpoint endpoint;
    core::DataCentreName dataCentre;
    unsigned slots = 1;    ///< Maximum number of concurrent requests.
    bool draining = false; ///< Shutting down; gets no new requests.
    bool leaving = false;  ///< Said itself that it is shutting down; serves only keys that it owns.
    std::uint64_t incarnation = 0; ///< Differs between process runs under the same name.
    /// Orders what one incarnation says of itself; unset if it doesn't number its entries.
    std::optional<std::uint64_t> sequence;
    core::TimePoint coldUntil{}; ///< Sustains only light load before this time.

    bool operator==(const BackendServer &) const = default;
};

using BackendServers = std::vector<BackendServer>;

/// The effect of an update on a server entry.
enum class DirectoryChange {
    None,
    Added,
    Restarted,
    Updated,
    Removed,
    Outdated, ///< Nothing changed: the server has said something newer.
};

/// The known servers and the drained data centres. Not thread-safe.
///
/// The registry may execute a write long after the server has given it up and written something
/// newer. Entries are ordered by incarnation, then by sequence, and an entry older than the newest
/// one that was announced changes nothing, even if the server has been removed since.
class Directory
{
public:
    /// Adds or updates a server with an entry that was read at `now`.
    DirectoryChange announce(BackendServer server, core::TimePoint now = {});

    /// Removes a server. Within `reregistrationGrace` after `outageEnded`, the removal of a server
    /// that is not draining is delayed by up to `removalDelay`, because its entry may have expired
    /// only due to the registry outage.
    DirectoryChange remove(const core::ServerName &name, core::TimePoint now);

    /// Removes all servers that are not in `names`. For use after a full read of the registry.
    void retain(const std::set<core::ServerName> &names, core::TimePoint now);

    /// Marks an incarnation of a server as leaving, as the server itself said. Holds until another
    /// incarnation is announced, whatever the registry says. Returns false if it is unknown here or
    /// marked already.
    bool markLeaving(const core::ServerName &name, std::uint64_t incarnation, core::TimePoint now);

    /// When the current incarnation of a server was marked as leaving, if it was.
    std::optional<core::TimePoint> leavingSince(const core::ServerName &name) const;

    /// Reports that the registry responds again after an outage. The last read that failed began at
    /// `lastFailedRead`, so the outage ended later than that.
    void outageEnded(core::TimePoint now, core::TimePoint lastFailedRead);

    /// Applies the delayed removals that are due. Returns the names of the removed servers.
    std::vector<core::ServerName> expire(core::TimePoint now);

    /// Returns when the next delayed removal is due, or max() if there is none.
    core::TimePoint nextExpiry() const;

    /// Replaces the set of drained data centres. Servers of a data centre that returns to service
    /// count as cold for `warmup`, since the update in which they say so may not have arrived yet.
    void setDrained(std::set<core::DataCentreName> names, core::TimePoint now,
                    core::Duration warmup);

    bool isDrained(const core::DataCentreName &name) const { return this->drained.contains(name); }

    /// Returns the servers of a service that accept new requests, sorted by name.
    BackendServers usable(const core::ServiceName &service) const;

    /// Like `usable`, with the servers that said that they are leaving.
    BackendServers usableOrLeaving(const core::ServiceName &service) const;

    /// Returns all known servers of a service, usable or not.
    BackendServers all(const core::ServiceName &service) const;

    const BackendServer *find(const core::ServerName &name) const;

    /// True if the server is known, has this incarnation and accepts new requests.
    bool isUsable(const core::ServerName &name, std::uint64_t incarnation) const;

    std::size_t size() const { return this->servers.size(); }

    /// Entries that expire during a registry outage are registered again within about 2 s after it
    /// (registry's specification); 0.5 s are added for propagation.
    static constexpr core::Duration reregistrationGrace = std::chrono::milliseconds(2500);

    /// A server that does not register again must get no requests later than 2 s after its removal
    /// was acknowledged (registry's specification), so removals are delayed by less than that.
    static constexpr core::Duration removalDelay = std::chrono::milliseconds(1500);

    /// The end of an outage may be noticed some seconds late. From 3 s after it, the 2 s of
    /// `removalDelay` count from the registry's acknowledgement, whenever the removal is read here
    /// (registry's specification). The grace period ends 0.5 s before the first of these may be
    /// over, for propagation.
    static constexpr core::Duration maxGraceAfterFailure = std::chrono::milliseconds(4500);

    /// Marks of servers that have left the registry are kept as well, since an entry may reappear.
    static constexpr std::size_t maxLeavingMarks = 4096;

    /// The registry executes a write at most some seconds late (6 s, registry's specification). A
    /// server whose sequence has been lower for longer than this has started to count anew.
    static constexpr core::Duration maxWriteDelay = std::chrono::seconds(30);

    /// Removed servers whose newest entry is remembered.
    static constexpr std::size_t maxRemovedServers = 4096;

    /// Entries of earlier incarnations that are remembered.
    static constexpr std::size_t maxOlderIncarnations = 4096;

private:
    // Order of the newest entry that was announced.
    struct NewestEntry
    {
        std::uint64_t incarnation = 0;
        std::optional<std::uint64_t> sequence;
        core::TimePoint readAt{};
    };

    struct LeavingMark
    {
        std::uint64_t incarnation = 0;
        core::TimePoint since{};
    };

    bool isOutdated(const BackendServer &server, core::TimePoint now) const;
    bool isDelayedIncarnation(const BackendServer &server, core::TimePoint now);
    void rememberNewest(const BackendServer &server, core::TimePoint now);
    bool hasMark(const core::ServerName &name, std::uint64_t incarnation) const;
    void dropOldestMark();

    std::map<core::ServerName, BackendServer> servers;
    // At most `maxLeavingMarks`. A known server with a mark has `leaving` set.
    std::map<core::ServerName, LeavingMark> leavingMarks;
    // Servers removed during the grace period, with the time at which the removal takes effect.
    std::map<core::ServerName, core::TimePoint> delayedRemovals;
    // Of all known servers, and of up to `maxRemovedServers` removed ones.
    std::map<core::ServerName, NewestEntry> newestEntries;
    // Incarnations announced once after a higher incarnation of the server, with the sequence.
    std::map<std::pair<core::ServerName, std::uint64_t>, std::optional<std::uint64_t>>
            olderIncarnations;
    std::set<core::DataCentreName> drained;
    core::TimePoint graceEnd{};
};

} // namespace amaranthdale::catalog
