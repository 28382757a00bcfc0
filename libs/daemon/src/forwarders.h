// Forwarding to a controller in this process or on a peer.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "forward.h"
#include "tables.h"

namespace amaranthdale::daemon {

/// Submits requests to the runners of this instance.
class LocalForwarder : public Forwarder
{
public:
    explicit LocalForwarder(const Tables &sharedTables) : tables(sharedTables) { }

    std::shared_ptr<core::Exchange> forward(ForwardRequest request,
                                            ForwardHandler handler) override;

private:
    const Tables &tables;
};

/// Sends requests to the instance that controls the server, or to `local` if this instance does.
class ControllerForwarder : public Forwarder
{
public:
    ControllerForwarder(const Tables &sharedTables, const clock::Clock &processClock,
                        core::InstanceName ownName, core::HttpSender &peerSender,
                        Forwarder &localForwarder);

    std::shared_ptr<core::Exchange> forward(ForwardRequest request,
                                            ForwardHandler handler) override;

private:
    const Tables &tables;
    const clock::Clock &clock;
    const core::InstanceName self;
    core::HttpSender &peers;
    Forwarder &local;
};

} // namespace amaranthdale::daemon
