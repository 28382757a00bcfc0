// Choice and replacement of witnesses.
#include "amaranthdale/keyspace/witness_selection.h"

#include <algorithm>

namespace amaranthdale::keyspace {

void WitnessSelection::setCandidates(const core::DataCentreName &ownDataCentre,
                                     const std::vector<WitnessCandidate> &candidates,
                                     core::TimePoint now)
{
    std::erase_if(this->chosen, [&candidates](const Chosen &witness) {
        return std::find(candidates.begin(), candidates.end(), witness.candidate)
                == candidates.end();
    });
    std::erase_if(this->excludedUntil, [now](const auto &entry) { return entry.second <= now; });
    std::map<core::DataCentreName, std::size_t> used{{ownDataCentre, 1}};
    for (const Chosen &witness : this->chosen)
        ++used[witness.candidate.dataCentre];
    while (this->chosen.size() < this->count) {
        const WitnessCandidate *best = nullptr;
        for (const WitnessCandidate &candidate : candidates) {
            const bool taken = this->excludedUntil.contains(candidate.name)
                    || std::any_of(this->chosen.begin(), this->chosen.end(),
                                   [&candidate](const Chosen &witness) {
                                       return witness.candidate.name == candidate.name;
                                   });
            if (!taken && (best == nullptr || used[candidate.dataCentre] < used[best->dataCentre]))
                best = &candidate;
        }
        if (best == nullptr)
            return;
        ++used[best->dataCentre];
        this->chosen.push_back(Chosen{*best, std::nullopt, 0, now});
    }
}

std::vector<WitnessCandidate> WitnessSelection::dueQueries(core::TimePoint now)
{
    std::vector<WitnessCandidate> due;
    for (Chosen &witness : this->chosen) {
        if (now < witness.nextQuery)
            continue;
        witness.nextQuery = now + this->options.queryInterval;
        due.push_back(witness.candidate);
    }
    return due;
}

void WitnessSelection::onIdentity(const WitnessCandidate &asked,
                                  const std::optional<core::InstanceId> &identity,
                                  core::TimePoint now)
{
    const auto found =
            std::find_if(this->chosen.begin(), this->chosen.end(),
                         [&asked](const Chosen &witness) { return witness.candidate == asked; });
    if (found == this->chosen.end())
        return;
    if (identity && identity->name == asked.name) {
        found->incarnation = identity->incarnation;
        found->failures = 0;
        return;
    }
    found->nextQuery = now + this->options.queryRetryDelay;
    if (++found->failures < this->options.maxFailures)
        return;
    this->excludedUntil[asked.name] = now + this->options.exclusion;
    this->chosen.erase(found);
}

std::vector<Witness> WitnessSelection::witnesses() const
{
    std::vector<Witness> result;
    for (const Chosen &witness : this->chosen) {
        if (witness.incarnation)
            result.push_back(Witness{{witness.candidate.name, *witness.incarnation},
                                     witness.candidate.peerAddress});
    }
    return result.size() < this->count ? std::vector<Witness>() : result;
}

} // namespace amaranthdale::keyspace
