// What this entry instance knows of the load of each backend server.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/decisions/server_dispatcher.h"
#include "amaranthdale/decisions/server_selector.h"

#include <map>
#include <vector>

namespace amaranthdale::daemon {

/// Newest observation of each server. Not thread-safe: it stands in the entry table.
class LoadTracker
{
public:
    void requestSent(const core::ServerName &server);
    void requestEnded(const core::ServerName &server,
                      const std::optional<decisions::DispatcherLoad> &load, core::TimePoint now);

    /// Views of all servers of a service, for a `ServerSelector`.
    std::vector<decisions::ServerView> views(const decisions::ClusterState &state,
                                             const decisions::ServiceState &service) const;

private:
    struct Observation
    {
        decisions::DispatcherLoad load;
        core::TimePoint observedAt;
        unsigned sentSince = 0; // Sent after `observedAt` and not ended.
    };

    std::map<core::ServerName, Observation> observations;
};

} // namespace amaranthdale::daemon
