// Client interface to an instance's operators' port.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/report/operator_views.h"
#include "amaranthdale/report/report.h"

#include <memory>
#include <vector>

namespace amaranthdale::cli {

/// Client of the operators' port of one instance. Calls block until the response arrives. They fail
/// with the errors of `core::HttpSender`, with Protocol if the response can't be decoded, with
/// NotFound for status 404, and with Unavailable for other error statuses.
class ClusterClient
{
public:
    virtual ~ClusterClient() = default;

    virtual core::Outcome<decisions::ClusterState> fetchState() = 0;
    virtual core::Outcome<report::Report> fetchReport() = 0;
    virtual core::Outcome<std::vector<report::InstanceView>> fetchInstances() = 0;

    /// Fails with NotFound if the service is unknown.
    virtual core::Outcome<report::Explanation> explain(const core::ServiceName &service,
                                                       std::string_view key) = 0;
};

/// Creates a client of the operators' port at `endpoint`. `sender` must outlive the client.
std::unique_ptr<ClusterClient> makeClusterClient(core::HttpSender &sender, core::Endpoint endpoint);

} // namespace amaranthdale::cli
