// The granters before the current one that may still send grants.
#pragma once

#include "amaranthdale/keyspace/assignment.h"
#include "amaranthdale/keyspace/witness.h"

#include <vector>

namespace amaranthdale::keyspace {

/// A lease that may be in force at its owner for at most this long. Durations instead of times,
/// because clocks of different instances are not comparable.
struct HeldLease
{
    KeyRange keys;
    core::Duration remaining{};

    bool operator==(const HeldLease &) const = default;
};

/// All leases that a granter may have sent and that may still be in force.
using LeaseReport = std::vector<HeldLease>;

/// A granter may have sent leases of up to `lease` until `lastSent`.
struct SendLimit
{
    core::TimePoint lastSent{};
    core::Duration lease{};
};

/// The rule for granters whose record has no terms.
struct DefaultAuthority
{
    core::Duration authority{};
    core::Duration lease{};
    double maxClockDrift = 0;
};

/// Returns the granters that may send grants after a takeover from the granter of `replaced`. Empty
/// if they are not known, or are too many to ask.
std::vector<Predecessor> earlierGrantersAfter(const Assignment &replaced);

/// Keeps which earlier granters have said that they send no more grants, and which witnesses have
/// agreed to confirm to them no more. Not thread-safe.
///
/// A granter with terms sends grants until `readAuthority` after the start of a read, which was
/// before the own append, or while a majority of its witnesses has confirmed. Each majority has a
/// witness in common with the majority that has agreed, and that witness reports the time of its
/// last confirmation. So the confirmed authority ends `confirmation` after the last confirmation
/// that a majority reports. If none was ever given, there was none, and no lease longer than
/// `lease`.
class EarlierGranters
{
public:
    /// Starts to wait for the granters that are listed in `record`, the first one of the own term.
    void begin(const Assignment &record, const DefaultAuthority &rule, core::TimePoint now);

    /// Notes that `granter` sends no more grants; `leasesKnown` if it has reported its leases.
    /// False if it is not awaited.
    bool onEnded(const core::InstanceId &granter, bool leasesKnown, core::TimePoint now);

    /// Notes that `witness` has agreed.
    void onAgreement(const Witness &witness, const WitnessAgreement &agreement,
                     core::TimePoint now);

    /// Granters that have not answered yet. Empty if the earlier granters are not known.
    std::vector<Predecessor> awaited() const;

    /// Witnesses that have not agreed yet, of granters whose leases are not known.
    std::vector<Witness> awaitedWitnesses() const;

    /// True if every earlier granter has answered, so that their leases are known.
    bool allReported() const { return this->known && this->pending.empty(); }

    /// Until then, earlier granters may send grants.
    core::TimePoint authorityEnd() const;

    /// What the granters that have reported no leases may have sent.
    std::vector<SendLimit> sendLimits() const;

private:
    struct Agreement
    {
        Witness witness;
        std::optional<core::TimePoint> lastConfirmed; ///< Latest time; none: never.
    };

    struct Pending
    {
        Predecessor granter;
        std::optional<core::TimePoint> endedAt; ///< It sends nothing more, but reported no leases.
        std::vector<Agreement> agreements;
    };

    std::vector<SendLimit> limitsOf(const Pending &granter) const;

    std::vector<Pending> pending; ///< Granters that have not reported their leases.
    bool known = false;           ///< The record listed all of them.
    DefaultAuthority defaults;
    core::TimePoint begun{};      ///< Not before the record was appended.
    core::TimePoint reportedAt{}; ///< When the last one of all has reported.
};

} // namespace amaranthdale::keyspace
