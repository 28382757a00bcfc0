// Dispatch of peer requests by path.
#include "peer_service.h"

#include "amaranthdale/records/state_codec.h"
#include "forward_codec.h"
#include "heartbeat_codec.h"
#include "server_runner.h"

namespace amaranthdale::daemon {

namespace {

constexpr const char *binaryType = "application/x-protobuf";

core::HttpResponse protocolError(const core::Error &error)
{
    return core::makeResponse(400, error.message, "text/plain");
}

core::HttpResponse encodedResponse(core::Outcome<std::string> body)
{
    if (!body)
        return protocolError(body.error());
    return core::makeResponse(200, std::move(*body), binaryType);
}

} // namespace

PeerService::PeerService(const Tables &sharedTables, clock::Clock &processClock,
                         ControlLoop &controlLoop, Forwarder &localForwarder,
                         OperatorService &operatorService)
    : tables(sharedTables), clock(processClock), control(controlLoop), local(localForwarder),
      operators(operatorService)
{ }

std::shared_ptr<core::Exchange> PeerService::handle(core::HttpRequest request,
                                                    core::ResponseHandler respond)
{
    if (request.target == forwardPath)
        return this->forward(std::move(request), std::move(respond));
    if (request.target == heartbeatPath)
        respond(this->heartbeat(request));
    else if (request.target == ledgerPath)
        respond(this->ledger(request));
    else if (request.target == "/state")
        respond(core::makeResponse(200, records::encodeState(*this->tables.state())));
    else if (request.target == "/report")
        respond(core::makeResponse(
                200, report::encodeReport(report::Report{{this->operators.ownPart()}})));
    else
        respond(core::makeResponse(404, "no such path on the peer port", "text/plain"));
    return nullptr;
}

std::shared_ptr<core::Exchange> PeerService::forward(core::HttpRequest request,
                                                     core::ResponseHandler respond)
{
    const core::TimePoint now = this->clock.now();
    auto decoded = core::attempt([&] { return decodeForward(std::move(request), now); });
    if (!decoded) {
        respond(protocolError(decoded.error()));
        return nullptr;
    }
    return this->local.forward(std::move(*decoded),
                               [respond = std::move(respond)](ForwardResult result) {
                                   respond(encodeResult(std::move(result)));
                               });
}

core::HttpResponse PeerService::heartbeat(const core::HttpRequest &request)
{
    const auto message = core::attempt([&] { return peer::decodeHeartbeat(request.body); });
    if (!message)
        return protocolError(message.error());
    const peer::HeartbeatReply reply = this->control.heartbeatReceived(*message);
    return encodedResponse(core::attempt([&] { return peer::encodeHeartbeatReply(reply); }));
}

core::HttpResponse PeerService::ledger(const core::HttpRequest &request)
{
    const auto message = core::attempt([&] { return peer::decodeLedgerRequest(request.body); });
    if (!message)
        return protocolError(message.error());
    if (!this->control.ledgerIsFinal(message->server, message->slots, message->offset))
        return core::makeResponse(409, "the ledger is not final on this instance yet; retry",
                                  "text/plain");
    std::vector<decisions::SlotLedger> ledgers;
    if (const auto runner = this->tables.runner(message->server))
        runner->exportSlots(message->slots, ledgers);
    const peer::LedgerReply reply = toMessage(ledgers);
    return encodedResponse(core::attempt([&] { return peer::encodeLedgerReply(reply); }));
}

} // namespace amaranthdale::daemon
