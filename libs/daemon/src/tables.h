// Shared state of an instance, in lock order.
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

/// Newest information that a peer sent about itself.
struct PeerReport
{
    core::InstanceId id;
    core::LogOffset offset;
    core::TimePoint receivedAt;
};

/// Instances on the platform's list with their endpoints, and the newest report of each peer.
struct MembershipTable
{
    std::map<core::InstanceName, logclient::ListedInstance> listed;
    std::map<core::InstanceName, PeerReport> reports;
};

/// The ownership engine and the queue of actions that it emitted.
struct OwnershipTable
{
    decisions::OwnershipEngine engine;
    std::deque<decisions::OwnershipAction> actions;
    bool performing = false; // True while a thread executes the actions.

    OwnershipTable(decisions::OwnershipSettings settings,
                   std::unique_ptr<decisions::AuthorityPolicy> policy,
                   std::unique_ptr<decisions::Placement> placement, core::TimePoint now)
        : engine(std::move(settings), std::move(policy), std::move(placement), now)
    { }
};

using RunnerMap = std::map<core::ServerName, std::shared_ptr<ServerRunner>>;

/// The tables, each behind its own lock. The state that `configuration` points to is immutable and
/// replaced as a whole, so readers copy the pointer and hold no lock while they use it.
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

    /// Returns the runner of a server that this instance controls or has controlled, or null.
    std::shared_ptr<ServerRunner> runner(const core::ServerName &name) const;
};

} // namespace amaranthdale::daemon
