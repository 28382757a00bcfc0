// What the operator commands ask of an instance.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/report/operator_views.h"
#include "amaranthdale/report/report.h"

#include <memory>
#include <vector>

namespace amaranthdale::cli {

/// The operators' port of one instance. Calls wait for the answer; errors are those of
/// `core::HttpSender`, and Protocol for an answer that can't be read.
class ClusterClient
{
public:
    virtual ~ClusterClient() = default;

    virtual core::Outcome<decisions::ClusterState> fetchState() = 0;
    virtual core::Outcome<report::Report> fetchReport() = 0;
    virtual core::Outcome<std::vector<report::InstanceView>> fetchInstances() = 0;

    /// NotFound when the service is unknown.
    virtual core::Outcome<report::Explanation> explain(const core::ServiceName &service,
                                                       std::string_view key) = 0;
};

/// Client of the instance whose operators' port is `endpoint`. `sender` must outlive it.
std::unique_ptr<ClusterClient> makeClusterClient(core::HttpSender &sender, core::Endpoint endpoint);

} // namespace amaranthdale::cli
