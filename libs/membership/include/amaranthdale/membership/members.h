// List of the running instances, and the selection of an instance for a task.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/core/types.h"
#include "amaranthdale/tables/guarded.h"

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace amaranthdale::membership {

/// An instance, as it announced itself.
struct Member
{
    core::InstanceName name;
    core::DataCentreName dataCentre;
    core::Endpoint peer; ///< Receives messages of other instances.
    double cores = 1;    ///< Processor cores it may use; members with more get more tasks.

    bool operator==(const Member &) const = default;
};

/// Role of an instance for other instances. Failures are tracked for each role separately.
enum class InstanceRole {
    Relay,       ///< Passes on records of the store to the instances of its data centre.
    StoreReader, ///< The relay that reads the store for the others.
    Collector,   ///< Receives the heartbeats of its data centre; the same member, unless suspected.
    Slots,       ///< Allocates request slots.
};

/// Periods for which observations of other instances are used.
struct MembersLimits
{
    /// An instance that did not answer a message gets no task for this period, doubled with each
    /// repetition. It is short, as most missing answers are lost datagrams or short pauses.
    core::Duration suspicion = std::chrono::seconds(1);
    /// The same for a relay, whose connections don't lose messages. Longer than a dead member stays
    /// in the list, or it would be selected again.
    core::Duration relaySuspicion = std::chrono::seconds(10);
    core::Duration maxSuspicion = std::chrono::seconds(16);
    /// The instance count decreases only after this period: instances that are cut off from this
    /// one are missing from the list but continue to send requests.
    core::Duration countRetention = std::chrono::minutes(5);
    /// Instance count until `countSettleTime` after the first list, which may be incomplete. Shared
    /// budgets are divided by it, so it is the size of the largest deployment supported.
    unsigned defaultCount = 1500;
    core::Duration countSettleTime = std::chrono::seconds(3);
};

/// Members known to this instance. Lists may differ between instances, so a task may be assigned to
/// two instances or to none at times, and must tolerate both. Thread-safe.
class Members
{
public:
    explicit Members(Member ownMember, MembersLimits membersLimits = {});

    const Member &self() const { return this->own; }

    /// Replaces the list. This instance is a member even if `listed` lacks it.
    void update(std::vector<Member> listed, core::TimePoint now);

    /// Records that `name` failed in a role. Ignored while it is already suspected.
    void suspect(InstanceRole role, const core::InstanceName &name, core::TimePoint now);

    /// The member with the most cores in this instance's data centre that is not suspected as a
    /// relay. Ties are broken by name.
    Member selectRelay(core::TimePoint now) const;

    /// The same for any data centre and a role of it, without `excluded`. Nothing if it has no such
    /// member.
    std::optional<Member> selectFor(InstanceRole role, const core::DataCentreName &dataCentre,
                                    core::TimePoint now,
                                    const core::InstanceName &excluded = {}) const;

    /// The relay with the most cores of all data centres that is not suspected as the reader of the
    /// store, without `excluded`. Ties are broken by name.
    std::optional<Member> selectStoreReader(core::TimePoint now,
                                            const core::InstanceName &excluded = {}) const;

    /// The member that allocates the slots of `task`, in `dataCentre` if it is given. It is
    /// selected from the members with the most cores by rendezvous hashing weighted by cores, so
    /// that few tasks move when the list changes. Nothing if there is no such member.
    std::optional<Member> assignee(std::string_view task,
                                   const std::optional<core::DataCentreName> &dataCentre,
                                   core::TimePoint now) const;

    /// True if `assignee` is this instance for every instance that has the same list and suspects
    /// nobody. False until `countSettleTime` after the first list, which may be incomplete.
    bool isAssigned(std::string_view task, const std::optional<core::DataCentreName> &dataCentre,
                    core::TimePoint now) const;

    /// Data centres with members, sorted by name.
    std::vector<core::DataCentreName> dataCentres() const;

    /// The largest number of listed instances within `countRetention`; `defaultCount` until
    /// `countSettleTime` after the first list.
    unsigned count(core::TimePoint now) const;

    /// True after the first list was read.
    bool hasList() const;

    std::vector<Member> list() const;

private:
    struct Suspicion
    {
        core::TimePoint until{};
        core::Duration length{};
    };

    using Suspicions = std::map<std::pair<InstanceRole, core::InstanceName>, Suspicion>;

    // True if `member` is another instance and currently suspected in `role`.
    bool isSuspected(const Suspicions &suspicions, InstanceRole role, const Member &member,
                     core::TimePoint now) const;

    // The member that is assigned to a task, among those for which `isEligible` is true.
    static const Member *selectAssignee(const std::vector<Member> &members, std::string_view task,
                                        const std::function<bool(const Member &)> &isEligible);

    struct State
    {
        std::vector<Member> members; ///< Invariant: sorted by name; contains `own`.
        Suspicions suspicions;
        unsigned peakCount = 0; ///< 0 until the first list was read.
        core::TimePoint peakAt{};
        core::TimePoint firstListAt{};
    };

    const Member own;
    const MembersLimits limits;
    tables::Guarded<State> state;
};

} // namespace amaranthdale::membership
