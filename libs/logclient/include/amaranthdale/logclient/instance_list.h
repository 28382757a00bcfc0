// Client of the platform's instance list, which holds the live and leaving instances.
#pragma once

#include "amaranthdale/core/message.h"

#include <functional>
#include <memory>
#include <vector>

namespace amaranthdale::logclient {

/// An entry of the instance list. The list is eventually consistent.
struct ListedInstance
{
    core::InstanceId id; ///< The incarnation identifies one run of the process.
    core::DataCentreName dataCentre;
    core::Endpoint peerEndpoint;
    bool leaving = false;
};

/// Interface to the instance list. Thread-safe.
class InstanceList
{
public:
    virtual ~InstanceList() = default;

    virtual void fetch(core::Duration timeout,
                       std::function<void(core::Outcome<std::vector<ListedInstance>>)> handler) = 0;

    /// Creates or updates the entry of this process.
    virtual void announce(const ListedInstance &instance, core::Duration timeout,
                          std::function<void(core::Outcome<core::Success>)> handler) = 0;

    /// Deletes the entry of instance `name`.
    virtual void withdraw(const core::InstanceName &name, core::Duration timeout,
                          std::function<void(core::Outcome<core::Success>)> handler) = 0;
};

/// Creates a client of the list at `endpoint`. `sender` must outlive it.
std::unique_ptr<InstanceList> makeInstanceList(core::HttpSender &sender, core::Endpoint endpoint);

} // namespace amaranthdale::logclient
