// Decides which instance proposes a change that any instance may propose.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/ownership_messages.h"

#include <random>
#include <string>
#include <vector>

namespace amaranthdale::decisions {

/// Spreads proposals: for each entity one instance proposes at once, the others later, so that
/// races are rare. Conditional records make the races that remain harmless.
class Proposer
{
public:
    Proposer(core::InstanceId instance, std::uint64_t seed)
        : self(std::move(instance)), random(seed)
    { }

    /// Time to wait before proposing a change of `entity`; zero for the preferred proposer. The
    /// others wait 300 ms per rank in the rendezvous order plus up to 100 ms.
    core::Duration delayFor(const std::string &entity, const std::vector<InstanceView> &instances);

    bool isPreferred(const std::string &entity, const std::vector<InstanceView> &instances) const;

private:
    std::size_t rankOf(const std::string &entity, const std::vector<InstanceView> &instances) const;

    core::InstanceId self;
    std::mt19937_64 random;
};

} // namespace amaranthdale::decisions
