// Expiry of pledges and the integral of the pledged share.
#include "amaranthdale/quotas/share_ledger.h"

#include <algorithm>

namespace amaranthdale::quotas {

void ShareLedger::setInstances(unsigned count, core::TimePoint now)
{
    this->advance(now);
    this->instances = std::max(1U, count);
}

bool ShareLedger::pledge(const std::string &member, std::uint64_t sequence, core::TimePoint until,
                         core::TimePoint now)
{
    this->advance(now);
    if (until <= now)
        return false;
    const auto [found, isNew] = this->pledges.try_emplace(member, Pledge{until, sequence});
    if (!isNew) {
        if (sequence <= found->second.sequence)
            return false;
        this->expiries.erase({found->second.until, member});
        found->second = {std::max(until, found->second.until), sequence};
    }
    this->expiries.emplace(found->second.until, member);
    return true;
}

double ShareLedger::share(core::TimePoint now)
{
    this->advance(now);
    return this->currentShare();
}

double ShareLedger::shareSeconds(core::TimePoint now)
{
    this->advance(now);
    return this->accrued;
}

double ShareLedger::currentShare() const
{
    return std::min(1.0, static_cast<double>(this->pledges.size()) / this->instances);
}

// A lender that was suspended accrues nothing for pledges that ended in the meantime.
void ShareLedger::advance(core::TimePoint now)
{
    while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
        this->accrue(this->expiries.begin()->first);
        this->pledges.erase(this->expiries.begin()->second);
        this->expiries.erase(this->expiries.begin());
    }
    this->accrue(now);
}

void ShareLedger::accrue(core::TimePoint until)
{
    if (until <= this->accruedUntil)
        return;
    const std::chrono::duration<double> elapsed = until - this->accruedUntil;
    this->accrued += this->currentShare() * elapsed.count();
    this->accruedUntil = until;
}

} // namespace amaranthdale::quotas
