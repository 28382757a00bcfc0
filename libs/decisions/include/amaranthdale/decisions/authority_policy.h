// How a controller knows that it has not been replaced, and how long its successor must wait.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/ownership_messages.h"

#include <optional>
#include <vector>

namespace amaranthdale::decisions {

/// What a controller knows about its own authority over one backend server.
struct AuthorityFacts
{
    std::optional<core::TimePoint> logReadBegan; ///< Newest read that showed no newer controller.
    std::vector<std::optional<core::TimePoint>> promisedUntil; ///< One entry per successor.
    bool ownChangeOpen = false; ///< An own change of the controller may still take effect.
};

/// What a new controller knows about the one before it.
struct TakeoverFacts
{
    bool abandoned = false;  ///< The change needed no promise of the successors.
    bool checksFence = true; ///< The backend server refuses lower epochs.
    core::Duration requestTimeout{};
};

/// The rule by which authority over a backend server ends before another instance acts on it.
class AuthorityPolicy
{
public:
    virtual ~AuthorityPolicy() = default;

    /// Time at which the authority ends; nothing when there is none.
    virtual std::optional<core::TimePoint> authorityUntil(const AuthorityFacts &facts) const = 0;

    /// Wait of a new controller, from reading its record, before it sends anything to the server.
    virtual core::Duration waitBeforeSending(const TakeoverFacts &facts) const = 0;

    /// Wait of a new controller, from reading its record, until a server that never answered it
    /// serves nothing under an older epoch.
    virtual core::Duration waitBeforeRelease(const TakeoverFacts &facts) const = 0;
};

/// A recent read of the log, or promises of both named successors. Not valid while an own change
/// of the controller is open: it may have named other successors, who promised nothing.
class NamedSuccessorAuthority : public AuthorityPolicy
{
public:
    explicit NamedSuccessorAuthority(OwnershipTimings intervals) : timings(intervals) { }

    std::optional<core::TimePoint> authorityUntil(const AuthorityFacts &facts) const override;
    core::Duration waitBeforeSending(const TakeoverFacts &facts) const override;
    core::Duration waitBeforeRelease(const TakeoverFacts &facts) const override;

private:
    core::Duration formerAuthority(const TakeoverFacts &facts) const;

    OwnershipTimings timings;
};

/// Authority lasts a long time after each read of the log, and every successor waits it out.
/// Contact with peers doesn't prolong it: they may not have read the takeover either.
class LongWaitAuthority : public AuthorityPolicy
{
public:
    explicit LongWaitAuthority(OwnershipTimings intervals,
                               core::Duration longWait = std::chrono::seconds(90))
        : timings(intervals), wait(longWait)
    { }

    std::optional<core::TimePoint> authorityUntil(const AuthorityFacts &facts) const override;
    core::Duration waitBeforeSending(const TakeoverFacts &facts) const override;
    core::Duration waitBeforeRelease(const TakeoverFacts &facts) const override;

private:
    OwnershipTimings timings;
    core::Duration wait;
};

} // namespace amaranthdale::decisions
