// Client of the platform's list of live and leaving instances.
#pragma once

#include "amaranthdale/core/message.h"

#include <functional>
#include <memory>
#include <vector>

namespace amaranthdale::logclient {

/// An instance as the list shows it; the list lags behind the truth.
struct ListedInstance
{
    core::InstanceId id; ///< The incarnation tells a replaced process from its predecessor.
    core::DataCentreName dataCentre;
    core::Endpoint peerEndpoint;
    bool leaving = false;
};

/// The list as the rest of the system sees it. Thread-safe.
class InstanceList
{
public:
    virtual ~InstanceList() = default;

    virtual void fetch(core::Duration timeout,
                       std::function<void(core::Outcome<std::vector<ListedInstance>>)> handler) = 0;

    /// Enters or updates this process's own line.
    virtual void announce(const ListedInstance &instance, core::Duration timeout,
                          std::function<void(core::Outcome<core::Done>)> handler) = 0;

    virtual void withdraw(const core::InstanceName &name, core::Duration timeout,
                          std::function<void(core::Outcome<core::Done>)> handler) = 0;
};

/// Client of the list at `endpoint` over `sender`, which must outlive it.
std::unique_ptr<InstanceList> makeInstanceList(core::HttpSender &sender, core::Endpoint endpoint);

} // namespace amaranthdale::logclient
