// The instances that are known to run, and which of them takes on a task that one has to do.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/core/types.h"
#include "amaranthdale/tables/guarded.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace amaranthdale::membership {

/// One instance, as it announced itself.
struct Member
{
    core::InstanceName name;
    core::DataCentreName dataCentre;
    core::Endpoint peer; ///< Where it takes messages of other instances.
    double cores = 1;    ///< Processor share of its machine; larger ones get more tasks.

    bool operator==(const Member &) const = default;
};

/// What an instance does for others. One that fails at one duty may still serve in another.
enum class Duty {
    Relay, ///< Reads the store for its data centre.
    Slots, ///< Hands out request slots.
};

/// How long what was observed of other instances counts.
struct MembersLimits
{
    /// An instance that left a message unanswered gets no task for this long, doubled each time it
    /// does so again. Most unanswered messages are lost datagrams or short pauses.
    core::Duration suspicion = std::chrono::seconds(1);
    core::Duration mostSuspicion = std::chrono::seconds(16);
    /// The number of instances falls only after this: one that is out of touch with the store is
    /// missing from the list, but goes on sending requests.
    core::Duration countMemory = std::chrono::seconds(30);
    /// Number of instances before any list was read. Budgets that instances share are divided by
    /// it, so it lies above that of the largest deployment in use (107).
    unsigned assumedCount = 128;
};

/// The members that this instance knows. Instances may know different lists, so a task that is
/// given out here must bear being done twice or not at all. Thread-safe.
class Members
{
public:
    explicit Members(Member ownMember, MembersLimits membersLimits = {});

    const Member &self() const { return this->own; }

    /// Replaces the list. This instance stays in it, whatever the list says.
    void update(std::vector<Member> listed, core::TimePoint now);

    /// Notes that `name` failed at a duty.
    void suspect(Duty duty, const core::InstanceName &name, core::TimePoint now);

    /// The strongest member of this instance's data centre that is not suspected; ties go by name.
    Member strongestNearby(core::TimePoint now) const;

    /// The member that hands out the slots of `task`: one of the strongest, of `dataCentre` where
    /// it is given, by rendezvous hashing weighted with cores, so that few tasks change hands with
    /// the list. Nothing when there is none.
    std::optional<Member> assignee(std::string_view task,
                                   const std::optional<core::DataCentreName> &dataCentre,
                                   core::TimePoint now) const;

    /// Data centres that have members, in order of name.
    std::vector<core::DataCentreName> dataCentres() const;

    /// Largest number of instances listed within `countMemory`.
    unsigned count(core::TimePoint now) const;

    /// True once a list was read.
    bool isKnown() const;

    std::vector<Member> list() const;

private:
    struct Suspicion
    {
        core::TimePoint until{};
        core::Duration length{};
    };

    using Suspicions = std::map<std::pair<Duty, core::InstanceName>, Suspicion>;

    // True when `member` is another instance that failed at `duty` lately.
    bool isSuspected(const Suspicions &suspicions, Duty duty, const Member &member,
                     core::TimePoint now) const;

    struct State
    {
        std::vector<Member> members; ///< Invariant: sorted by name; contains `own`.
        Suspicions suspicions;
        unsigned peakCount = 0; ///< 0: no list was read yet.
        core::TimePoint peakAt{};
    };

    const Member own;
    const MembersLimits limits;
    tables::Guarded<State> state;
};

} // namespace amaranthdale::membership
