// Staggers proposals of changes that any instance may propose.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/ownership_messages.h"

#include <random>
#include <string>
#include <vector>

namespace amaranthdale::decisions {

/// For each entity, one instance proposes at once and the others after a delay, which makes races
/// rare. The remaining races are harmless because records are conditional.
class Proposer
{
public:
    Proposer(core::InstanceId instance, std::uint64_t seed)
        : self(std::move(instance)), random(seed)
    { }

    /// Delay before this instance proposes a change of `entity`: zero for the preferred proposer,
    /// otherwise 300 ms per rank in the rendezvous order plus a jitter of up to 100 ms.
    core::Duration delayFor(const std::string &entity, const std::vector<InstanceView> &instances);

    bool isPreferred(const std::string &entity, const std::vector<InstanceView> &instances) const;

private:
    std::size_t rankOf(const std::string &entity, const std::vector<InstanceView> &instances) const;

    core::InstanceId self;
    std::mt19937_64 random;
};

} // namespace amaranthdale::decisions
