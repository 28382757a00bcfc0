// HTTP handler of the peer port: forwarded requests, heartbeats, ledgers, state and report parts.
#pragma once

#include "control_loop.h"
#include "forwarders.h"
#include "operator_service.h"

namespace amaranthdale::daemon {

/// Handles requests from other instances.
class PeerService : public core::RequestHandler
{
public:
    PeerService(const Tables &sharedTables, clock::Clock &processClock, ControlLoop &controlLoop,
                Forwarder &localForwarder, OperatorService &operatorService);

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override;

private:
    std::shared_ptr<core::Exchange> forward(core::HttpRequest request,
                                            core::ResponseHandler respond);
    core::HttpResponse heartbeat(const core::HttpRequest &request);
    core::HttpResponse ledger(const core::HttpRequest &request);

    const Tables &tables;
    clock::Clock &clock;
    ControlLoop &control;
    Forwarder &local;
    OperatorService &operators;
};

} // namespace amaranthdale::daemon
