// Policies that bound how long a controller may act on a backend server and how long its
// successor waits before it acts.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/ownership_messages.h"

#include <optional>
#include <vector>

namespace amaranthdale::decisions {

/// Inputs for a controller's decision on its own authority over one backend server.
struct AuthorityInputs
{
    /// Start of the latest log read that showed no newer controller.
    std::optional<core::TimePoint> logReadStartedAt;
    /// End of each successor's promise; nothing for a successor that gave none.
    std::vector<std::optional<core::TimePoint>> promisedUntil;
    /// A controller change that this instance proposed may still take effect.
    bool ownChangePending = false;
};

/// Inputs for a new controller's waits, which depend on the controller it replaced.
struct TakeoverInputs
{
    /// The change was made without the successors, so their promises may not have expired.
    bool abandoned = false;
    bool checksFence = true; ///< The backend server rejects lower epochs.
    core::Duration requestTimeout{};
};

/// Ensures that a controller's authority over a backend server ends before another instance acts
/// on that server.
class AuthorityPolicy
{
public:
    virtual ~AuthorityPolicy() = default;

    /// Time at which the authority ends, or nothing if the controller has none.
    virtual std::optional<core::TimePoint> authorityUntil(const AuthorityInputs &inputs) const = 0;

    /// How long a new controller waits, from replay of its record, before it sends anything to the
    /// server.
    virtual core::Duration waitBeforeSending(const TakeoverInputs &inputs) const = 0;

    /// How long after replay of its record a new controller may assume that a server that never
    /// answered it no longer serves anything under an older epoch.
    virtual core::Duration waitBeforeRelease(const TakeoverInputs &inputs) const = 0;
};

/// Authority rests on a recent log read or on promises of all named successors. Promises don't
/// count while a controller change proposed by this instance is pending: it may name other
/// successors, which promised nothing.
class NamedSuccessorAuthority : public AuthorityPolicy
{
public:
    explicit NamedSuccessorAuthority(OwnershipTimings ownershipTimings) : timings(ownershipTimings)
    { }

    std::optional<core::TimePoint> authorityUntil(const AuthorityInputs &inputs) const override;
    core::Duration waitBeforeSending(const TakeoverInputs &inputs) const override;
    core::Duration waitBeforeRelease(const TakeoverInputs &inputs) const override;

private:
    core::Duration maxFormerAuthority(const TakeoverInputs &inputs) const;

    OwnershipTimings timings;
};

/// Authority lasts for a fixed long time after each log read, and every successor waits that long.
/// Contact with peers doesn't extend it, since they may not have read the takeover record either.
class LongWaitAuthority : public AuthorityPolicy
{
public:
    explicit LongWaitAuthority(OwnershipTimings ownershipTimings,
                               core::Duration longWait = std::chrono::seconds(90))
        : timings(ownershipTimings), authorityDuration(longWait)
    { }

    std::optional<core::TimePoint> authorityUntil(const AuthorityInputs &inputs) const override;
    core::Duration waitBeforeSending(const TakeoverInputs &inputs) const override;
    core::Duration waitBeforeRelease(const TakeoverInputs &inputs) const override;

private:
    OwnershipTimings timings;
    core::Duration authorityDuration;
};

} // namespace amaranthdale::decisions
