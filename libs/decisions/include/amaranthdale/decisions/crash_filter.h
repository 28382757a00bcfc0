// Finds requests that crash the servers that run them.
#pragma once

#include "amaranthdale/core/types.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace amaranthdale::decisions {

/// A fingerprint that was in flight when a server crashed.
struct Strike
{
    std::uint64_t fingerprint = 0;
    core::ServerName server;
    core::Incarnation incarnation;
    core::Duration age = {};
};

/// A fingerprint that is refused everywhere.
struct Ban
{
    std::uint64_t fingerprint = 0;
    core::Duration remaining = {};
};

/// Counts strikes by fingerprint: a second one on another server, or on another incarnation of the
/// same one, bans the fingerprint. An answer clears a strike, so requests that were merely in
/// flight beside the harmful one are soon clear. Strikes and bans travel to peers with heartbeats,
/// since the two servers may have different controllers.
class CrashFilter
{
public:
    /// How long strikes are remembered and bans last.
    static constexpr core::Duration banTime = std::chrono::minutes(10);

    explicit CrashFilter(std::size_t maxFingerprints = 4096);

    /// `server` crashed in its run `incarnation` with these fingerprints in flight.
    void crashed(const std::vector<std::uint64_t> &fingerprints, const core::ServerName &server,
                 core::Incarnation incarnation, core::TimePoint now);
    /// A server answered the fingerprint.
    void answered(std::uint64_t fingerprint);

    /// How long `fingerprint` is still refused; nothing when it is not.
    std::optional<core::Duration> banned(std::uint64_t fingerprint, core::TimePoint now) const;

    /// What peers have to learn.
    std::vector<Strike> strikes(core::TimePoint now) const;
    std::vector<Ban> bans(core::TimePoint now) const;
    /// What peers told. The longer of two bans holds.
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

    void strike(std::uint64_t fingerprint, StrikeEntry entry);
    void ban(std::uint64_t fingerprint, core::TimePoint until);

    std::size_t capacity; // Of each table; the entry nearest its end makes room.
    std::unordered_map<std::uint64_t, StrikeEntry> struck;
    std::unordered_map<std::uint64_t, core::TimePoint> bannedUntil;
};

} // namespace amaranthdale::decisions
