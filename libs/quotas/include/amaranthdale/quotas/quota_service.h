// Quotas of one instance: its tokens, its pledges and its lenders, and the messages between them.
#pragma once

#include "amaranthdale/catalog/catalogue.h"
#include "amaranthdale/clock/clock.h"
#include "amaranthdale/membership/members.h"
#include "amaranthdale/quotas/quota_gate.h"
#include "amaranthdale/quotas/quota_timing.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::quotas {

/// What the service needs of its surroundings. Thread-safe.
class QuotaChannel
{
public:
    virtual ~QuotaChannel() = default;

    /// Sends a datagram without blocking. It may be lost, delayed or duplicated.
    virtual void send(const core::Endpoint &to, const std::string &message) = 0;

    /// Reports tokens that this instance lent.
    virtual void onLent(std::uint64_t tokens) = 0;
};

/// Without an organisation that has a limit it sends no message and runs no timer. Thread-safe.
class QuotaService : public QuotaGate
{
public:
    /// Replaces the limits by those of a configuration.
    virtual void setOrganisations(
            const std::optional<std::vector<catalog::Organisation>> &organisations) = 0;

    /// Handles a datagram for which `isTokenMessage` is true.
    virtual void onMessage(const core::Endpoint &from, std::string_view bytes) = 0;

    /// Ends the pledges of other instances, which then find another lender at once.
    virtual void stop() = 0;
};

/// `lenderId` is random and not 0. `clock`, `members` and `channel` must outlive the service.
std::shared_ptr<QuotaService> makeQuotaService(clock::Clock &clock, membership::Members &members,
                                               QuotaChannel &channel, std::uint64_t lenderId,
                                               QuotaTiming timing = {});

} // namespace amaranthdale::quotas
