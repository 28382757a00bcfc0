// What one instance knows of quotas: its tokens, its pledges and its lenders.
#pragma once

#include "instance_counter.h"

#include "amaranthdale/quotas/pledge_state.h"
#include "amaranthdale/quotas/token_holder.h"
#include "amaranthdale/quotas/token_lender.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace amaranthdale::quotas {

/// A request that waits for the lender's reply.
struct Waiter
{
    core::TimePoint until{};
    std::function<void()> proceed;
};

/// Tokens of one organisation.
struct Account
{
    Account(OrganisationId organisation, QuotaTiming timing) : id(organisation), holder(timing) { }

    OrganisationId id;
    TokenHolder holder;
    std::vector<Waiter> waiters;
    bool active = false; ///< Listed in its group.
};

/// Organisations with the same lender.
struct Group
{
    Group(unsigned number, std::uint64_t lenderId, QuotaTiming timing)
        : pledge(number, timing), lender(lenderId + number, timing)
    { }

    PledgeState pledge;
    TokenLender lender;
    bool limited = false;                         ///< Has an organisation with a limit.
    std::vector<std::shared_ptr<Account>> active; ///< Accounts that may need an ask.
    std::size_t firstEntry = 0; ///< Where the next ask begins, if not all accounts fit into one.
    core::TimePoint nextAskAt{};
    bool askScheduled = false;
};

/// Shared by all threads; guarded by one lock.
struct State
{
    std::unordered_map<core::OrganisationName, std::shared_ptr<Account>> accounts;
    std::unordered_map<OrganisationId, std::shared_ptr<Account>> byId;
    std::vector<Group> groups;
    InstanceCounter instances;
    core::TimePoint nextSelectionAt{};
    bool ticking = false;
    bool configured = false; ///< The limits are known, or that there are none.
};

} // namespace amaranthdale::quotas
