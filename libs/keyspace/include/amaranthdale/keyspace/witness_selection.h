// Selects the instances that a granter names as its witnesses.
#pragma once

#include "amaranthdale/keyspace/assignment.h"

#include <map>
#include <optional>
#include <vector>

namespace amaranthdale::keyspace {

/// An instance that may become a witness.
struct WitnessCandidate
{
    core::InstanceName name;
    std::string peerAddress;
    core::DataCentreName dataCentre;

    bool operator==(const WitnessCandidate &) const = default;
};

/// Periods of the selection.
struct WitnessSelectionOptions
{
    /// A witness that has restarted is noticed after this time.
    core::Duration queryInterval = std::chrono::seconds(5);
    core::Duration queryRetryDelay = std::chrono::seconds(1);
    /// Consecutive queries without an answer after which a witness is replaced.
    unsigned maxFailures = 2;
    core::Duration exclusion = std::chrono::seconds(10);
};

/// Keeps witnesses in as many data centres as possible, and replaces those that are lost. A record
/// names processes, so each candidate is asked for its incarnation. Addresses the loss of a whole
/// data centre together with the granter. Not thread-safe.
class WitnessSelection
{
public:
    explicit WitnessSelection(std::size_t witnessCount, WitnessSelectionOptions limits = {})
        : count(witnessCount), options(limits)
    { }

    /// Sets the other instances, those to prefer first. `ownDataCentre` counts as used once.
    void setCandidates(const core::DataCentreName &ownDataCentre,
                       const std::vector<WitnessCandidate> &candidates, core::TimePoint now);

    /// Returns the instances to ask for their identity now.
    std::vector<WitnessCandidate> dueQueries(core::TimePoint now);

    /// Processes the identity of the instance that was asked; nothing if it didn't answer.
    void onIdentity(const WitnessCandidate &asked, const std::optional<core::InstanceId> &identity,
                    core::TimePoint now);

    /// The witnesses; empty unless all of them are known.
    std::vector<Witness> witnesses() const;

private:
    struct Chosen
    {
        WitnessCandidate candidate;
        std::optional<core::Incarnation> incarnation;
        unsigned failures = 0; ///< Consecutive queries without an answer.
        core::TimePoint nextQuery{};
    };

    const std::size_t count;
    const WitnessSelectionOptions options;
    std::vector<Chosen> chosen; ///< Invariant: at most `count`.
    std::map<core::InstanceName, core::TimePoint> excludedUntil;
};

} // namespace amaranthdale::keyspace
