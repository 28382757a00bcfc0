// Load of each backend server as observed by this entry instance.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/decisions/server_dispatcher.h"
#include "amaranthdale/decisions/server_selector.h"

#include <map>
#include <vector>

namespace amaranthdale::daemon {

/// Tracks the newest load observation of each server. Not thread-safe; guarded by the entry table's
/// lock.
class LoadTracker
{
public:
    void requestSent(const core::ServerName &server);
    void requestEnded(const core::ServerName &server,
                      const std::optional<decisions::DispatcherLoad> &load, core::TimePoint now);

    /// Returns the views of all servers of a service, for a `ServerSelector`.
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
