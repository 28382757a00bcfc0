// Detects requests that crash the backend servers that run them.
#pragma once

#include "amaranthdale/core/types.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace amaranthdale::decisions {

/// Records that a request with this fingerprint was in flight when a server crashed.
struct Strike
{
    std::uint64_t fingerprint = 0;
    core::ServerName server;
    core::Incarnation incarnation;
    core::Duration age = {}; ///< Time since the crash.
};

/// A fingerprint that all instances refuse.
struct Ban
{
    std::uint64_t fingerprint = 0;
    core::Duration remaining = {};
};

/// Counts strikes by fingerprint: a second strike on another server, or on another incarnation of
/// the same server, bans the fingerprint. A response clears its strike, so requests that only
/// happened to be in flight during a crash are soon cleared. Heartbeats carry strikes and bans to
/// peers, since the two servers may have different controllers.
class CrashFilter
{
public:
    /// Lifetime of strikes and bans.
    static constexpr core::Duration banDuration = std::chrono::minutes(10);

    explicit CrashFilter(std::size_t maxFingerprints = 4096);

    /// `incarnation` of `server` crashed with these fingerprints in flight.
    void crashed(const std::vector<std::uint64_t> &fingerprints, const core::ServerName &server,
                 core::Incarnation incarnation, core::TimePoint now);
    /// A server answered a request with this fingerprint.
    void answered(std::uint64_t fingerprint);

    /// Remaining time of the ban on `fingerprint`, or nothing when it isn't banned.
    std::optional<core::Duration> banned(std::uint64_t fingerprint, core::TimePoint now) const;

    /// Current strikes and bans, for peers.
    std::vector<Strike> strikes(core::TimePoint now) const;
    std::vector<Ban> bans(core::TimePoint now) const;
    /// Merge a strike or ban received from a peer. The longer of two bans applies.
    void mergeStrike(const Strike &strike, core::TimePoint now);
    void mergeBan(const Ban &ban, core::TimePoint now);

    void expire(core::TimePoint now);

private:
    struct StrikeEntry
    {
        core::ServerName server;
        core::Incarnation incarnation;
        core::TimePoint at;
    };

    void addStrike(std::uint64_t fingerprint, StrikeEntry entry);
    void addBan(std::uint64_t fingerprint, core::TimePoint until);

    std::size_t capacity; // Of each table; the entry that expires first is evicted.
    std::unordered_map<std::uint64_t, StrikeEntry> strikesByFingerprint;
    std::unordered_map<std::uint64_t, core::TimePoint> bannedUntil;
};

} // namespace amaranthdale::decisions
