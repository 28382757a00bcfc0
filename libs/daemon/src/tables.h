// The shared tables of one instance, in lock order.
#pragma once

#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/decisions/crash_filter.h"
#include "amaranthdale/decisions/ownership_engine.h"
#include "amaranthdale/logclient/instance_list.h"
#include "amaranthdale/tables/guarded.h"

#include <deque>
#include <map>
#include <memory>

namespace amaranthdale::daemon {

class ServerRunner;

using StatePointer = std::shared_ptr<const decisions::ClusterState>;

/// What a peer last told about itself.
struct PeerReport
{
    core::InstanceId id;
    core::LogOffset offset;
    core::TimePoint receivedAt;
};

/// Who may exist and how to reach it, as the platform's list says, and what peers told.
struct MembershipTable
{
    std::map<core::InstanceName, logclient::ListedInstance> listed;
    std::map<core::InstanceName, PeerReport> reports;
};

/// The engine with the actions that it decided on and that wait to be carried out in order.
struct OwnershipTable
{
    decisions::OwnershipEngine engine;
    std::deque<decisions::OwnershipAction> actions;
    bool performing = false; // True while a thread carries out the actions.

    OwnershipTable(decisions::OwnershipSettings settings,
                   std::unique_ptr<decisions::AuthorityPolicy> policy,
                   std::unique_ptr<decisions::Placement> placement, core::TimePoint now)
        : engine(std::move(settings), std::move(policy), std::move(placement), now)
    { }
};

using RunnerMap = std::map<core::ServerName, std::shared_ptr<ServerRunner>>;

/// All tables. The state behind `configuration` is replaced as a whole and never changed in place,
/// so readers copy the pointer and hold no lock while they use it.
struct Tables
{
    tables::Guarded<StatePointer> configuration{tables::LockRank::Configuration,
                                                std::make_shared<decisions::ClusterState>()};
    tables::Guarded<MembershipTable> membership{tables::LockRank::Membership};
    tables::Guarded<OwnershipTable> ownership;
    tables::Guarded<RunnerMap> runners{tables::LockRank::BackendServers};
    std::shared_ptr<tables::Guarded<decisions::CrashFilter>> crashFilter =
            std::make_shared<tables::Guarded<decisions::CrashFilter>>(tables::LockRank::Requests);

    template<class... EngineArguments>
    explicit Tables(EngineArguments &&...arguments)
        : ownership(tables::LockRank::Ownership, std::forward<EngineArguments>(arguments)...)
    { }

    StatePointer state() const
    {
        return this->configuration.with([](const StatePointer &pointer) { return pointer; });
    }

    /// The runner of a server that this instance controls or controlled; null when there is none.
    std::shared_ptr<ServerRunner> runner(const core::ServerName &name) const;
};

} // namespace amaranthdale::daemon
