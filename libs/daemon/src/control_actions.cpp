// Execution of the actions of the ownership engine.
#include "control_loop.h"

#include "amaranthdale/core/hash.h"
#include "amaranthdale/records/record_codec.h"
#include "amaranthdale/records/state_codec.h"
#include "heartbeat_codec.h"
#include "server_protocol.h"

#include <algorithm>

namespace amaranthdale::daemon {

namespace {

constexpr core::Duration appendTimeout = std::chrono::milliseconds(1000);
// Equal to the default renewal interval. A grant or load query that takes longer is abandoned,
// since the next one follows.
constexpr core::Duration serverTimeout = std::chrono::milliseconds(100);
constexpr core::Duration heartbeatTimeout = std::chrono::milliseconds(200);
constexpr core::Duration ledgerTimeout = std::chrono::milliseconds(500);
// The previous controller replays the record within one long poll of the log.
constexpr core::Duration ledgerRetryDelay = std::chrono::milliseconds(5);
constexpr unsigned maxLedgerAttempts = 40;
constexpr std::size_t maxControlReplyBytes = 64 * 1024;
constexpr std::size_t maxLedgerBytes = 32 * 1024 * 1024;

} // namespace

void ControlLoop::sendControlRequest(const core::ServerName &server, core::HttpRequest request,
                                     core::Fence fence)
{
    const StatePointer state = this->context.tables.state();
    const decisions::ServerState *known = state->findServer(server);
    decisions::ServerReply reply;
    reply.server = server;
    reply.fence = fence;
    reply.sentAt = this->context.clock.now();
    if (!known)
        return this->controlReplyReceived(reply, core::Error{core::ErrorKind::NotFound, ""}, 0);
    this->context.backends.send(
            known->spec.endpoint, std::move(request), serverTimeout,
            [this, reply](core::Outcome<core::HttpResponse> response) {
                if (!response)
                    return this->controlReplyReceived(reply, response.error(), 0);
                const unsigned status = response->status;
                core::readWholeBody(response->body, maxControlReplyBytes,
                                    [this, reply, status](core::Outcome<std::string> body) {
                                        this->controlReplyReceived(reply, body, status);
                                    });
            });
}

void ControlLoop::controlReplyReceived(decisions::ServerReply reply,
                                       const core::Outcome<std::string> &body, unsigned status)
{
    const auto parsed = body ? core::attempt([&] { return parseServerStatus(*body); })
                             : core::Outcome<ServerStatus>(body.error());
    if (parsed) {
        reply = classifyReply(reply, status, *parsed);
        if (const auto runner = this->context.tables.runner(reply.server))
            runner->updateDispatcher(
                    [&](decisions::ServerDispatcher &dispatcher, core::TimePoint now) {
                        return dispatcher.reportReceived(
                                {parsed->incarnation, parsed->inFlight, parsed->load}, now);
                    });
    } else if (parsed.error().kind == core::ErrorKind::Unavailable) {
        this->serverUnreachable(reply.server);
    }
    this->updateEngine([&](decisions::OwnershipEngine &engine, core::TimePoint now) {
        engine.serverReplyReceived(reply, now);
    });
    this->unavailable.queryCompleted(reply.server, bool(parsed), reply.sentAt);
    this->observeGrants(reply.server);
}

void ControlLoop::serverUnreachable(const core::ServerName &server)
{
    if (const auto runner = this->context.tables.runner(server))
        runner->updateDispatcher([](decisions::ServerDispatcher &dispatcher, core::TimePoint now) {
            dispatcher.serverUnreachable(now);
            return decisions::Actions();
        });
}

void ControlLoop::perform(const decisions::ProbeServer &action)
{
    this->sendControlRequest(action.server, loadQuery(), {});
}

void ControlLoop::perform(const decisions::SendGrant &action)
{
    this->sendControlRequest(action.server, grantRequest(action), action.fence);
}

void ControlLoop::perform(const decisions::AppendRecord &action)
{
    this->context.logService.append(
            records::encodeRecord(action.record), appendTimeout,
            [this, id = action.record.id](core::Outcome<core::LogOffset> offset) {
                this->appendCompleted(id, offset);
            });
}

void ControlLoop::perform(const decisions::SendHeartbeat &action)
{
    const auto endpoint = this->context.tables.membership.with(
            [&](const MembershipTable &table) -> std::optional<core::Endpoint> {
                const auto found = table.listed.find(action.to.name);
                if (found == table.listed.end())
                    return std::nullopt;
                return found->second.peerEndpoint;
            });
    if (!endpoint)
        return;
    const core::TimePoint sentAt = this->context.clock.now();
    peer::Heartbeat message = toMessage(action.heartbeat, this->logAge());
    addCrashes(message, *this->context.tables.crashFilter, sentAt);
    core::HttpRequest request;
    request.method = "POST";
    request.target = heartbeatPath;
    const auto encoded = core::attempt([&] { return peer::encodeHeartbeat(message); });
    if (!encoded)
        return;
    request.body = *encoded;
    this->context.peers.send(
            *endpoint, std::move(request), heartbeatTimeout,
            [this, sentAt](core::Outcome<core::HttpResponse> response) {
                if (!response || response->status != 200)
                    return;
                core::readWholeBody(
                        response->body, maxControlReplyBytes,
                        [this, sentAt](core::Outcome<std::string> body) {
                            if (!body)
                                return;
                            const auto reply = core::attempt(
                                    [&] { return peer::decodeHeartbeatReply(*body); });
                            if (!reply)
                                return;
                            this->context.tables.membership.with([&](MembershipTable &table) {
                                table.reports[reply->sender.name] =
                                        PeerReport{reply->sender, reply->newestOffset,
                                                   this->context.clock.now()};
                            });
                            this->updateEngine([&](decisions::OwnershipEngine &engine,
                                                   core::TimePoint now) {
                                engine.heartbeatReplyReceived(fromMessage(*reply), sentAt, now);
                            });
                        });
            });
}

void ControlLoop::perform(const decisions::PauseAdmission &action)
{
    const auto onIdle = [this, server = action.server] {
        this->updateEngine([&](decisions::OwnershipEngine &engine, core::TimePoint now) {
            engine.slotsIdle(server, now);
        });
    };
    const auto runner = this->context.tables.runner(action.server);
    if (!runner)
        return onIdle();
    {
        std::lock_guard lock(this->hotKeyMutex);
        this->movingHotKeys[action.server].insert(action.hotKeys.begin(), action.hotKeys.end());
    }
    runner->pauseSlots(this->slotsIncludingHotKeys(action.server, action.slots, action.hotKeys),
                       action.deadline, onIdle);
}

void ControlLoop::perform(const decisions::ResumeAdmission &action)
{
    const auto runner = this->context.tables.runner(action.server);
    if (!runner)
        return;
    {
        std::lock_guard lock(this->hotKeyMutex);
        for (const std::string &key : action.hotKeys)
            this->movingHotKeys[action.server].erase(key);
    }
    const auto slots = this->slotsIncludingHotKeys(action.server, action.slots, action.hotKeys);
    runner->updateDispatcher([&slots](decisions::ServerDispatcher &dispatcher, core::TimePoint) {
        for (core::SlotIndex slot : slots)
            dispatcher.resumeSlot(slot);
        return decisions::Actions();
    });
}

void ControlLoop::perform(const decisions::RelinquishServer &action)
{
    if (const auto runner = this->context.tables.runner(action.server))
        runner->updateDispatcher([](decisions::ServerDispatcher &dispatcher, core::TimePoint now) {
            return dispatcher.authorityLost(now);
        });
}

void ControlLoop::perform(const decisions::CancelRequests &action)
{
    if (const auto runner = this->context.tables.runner(action.server))
        runner->cancelInFlight();
}

void ControlLoop::perform(const decisions::FetchLedger &action)
{
    this->fetchLedger(action, 1);
}

void ControlLoop::fetchLedger(const decisions::FetchLedger &action, unsigned attempt)
{
    const auto endpoint = this->context.tables.membership.with(
            [&](const MembershipTable &table) -> std::optional<core::Endpoint> {
                const auto found = table.listed.find(action.from.name);
                if (found == table.listed.end())
                    return std::nullopt;
                return found->second.peerEndpoint;
            });
    const StatePointer state = this->context.tables.state();
    const decisions::ServerState *server = state->findServer(action.server);
    if (!endpoint || !server)
        return;
    peer::LedgerRequest message;
    message.server = action.source;
    message.service = server->service;
    message.slots = this->slotsIncludingHotKeys(action.server, action.slots, action.hotKeys);
    message.offset = action.since;
    core::HttpRequest request;
    request.method = "POST";
    request.target = ledgerPath;
    const auto encoded = core::attempt([&] { return peer::encodeLedgerRequest(message); });
    if (!encoded)
        return;
    request.body = *encoded;
    this->context.peers.send(
            *endpoint, std::move(request), ledgerTimeout,
            [this, action, attempt](core::Outcome<core::HttpResponse> response) {
                if (!response)
                    return this->ledgerReplyReceived(action, attempt, response.error());
                if (response->status != 200)
                    return this->ledgerReplyReceived(
                            action, attempt,
                            core::Error{core::ErrorKind::Conflict, "the ledger is not final yet"});
                core::readWholeBody(response->body, maxLedgerBytes,
                                    [this, action, attempt](core::Outcome<std::string> body) {
                                        this->ledgerReplyReceived(action, attempt, body);
                                    });
            });
}

void ControlLoop::ledgerReplyReceived(const decisions::FetchLedger &action, unsigned attempt,
                                      const core::Outcome<std::string> &body)
{
    if (!body) {
        if (attempt < maxLedgerAttempts && !this->stopped)
            this->context.clock.schedule(
                    this->context.clock.now() + ledgerRetryDelay,
                    [this, action, attempt] { this->fetchLedger(action, attempt + 1); });
        else
            this->context.log.write(log::Severity::Info, "ledger-not-fetched",
                                    {{"server", action.server.value},
                                     {"from", action.from.name.value},
                                     {"message", body.error().message}});
        return;
    }
    const auto reply = core::attempt([&] { return peer::decodeLedgerReply(*body); });
    const auto runner = this->context.tables.runner(action.server);
    if (!reply || !runner)
        return;
    runner->updateDispatcher([&](decisions::ServerDispatcher &dispatcher, core::TimePoint now) {
        for (const decisions::SlotLedger &ledger : toSlotLedgers(*reply))
            dispatcher.importSlot(ledger, now);
        return decisions::Actions();
    });
}

bool ControlLoop::ledgerIsFinal(const core::ServerName &server,
                                const std::vector<core::SlotIndex> &slots,
                                core::LogOffset offset) const
{
    if (this->context.tables.state()->offset() < offset)
        return false;
    const core::TimePoint now = this->context.clock.now();
    return this->context.tables.ownership.with([&](const OwnershipTable &table) {
        return std::none_of(slots.begin(), slots.end(), [&](core::SlotIndex slot) {
            return table.engine.fenceForSlot(server, slot, now).has_value();
        });
    });
}

void ControlLoop::perform(const decisions::WriteSnapshot &)
{
    const StatePointer state = this->context.tables.state();
    const core::LogOffset covers = state->offset();
    const auto pieces = records::splitState(covers, records::encodeState(*state));
    this->context.log.write(
            log::Severity::Info, "snapshot-begun",
            {{"covers", std::to_string(covers.value)}, {"pieces", std::to_string(pieces.size())}});
    for (const decisions::SnapshotRecord &piece : pieces) {
        decisions::LogRecord record;
        record.id = {this->context.self, this->snapshotSequence++};
        record.basedOn = covers;
        record.body = piece;
        this->context.logService.append(
                records::encodeRecord(record), appendTimeout,
                [this, covers](const core::Outcome<core::LogOffset> &offset) {
                    if (!offset)
                        this->context.log.write(log::Severity::Warning, "snapshot-piece-failed",
                                                {{"covers", std::to_string(covers.value)},
                                                 {"message", offset.error().message}});
                });
    }
}

std::vector<core::SlotIndex> ControlLoop::slotsIncludingHotKeys(
        const core::ServerName &server, const std::vector<core::SlotIndex> &slots,
        const std::vector<std::string> &hotKeys) const
{
    std::vector<core::SlotIndex> all = slots;
    const StatePointer state = this->context.tables.state();
    const decisions::ServerState *known = state->findServer(server);
    const decisions::ServiceState *service = known ? state->findService(known->service) : nullptr;
    if (!service)
        return all;
    for (const std::string &key : hotKeys)
        all.push_back(
                core::slotForKey(key, service->document.hashSeed, service->document.hashSlots));
    return all;
}

} // namespace amaranthdale::daemon
