// To whom this instance has pledged its share of the quotas of one group of organisations.
#pragma once

#include "amaranthdale/membership/members.h"
#include "amaranthdale/quotas/quota_timing.h"
#include "amaranthdale/quotas/token_messages.h"

#include <map>
#include <optional>

namespace amaranthdale::quotas {

/// Number of groups that organisations are divided into. Each group has a lender, so it also is the
/// number of lenders that each instance pledges its share to.
inline constexpr unsigned groupCount = 8;

unsigned groupOf(OrganisationId organisation);

/// Pledges the share to one lender at a time and finds the next one when it doesn't respond.
/// Answers the fault of a lender that is lost, and of lists of members that differ. Times are those
/// of `Clock::uptime`. Not thread-safe.
class PledgeState
{
public:
    PledgeState(unsigned stateGroup, QuotaTiming quotaTiming)
        : group(stateGroup), timing(quotaTiming)
    { }

    /// Selects the lender from a list of members: one of those with at least half as many cores as
    /// the strongest, by rendezvous hashing, without those that have not responded recently.
    void selectLender(const std::vector<membership::Member> &members, core::TimePoint now);

    const std::optional<membership::Member> &lender() const { return this->selected; }

    /// True if no ask is under way.
    bool mayAsk(core::TimePoint now);

    /// True if the pledge should be renewed, or made.
    bool isRenewalDue(core::TimePoint now) const;

    /// Begins an ask of the selected lender; its entries are to be added. Pledges the share, unless
    /// it is pledged to another lender.
    TokenAsk beginAsk(core::TimePoint now);

    /// The ask that was answered.
    struct Answered
    {
        core::TimePoint askedAt{};
        bool pledged = false; ///< It pledged the share to the lender.
    };

    /// Returns nothing if no ask awaits `reply`.
    std::optional<Answered> onReply(const TokenReply &reply, core::TimePoint now);

    /// True if the next ask pledges the share to the selected lender.
    bool mayPledge(core::TimePoint now) const;

    /// Lender of the last reply, if it is the selected one; 0: none. Only its tokens can be
    /// returned.
    std::uint64_t returnTo() const;

private:
    struct Ask
    {
        std::uint64_t sequence = 0;
        core::TimePoint sentAt{};
        bool pledged = false;
    };

    struct Suspicion
    {
        core::TimePoint until{};
        core::Duration length{};
    };

    // The newest stamp of a lender. Not a pledge until it is sent back.
    struct Stamp
    {
        core::InstanceName from;
        std::uint64_t lender = 0;
        std::uint64_t stamp = 0;
        core::TimePoint receivedAt{};
        core::Duration pledgeTime{};
    };

    void suspect(core::TimePoint now);
    bool isSuspected(const core::InstanceName &name, core::TimePoint now) const;

    const unsigned group;
    const QuotaTiming timing;
    std::optional<membership::Member> selected;
    std::optional<Ask> pending;
    std::optional<Stamp> newest;
    std::uint64_t pledgedTo = 0; ///< Lender that may count this instance's share; 0: none.
    core::TimePoint pledgeEnd{}; ///< `pledgedTo` doesn't count it from then on.
    bool hasPledged = false;
    bool lastAskPledged = false;
    core::TimePoint lastAskAt{};
    unsigned unanswered = 0; ///< In a row, by the selected lender.
    std::map<core::InstanceName, Suspicion> suspicions;
    std::uint64_t lastSequence = 0;
};

} // namespace amaranthdale::quotas
