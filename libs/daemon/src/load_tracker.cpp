// Updates from the load that accompanies each response.
#include "load_tracker.h"

namespace amaranthdale::daemon {

void LoadTracker::requestSent(const core::ServerName &server)
{
    ++this->observations[server].sentSince;
}

void LoadTracker::requestEnded(const core::ServerName &server,
                               const std::optional<decisions::DispatcherLoad> &load,
                               core::TimePoint now)
{
    Observation &observation = this->observations[server];
    if (!load) {
        if (observation.sentSince > 0)
            --observation.sentSince;
        return;
    }
    // The observed load already includes the requests that this instance sent before it.
    observation = Observation{*load, now, 0};
}

std::vector<decisions::ServerView> LoadTracker::views(const decisions::ClusterState &state,
                                                      const decisions::ServiceState &service) const
{
    std::vector<decisions::ServerView> views;
    views.reserve(service.document.servers.size());
    for (const decisions::BackendServer &spec : service.document.servers) {
        decisions::ServerView view;
        view.name = spec.name;
        view.drained = state.isDrained(spec.dataCentre);
        view.leaving = spec.leaving;
        const decisions::ServerState *server = state.findServer(spec.name);
        view.controllerKnown = server && server->controller;
        const auto found = this->observations.find(spec.name);
        if (found != this->observations.end()) {
            view.inFlight = found->second.load.inFlight;
            view.limit = found->second.load.limit;
            view.queued = found->second.load.queued;
            view.observedAt = found->second.observedAt;
            view.sentSince = found->second.sentSince;
        }
        views.push_back(std::move(view));
    }
    return views;
}

} // namespace amaranthdale::daemon
