// Witnesses of a granter: what an instance has confirmed and agreed to, and what a granter may
// conclude from confirmations.
#pragma once

#include "amaranthdale/keyspace/assignment.h"

#include <map>
#include <optional>
#include <vector>

namespace amaranthdale::keyspace {

/// Number of witnesses that form a majority.
std::size_t majorityOf(const std::vector<Witness> &witnesses);

/// Shortens a duration by the amount that this clock may run slow against others.
core::Duration lessDrift(core::Duration duration, double maxClockDrift);
/// Extends a duration by the amount that this clock may run fast against others.
core::Duration plusDrift(core::Duration duration, double maxClockDrift);

/// The answer of a witness that agrees to a successor.
struct WitnessAgreement
{
    /// Time since its last confirmation, or since the start of a later process of the witness;
    /// nothing if it has never confirmed.
    std::optional<core::Duration> sinceConfirmation;

    bool operator==(const WitnessAgreement &) const = default;
};

/// What this process has confirmed and agreed to as a witness for one service. Addresses the loss
/// of a granter while a majority of its witnesses is alive. Not thread-safe.
class GrantWitness
{
public:
    /// Confirms that no successor is known to the granter `granter`, which has read the log up to
    /// `granterEnd`. `newest` and `logEnd` are what this instance has read. False if one is known.
    bool confirm(const core::InstanceId &granter, std::uint64_t granterEnd,
                 const std::optional<Assignment> &newest, std::uint64_t logEnd,
                 core::TimePoint now);

    /// Agrees not to confirm to granters that haven't read the log up to `successorEnd`.
    WitnessAgreement agree(std::uint64_t successorEnd, core::TimePoint now);

private:
    std::uint64_t agreedEnd = 0;
    std::optional<core::TimePoint> lastConfirmed; ///< To any granter.
};

/// The confirmations that the granter has. Each counts from the start of its request, as the
/// witness may agree to a successor right after it has answered. Not thread-safe.
class Confirmations
{
public:
    /// Notes that `witness` has confirmed a request that started at `requestStart`.
    void add(const core::InstanceId &witness, core::TimePoint requestStart);

    /// Forgets all. Confirmations of an earlier term don't count.
    void clear() { this->requestStarts.clear(); }

    /// Returns the earliest request start of the newest confirmations by a majority; nothing if no
    /// majority has confirmed.
    std::optional<core::TimePoint> majorityStart(const std::vector<Witness> &witnesses) const;

private:
    std::map<core::InstanceId, core::TimePoint> requestStarts;
};

} // namespace amaranthdale::keyspace
