// Servers controlled by this instance: authority, grants and heartbeats.
#include "ownership_state.h"

#include <algorithm>

namespace amaranthdale::decisions {

namespace {

// Without a read for this long, the log counts as unreachable and no planned change starts.
constexpr core::Duration logUnreachableAfter = std::chrono::milliseconds(500);

// Older heartbeats are ignored when deciding whether a server is reachable.
constexpr core::Duration maxReportAge = std::chrono::seconds(1);

} // namespace

void OwnershipEngine::State::recordOwnRenewal(const LogRecord &record, core::LogOffset offset,
                                              const ApplyResult &applied)
{
    const auto *change = std::get_if<ControllerRecord>(&record.body);
    if (!applied.accepted || !change || change->controller != this->self())
        return;
    // The record was based on a state in which this instance already controlled the server, and its
    // condition held, so no other instance controlled the server in between.
    const auto control = this->controls.find(change->server);
    if (control != this->controls.end() && record.basedOn.value >= control->second.epoch().value)
        this->selfRenewedEpochs[change->server] = core::Epoch(offset.value);
}

void OwnershipEngine::State::adoptClusterState(std::shared_ptr<const ClusterState> next,
                                               core::TimePoint now)
{
    const std::shared_ptr<const ClusterState> previousState = std::exchange(this->cluster, next);
    this->proposals.removeSettled(*this->cluster);
    this->updateControls(now);
    this->updateOwnedKeys(previousState.get(), now);
    this->selfRenewedEpochs.clear();
}

void OwnershipEngine::State::updateControls(core::TimePoint now)
{
    std::set<core::ServerName> controlled;
    for (const auto &[name, server] : this->cluster->servers()) {
        if (!server.controller)
            continue;
        if (server.controller->abandonedAt > this->abandonedChangesSeen[name].first)
            this->abandonedChangesSeen[name] = {server.controller->abandonedAt, now};
        if (server.controller->instance != this->self())
            continue;
        controlled.insert(name);
        const core::Epoch epoch = server.controller->epoch;
        const auto current = this->controls.find(name);
        if (current != this->controls.end())
            current->second.update(server.spec, this->requestTimeoutOf(server));
        if (current != this->controls.end() && current->second.epoch() == epoch)
            continue;
        this->promisesReceived.erase(name);
        const auto renewed = this->selfRenewedEpochs.find(name);
        if (current != this->controls.end() && renewed != this->selfRenewedEpochs.end()
            && renewed->second == epoch)
            current->second.renewEpoch(epoch);
        else
            this->startControl(server, now);
    }
    for (auto &[name, control] : this->controls) {
        if (controlled.contains(name))
            continue;
        this->actions.emplace_back(RelinquishServer{name});
        this->moves.erase(name);
        this->promisesReceived.erase(name);
    }
    std::erase_if(this->controls,
                  [&controlled](const auto &entry) { return !controlled.contains(entry.first); });
}

core::Duration OwnershipEngine::State::requestTimeoutOf(const ServerState &server) const
{
    return this->cluster->findService(server.service)->document.requestTimeout;
}

TakeoverTimes OwnershipEngine::State::takeoverTimes(const ServerState &server,
                                                    core::TimePoint now) const
{
    TakeoverInputs inputs;
    inputs.checksFence = server.spec.checksFence;
    inputs.requestTimeout = this->requestTimeoutOf(server);
    TakeoverTimes times;
    times.sendFrom = now + this->policy->waitBeforeSending(inputs);
    times.predecessorExpiresAt = now + this->policy->waitBeforeRelease(inputs);
    times.releaseFrom = times.predecessorExpiresAt;
    // A controller replaced by an `abandoned` change may keep its authority longer than the one
    // that replaced it, so the wait is counted from that change.
    if (server.controller->abandonedAt > core::LogOffset()) {
        const core::TimePoint seen = this->abandonedChangesSeen.at(server.spec.name).second;
        inputs.abandoned = true;
        times.sendFrom = std::max(times.sendFrom, seen + this->policy->waitBeforeSending(inputs));
        times.releaseFrom =
                std::max(times.releaseFrom, seen + this->policy->waitBeforeRelease(inputs));
    }
    return times;
}

void OwnershipEngine::State::startControl(const ServerState &server, core::TimePoint now)
{
    const core::ServerName &name = server.spec.name;
    this->moves.erase(name);
    this->controls.erase(name);
    this->controls.emplace(name,
                           ServerControl(server, this->settings.timings,
                                         this->requestTimeoutOf(server),
                                         this->takeoverTimes(server, now)));
}

// A former controller that is still running, as in a planned shutdown, has the ledgers of its
// servers' requests.
void OwnershipEngine::State::fetchLedgersAfterTakeover(const ClusterState &previousState)
{
    for (const auto &[name, keys] : this->owned) {
        const ServerState *previous = previousState.findServer(name);
        const ServerState *current = this->cluster->findServer(name);
        const bool takenOver = previous && previous->controller
                && previous->controller->instance != current->controller->instance;
        if (takenOver)
            this->actions.emplace_back(
                    FetchLedger{previous->controller->instance, name, name,
                                core::LogOffset(current->controller->epoch.value), keys.slotList(),
                                keys.hotKeyList()});
    }
}

void OwnershipEngine::State::updateOwnedKeys(const ClusterState *previousState, core::TimePoint)
{
    this->owned.clear();
    std::map<std::pair<core::ServerName, core::ServerName>, KeySet> received;
    for (const auto &[name, service] : this->cluster->services()) {
        const ServiceState *previous = previousState->findService(name);
        for (core::SlotIndex slot = 0; slot < service.slots.size(); ++slot) {
            const core::ServerName &owner = service.slots[slot].server;
            if (!this->controls.contains(owner))
                continue;
            this->owned[owner].slots.insert(slot);
            if (previous && previous->slots[slot].server != owner)
                received[{previous->slots[slot].server, owner}].slots.insert(slot);
        }
        for (const auto &[key, owner] : service.hotKeys) {
            if (!this->controls.contains(owner.server))
                continue;
            this->owned[owner.server].hotKeys.insert(key);
            if (previous && previous->ownerOf(key).server != owner.server)
                received[{previous->ownerOf(key).server, owner.server}].hotKeys.insert(key);
        }
    }
    for (const auto &[path, keys] : received) {
        const ServerState *source = previousState->findServer(path.first);
        // The source may be this instance itself, because each server has its own ledger.
        if (source && source->controller)
            this->actions.emplace_back(FetchLedger{source->controller->instance, path.first,
                                                   path.second, this->cluster->offset(),
                                                   keys.slotList(), keys.hotKeyList()});
    }
    this->fetchLedgersAfterTakeover(*previousState);
}

std::optional<core::TimePoint> OwnershipEngine::State::authorityUntil(
        const core::ServerName &name) const
{
    const ServerState *server = this->cluster->findServer(name);
    const auto control = this->controls.find(name);
    if (!server || !server->controller || control == this->controls.end())
        return std::nullopt;
    AuthorityInputs inputs;
    inputs.logReadStartedAt = this->logReadStartedAt;
    inputs.ownChangePending =
            this->proposals.controllerChangePending(name, control->second.epoch());
    const auto held = this->promisesReceived.find(name);
    for (const core::InstanceId &successor : server->controller->successors) {
        inputs.promisedUntil.emplace_back();
        if (held == this->promisesReceived.end())
            continue;
        const auto promise = held->second.find(successor);
        if (promise != held->second.end())
            inputs.promisedUntil.back() = promise->second;
    }
    return this->policy->authorityUntil(inputs);
}

void OwnershipEngine::State::refreshAuthority()
{
    for (auto &[name, control] : this->controls)
        control.setAuthorityEnd(this->authorityUntil(name));
}

bool OwnershipEngine::State::logIsReachable(core::TimePoint now) const
{
    return this->logReadCompletedAt && now - *this->logReadCompletedAt < logUnreachableAfter;
}

bool OwnershipEngine::State::logIsFresh(core::TimePoint now) const
{
    return this->logReadStartedAt
            && now - *this->logReadStartedAt < this->settings.timings.logAuthority;
}

void OwnershipEngine::State::pollGrants(core::TimePoint now)
{
    for (auto &[name, control] : this->controls) {
        GrantRound round;
        round.now = now;
        round.hasAuthority = control.hasAuthority(now);
        round.logIsFresh = this->logIsFresh(now);
        round.wanted = this->owned[name];
        round.wanted.remove(this->proposals.keysInPendingMoves(name));
        const auto move = this->moves.find(name);
        if (move != this->moves.end() && move->second.idle)
            round.wanted.remove(keysOf(move->second.record));
        control.poll(round, this->actions);
    }
}

bool OwnershipEngine::State::admits(const core::ServerName &server, core::SlotIndex slot) const
{
    const auto move = this->moves.find(server);
    const bool moving = move != this->moves.end() && movesSlot(move->second.record, slot);
    return !moving && !this->proposals.isInPendingMove(server, slot);
}

bool OwnershipEngine::State::admits(const core::ServerName &server, const std::string &hotKey) const
{
    const auto move = this->moves.find(server);
    const bool moving = move != this->moves.end() && movesHotKey(move->second.record, hotKey);
    return !moving && !this->proposals.isInPendingMove(server, hotKey);
}

void OwnershipEngine::State::sendHeartbeats(core::TimePoint now)
{
    if (now < this->nextHeartbeat)
        return;
    this->nextHeartbeat = now + this->settings.timings.heartbeat;

    std::map<core::InstanceId, std::vector<ServerEpoch>> requests;
    for (const core::InstanceId &peer : this->detector.heartbeatTargets())
        requests[peer];
    Heartbeat heartbeat;
    heartbeat.from = this->settings.self;
    heartbeat.offset = this->cluster->offset();
    for (const auto &[name, control] : this->controls) {
        if (control.isReachable(now))
            heartbeat.reachable.push_back(name);
        const ServerState *server = this->cluster->findServer(name);
        for (const core::InstanceId &successor : server->controller->successors)
            requests[successor].push_back({name, control.epoch()});
    }
    for (auto &[peer, requested] : requests) {
        heartbeat.requested = std::move(requested);
        this->actions.emplace_back(SendHeartbeat{peer, heartbeat});
    }
}

bool OwnershipEngine::State::isReachable(const ServerState &server, core::TimePoint now) const
{
    if (!server.controller)
        return false;
    const auto control = this->controls.find(server.spec.name);
    if (control != this->controls.end())
        return control->second.isReachable(now);
    const auto report = this->peerReports.find(server.controller->instance);
    return report != this->peerReports.end() && now - report->second.at < maxReportAge
            && report->second.reachable.contains(server.spec.name);
}

PlacementView OwnershipEngine::State::placementView(core::TimePoint now) const
{
    PlacementView result{*this->cluster, this->detector.usableInstances(now), {}};
    for (const auto &[name, server] : this->cluster->servers()) {
        if (!this->isReachable(server, now))
            result.unreachable.insert(name);
    }
    return result;
}

} // namespace amaranthdale::decisions
