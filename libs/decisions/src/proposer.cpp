// Proposal delays by rendezvous rank, with jitter.
#include "amaranthdale/decisions/proposer.h"

#include "rendezvous.h"

namespace amaranthdale::decisions {

namespace {

constexpr core::Duration delayPerRank = std::chrono::milliseconds(300);
constexpr unsigned maxJitterMilliseconds = 100;

} // namespace

std::size_t Proposer::rankOf(const std::string &entity,
                             const std::vector<InstanceView> &instances) const
{
    const std::uint64_t own = rendezvousWeight(entity, this->self.name.value);
    std::size_t rank = 0;
    for (const InstanceView &instance : instances) {
        if (instance.id != this->self && rendezvousWeight(entity, instance.id.name.value) > own)
            ++rank;
    }
    return rank;
}

bool Proposer::isPreferred(const std::string &entity,
                           const std::vector<InstanceView> &instances) const
{
    return this->rankOf(entity, instances) == 0;
}

core::Duration Proposer::delayFor(const std::string &entity,
                                  const std::vector<InstanceView> &instances)
{
    const std::size_t rank = this->rankOf(entity, instances);
    if (rank == 0)
        return core::Duration::zero();
    const std::chrono::milliseconds jitter(this->random() % (maxJitterMilliseconds + 1));
    return delayPerRank * static_cast<int>(rank) + jitter;
}

} // namespace amaranthdale::decisions
