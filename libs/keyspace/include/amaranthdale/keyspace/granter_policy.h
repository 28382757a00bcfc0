// Decides when the granter should change. Ownership does not depend on these decisions: they only
// determine who tries to append a takeover (see LeaseManager).
#pragma once

#include "amaranthdale/core/types.h"

#include <optional>

namespace amaranthdale::keyspace {

/// Periods of the decisions about changes of granter.
struct GranterPolicyOptions
{
    /// An elected instance takes over without an answer of the granter after this time, which adds
    /// to the time without renewals after a granter was lost: leases last 3 s.
    core::Duration statusWait = std::chrono::milliseconds(250);
    core::Duration statusInterval = std::chrono::milliseconds(400);
    /// How long an answer counts. Covers two lost ones.
    core::Duration statusLifetime = std::chrono::milliseconds(1500);
    /// Consecutive failed store calls after which another instance is asked to take over. A single
    /// failure also occurs when all instances reach the store.
    unsigned maxStoreFailures = 2;
    /// Time without a response of the store after which another instance is asked. Reads wait for
    /// up to 0.9 s, and a slow store takes some 0.3 s more.
    core::Duration storeSilence = std::chrono::milliseconds(1600);
    /// Covers a takeover: an append and the message that asks this instance to step down.
    core::Duration requestInterval = std::chrono::milliseconds(250);
    /// The interval doubles with each request that led to nothing, as in an outage for all
    /// instances each one costs refused store calls.
    core::Duration maxRequestInterval = std::chrono::seconds(4);
    /// An instance that is no candidate any more keeps the role this long, so that changes of the
    /// relay, as after an outage, don't move it back and forth.
    core::Duration candidacyGrace = std::chrono::seconds(30);
};

/// Keeps an elected instance from replacing a granter that works. Addresses outages of the store
/// for some instances, after which the election prefers an instance that has just regained it. Not
/// thread-safe.
class TakeoverPolicy
{
public:
    explicit TakeoverPolicy(GranterPolicyOptions policyOptions = {}) : options(policyOptions) { }

    /// Returns whether this instance may replace `granter`. It is to be called regularly.
    bool permits(bool elected, const std::optional<core::InstanceId> &granter, core::TimePoint now);

    /// True if `granter` is to be asked now whether it keeps the role.
    bool isQueryDue(core::TimePoint now);

    /// Processes an answer; nothing if the granter didn't answer.
    void onStatus(const core::InstanceId &granter, std::optional<bool> keepsRole,
                  core::TimePoint now);

private:
    const GranterPolicyOptions options;
    std::optional<core::InstanceId> electedAgainst; ///< Granter to replace; none if not elected.
    core::TimePoint electedAt{};
    core::TimePoint nextQuery{};
    core::TimePoint keptUntil{}; ///< The granter keeps the role, as far as is known.
    bool answered = false;       ///< The granter was asked, and has answered or not.
};

/// Watches this instance's access to the store, and decides whether it keeps the granter's role or
/// asks another instance to take over. Not thread-safe.
class HandoverPolicy
{
public:
    explicit HandoverPolicy(GranterPolicyOptions policyOptions = {}) : options(policyOptions) { }

    /// Reports the result of a read or append.
    void onStoreCall(bool succeeded, core::TimePoint now);

    /// Reports whether this instance stands for election.
    void setCandidate(bool isCandidate, core::TimePoint now);

    /// This instance stops and keeps no role.
    void leave() { this->leaving = true; }

    /// True if the store has responded to the last calls.
    bool reachesStore(core::TimePoint now) const;

    /// True if this instance, as the granter, is able and willing to go on.
    bool keepsRole(core::TimePoint now) const;

    /// True if another instance is to be asked now. Called by the granter only.
    bool isRequestDue(core::TimePoint now);

private:
    const GranterPolicyOptions options;
    unsigned failures = 0; ///< Consecutive failed calls.
    core::TimePoint lastSuccess{};
    core::TimePoint lastCandidate{};
    core::TimePoint nextRequest{};
    core::Duration requestInterval{};
    bool leaving = false;
};

} // namespace amaranthdale::keyspace
