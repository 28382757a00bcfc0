// Confirmations and agreements of witnesses.
#include "amaranthdale/keyspace/witness.h"

#include "amaranthdale/core/log_position.h"

#include <algorithm>
#include <functional>

namespace amaranthdale::keyspace {

std::size_t majorityOf(const std::vector<Witness> &witnesses)
{
    return witnesses.size() / 2 + 1;
}

core::Duration lessDrift(core::Duration duration, double maxClockDrift)
{
    return std::chrono::duration_cast<core::Duration>(duration * (1 - maxClockDrift));
}

core::Duration plusDrift(core::Duration duration, double maxClockDrift)
{
    return std::chrono::duration_cast<core::Duration>(duration * (1 + maxClockDrift));
}

bool GrantWitness::confirm(const core::InstanceId &granter, std::uint64_t granterEnd,
                           const std::optional<Assignment> &newest, std::uint64_t logEnd,
                           core::TimePoint now)
{
    const bool successorRead = newest && logEnd > granterEnd && newest->granter != granter;
    // The record of a successor may have been lost with the earlier era.
    const bool laterEra = core::logEra(logEnd) > core::logEra(granterEnd);
    if (granterEnd < this->agreedEnd || successorRead || laterEra)
        return false;
    this->lastConfirmed = now;
    return true;
}

WitnessAgreement GrantWitness::agree(std::uint64_t successorEnd, core::TimePoint now)
{
    this->agreedEnd = std::max(this->agreedEnd, successorEnd);
    if (!this->lastConfirmed)
        return {};
    return {now - *this->lastConfirmed};
}

void Confirmations::add(const core::InstanceId &witness, core::TimePoint requestStart)
{
    core::TimePoint &latest = this->requestStarts[witness];
    latest = std::max(latest, requestStart);
}

std::optional<core::TimePoint> Confirmations::majorityStart(
        const std::vector<Witness> &witnesses) const
{
    std::vector<core::TimePoint> starts;
    for (const Witness &witness : witnesses) {
        const auto found = this->requestStarts.find(witness.instance);
        if (found != this->requestStarts.end())
            starts.push_back(found->second);
    }
    const std::size_t majority = majorityOf(witnesses);
    if (starts.size() < majority)
        return std::nullopt;
    std::sort(starts.begin(), starts.end(), std::greater<>());
    return starts[majority - 1];
}

} // namespace amaranthdale::keyspace
