// Decides which requests crash the backend servers that run them.
#pragma once

#include "amaranthdale/core/types.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace amaranthdale::quarantine {

/// Hash of what makes two requests the same work; all instances compute it alike.
using Fingerprint = std::uint64_t;

/// One run of a backend server.
struct ServerRun
{
    core::ServerName server;
    std::uint64_t incarnation = 0;

    auto operator<=>(const ServerRun &) const = default;
};

/// Hash of a server run; all instances compute it alike.
using ServerRunId = std::uint64_t;
ServerRunId serverRunId(const ServerRun &run);

/// A server has ended while it was running a request.
struct Crash
{
    Fingerprint fingerprint = 0;
    ServerRunId server = 0;
    core::Duration age{}; ///< Time since the connection to the server was lost.

    bool operator==(const Crash &) const = default;
};

/// A request that no instance sends to a server.
struct Block
{
    Fingerprint fingerprint = 0;
    unsigned level = 0;         ///< Number of times that it has been blocked, this one included.
    core::Duration remaining{}; ///< Until the end of the block.

    bool operator==(const Block &) const = default;
};

struct CrashPolicyOptions
{
    /// Losses on different runs of servers that block a request: at least `minLosses`, of which
    /// `minCrashes` are followed by the end of the server. A crash also takes requests with it that
    /// haven't caused it, so a single one proves nothing.
    std::size_t minLosses = 3;
    std::size_t minCrashes = 2;
    /// How long a crash counts.
    core::Duration memory = std::chrono::minutes(10);
    /// The registry removes a server that has crashed after three heartbeats, about 3 s. A loss
    /// that it doesn't confirm within this time was only that of a connection.
    core::Duration confirmationTime = std::chrono::seconds(8);
    /// Durations of the first, second and all further blocks. When one ends, a single loss starts
    /// the next, so a request that crashes every server reaches about two more in a day.
    std::array<core::Duration, 3> blockTimes{std::chrono::minutes(2), std::chrono::hours(1),
                                             std::chrono::hours(24)};
    /// Bounds the memory. The fingerprint that was changed least recently is forgotten first.
    std::size_t maxFingerprints = 4096;
};

/// Counts the servers that end while they run a request. A response to the request proves that it
/// crashes nothing and clears it. Not thread-safe.
class CrashPolicy
{
public:
    explicit CrashPolicy(CrashPolicyOptions policyOptions = {});

    /// The connection to a server was lost without a response to the request that it was sent.
    /// Returns the block that this starts, if any.
    std::optional<Block> onLost(Fingerprint fingerprint, const ServerRun &run, core::TimePoint now);

    /// What follows from the end of a server.
    struct Confirmed
    {
        std::vector<Crash> crashes; ///< Of requests that this instance had sent to the server.
        std::vector<Block> blocks;  ///< That the crashes start.
    };

    /// A server has ended without having said that it would leave.
    Confirmed onServerEnded(const ServerRun &run, core::TimePoint now);

    /// A server leaves as planned: what was lost there counts no longer.
    void onServerLeft(const ServerRun &run);

    /// Runs of servers with losses that the registry has not confirmed yet.
    std::vector<ServerRun> unconfirmed(core::TimePoint now) const;

    /// A server responded to the request, so it ran without a crash. Returns true if other
    /// instances may count crashes of the request that this instance reported.
    bool onAnswered(Fingerprint fingerprint);

    /// Time until the end of the block of a request; nothing if it isn't blocked.
    std::optional<core::Duration> blockedFor(Fingerprint fingerprint, core::TimePoint now) const;

    /// All blocks that have not ended.
    std::vector<Block> blocks(core::TimePoint now) const;

    /// Merges what another instance has observed. Returns the block that a crash starts.
    std::optional<Block> merge(const Crash &crash, core::TimePoint now);
    /// Returns true if the request was not blocked before.
    bool merge(const Block &block, core::TimePoint now);
    void clear(Fingerprint fingerprint) { this->suspects.erase(fingerprint); }

    /// Forgets what counts no longer.
    void expire(core::TimePoint now);

    bool isEmpty() const { return this->suspects.empty(); }

private:
    struct Loss
    {
        ServerRunId server = 0;
        core::TimePoint at{};
        bool confirmed = false;
    };

    struct Suspect
    {
        std::vector<Loss> losses; ///< Of different runs; at most `minLosses`.
        unsigned level = 0;       ///< Number of blocks so far.
        core::TimePoint blockedUntil{};
        core::TimePoint changedAt{};
        bool reported = false; ///< This instance has told others of a crash.
    };

    /// A loss of this instance's own that waits for the registry.
    struct Pending
    {
        Fingerprint fingerprint = 0;
        core::TimePoint at{};
    };

    /// A server works on a few requests of one instance at a time.
    static constexpr std::size_t maxPendingPerRun = 64;

    Suspect &findOrAdd(Fingerprint fingerprint, core::TimePoint now);
    void addLoss(Suspect &suspect, const Loss &loss, core::TimePoint now) const;
    void dropOutdated(Suspect &suspect, core::TimePoint now) const;
    bool isObsolete(const Suspect &suspect, core::TimePoint now) const;
    std::optional<Block> evaluate(Fingerprint fingerprint, Suspect &suspect, core::TimePoint now);

    const CrashPolicyOptions options;
    std::unordered_map<Fingerprint, Suspect> suspects; // At most `maxFingerprints`.
    std::map<ServerRun, std::vector<Pending>> pending; // At most `maxPendingPerRun` each.
};

} // namespace amaranthdale::quarantine
