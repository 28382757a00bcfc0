// Servers controlled by this instance: authority, grants and heartbeats.
#include "ownership_state.h"

#include <algorithm>

namespace amaranthdale::decisions {

namespace {

// Without a read for this long, the log counts as unreachable and no planned change starts.
constexpr core::Duration logSilence = std::chrono::milliseconds(500);

// Older heartbeats are ignored when deciding whether a server is reachable.
constexpr core::Duration reportAge = std::chrono::seconds(1);

} // namespace

void OwnershipEngine::State::noteOwnRecord(const LogRecord &record, core::LogOffset offset,
                                           const Applied &applied)
{
    const auto *change = std::get_if<ControllerRecord>(&record.body);
    if (!applied.accepted || !change || change->controller != this->self())
        return;
    // The record was based on a state in which this instance already controlled the server, and its
    // condition held, so no other instance controlled the server in between.
    const auto control = this->controls.find(change->server);
    if (control != this->controls.end() && record.basedOn.value >= control->second.epoch().value)
        this->renewedBySelf[change->server] = core::Epoch(offset.value);
}

void OwnershipEngine::State::replay(std::shared_ptr<const ClusterState> next, core::TimePoint now)
{
    const std::shared_ptr<const ClusterState> before = std::exchange(this->cluster, next);
    this->proposals.settle(*this->cluster);
    this->followControllers(now);
    this->followOwners(before.get(), now);
    this->renewedBySelf.clear();
}

void OwnershipEngine::State::followControllers(core::TimePoint now)
{
    std::set<core::ServerName> controlled;
    for (const auto &[name, server] : this->cluster->servers()) {
        if (!server.controller)
            continue;
        if (server.controller->abandonedAt > this->abandonedSeen[name].first)
            this->abandonedSeen[name] = {server.controller->abandonedAt, now};
        if (server.controller->instance != this->self())
            continue;
        controlled.insert(name);
        const core::Epoch epoch = server.controller->epoch;
        const auto present = this->controls.find(name);
        if (present != this->controls.end())
            present->second.update(server.spec, this->requestTimeoutOf(server));
        if (present != this->controls.end() && present->second.epoch() == epoch)
            continue;
        this->promisesHeld.erase(name);
        const auto renewed = this->renewedBySelf.find(name);
        if (present != this->controls.end() && renewed != this->renewedBySelf.end()
            && renewed->second == epoch)
            present->second.renewEpoch(epoch);
        else
            this->beginControl(server, now);
    }
    for (auto &[name, control] : this->controls) {
        if (controlled.contains(name))
            continue;
        this->actions.emplace_back(StopServer{name});
        this->moves.erase(name);
        this->promisesHeld.erase(name);
    }
    std::erase_if(this->controls,
                  [&controlled](const auto &entry) { return !controlled.contains(entry.first); });
}

core::Duration OwnershipEngine::State::requestTimeoutOf(const ServerState &server) const
{
    return this->cluster->findService(server.service)->document.requestTimeout;
}

TakeoverTimes OwnershipEngine::State::timesFor(const ServerState &server, core::TimePoint now) const
{
    TakeoverFacts facts;
    facts.checksFence = server.spec.checksFence;
    facts.requestTimeout = this->requestTimeoutOf(server);
    TakeoverTimes times;
    times.sendFrom = now + this->policy->waitBeforeSending(facts);
    times.settledFrom = now + this->policy->waitBeforeRelease(facts);
    times.releaseFrom = times.settledFrom;
    // A controller replaced by an `abandoned` change may keep its authority longer than the one
    // that replaced it, so the wait is counted from that change.
    if (server.controller->abandonedAt > core::LogOffset()) {
        const core::TimePoint seen = this->abandonedSeen.at(server.spec.name).second;
        facts.abandoned = true;
        times.sendFrom = std::max(times.sendFrom, seen + this->policy->waitBeforeSending(facts));
        times.releaseFrom =
                std::max(times.releaseFrom, seen + this->policy->waitBeforeRelease(facts));
    }
    return times;
}

void OwnershipEngine::State::beginControl(const ServerState &server, core::TimePoint now)
{
    const core::ServerName &name = server.spec.name;
    this->moves.erase(name);
    this->controls.erase(name);
    this->controls.emplace(name,
                           ServerControl(server, this->settings.timings,
                                         this->requestTimeoutOf(server),
                                         this->timesFor(server, now)));
}

// A former controller that is still running, as in a planned shutdown, has the ledgers of its
// servers' requests.
void OwnershipEngine::State::fetchLedgersOfTakeovers(const ClusterState &before)
{
    for (const auto &[name, keys] : this->owned) {
        const ServerState *earlier = before.findServer(name);
        const ServerState *present = this->cluster->findServer(name);
        const bool takenOver = earlier && earlier->controller
                && earlier->controller->instance != present->controller->instance;
        if (takenOver)
            this->actions.emplace_back(
                    FetchLedger{earlier->controller->instance, name, name,
                                core::LogOffset(present->controller->epoch.value), keys.slotList(),
                                keys.hotKeyList()});
    }
}

void OwnershipEngine::State::followOwners(const ClusterState *before, core::TimePoint)
{
    this->owned.clear();
    std::map<std::pair<core::ServerName, core::ServerName>, KeySet> arrived;
    for (const auto &[name, service] : this->cluster->services()) {
        const ServiceState *earlier = before->findService(name);
        for (core::SlotIndex slot = 0; slot < service.slots.size(); ++slot) {
            const core::ServerName &owner = service.slots[slot].server;
            if (!this->controls.contains(owner))
                continue;
            this->owned[owner].slots.insert(slot);
            if (earlier && earlier->slots[slot].server != owner)
                arrived[{earlier->slots[slot].server, owner}].slots.insert(slot);
        }
        for (const auto &[key, owner] : service.hotKeys) {
            if (!this->controls.contains(owner.server))
                continue;
            this->owned[owner.server].hotKeys.insert(key);
            if (earlier && earlier->ownerOf(key).server != owner.server)
                arrived[{earlier->ownerOf(key).server, owner.server}].hotKeys.insert(key);
        }
    }
    for (const auto &[path, keys] : arrived) {
        const ServerState *source = before->findServer(path.first);
        // The source may be this instance itself, because each server has its own ledger.
        if (source && source->controller)
            this->actions.emplace_back(FetchLedger{source->controller->instance, path.first,
                                                   path.second, this->cluster->offset(),
                                                   keys.slotList(), keys.hotKeyList()});
    }
    this->fetchLedgersOfTakeovers(*before);
}

std::optional<core::TimePoint> OwnershipEngine::State::authorityUntil(
        const core::ServerName &name) const
{
    const ServerState *server = this->cluster->findServer(name);
    const auto control = this->controls.find(name);
    if (!server || !server->controller || control == this->controls.end())
        return std::nullopt;
    AuthorityFacts facts;
    facts.logReadBegan = this->logReadBegan;
    facts.ownChangeOpen = this->proposals.controllerChangeOpen(name, control->second.epoch());
    const auto held = this->promisesHeld.find(name);
    for (const core::InstanceId &successor : server->controller->successors) {
        facts.promisedUntil.emplace_back();
        if (held == this->promisesHeld.end())
            continue;
        const auto promise = held->second.find(successor);
        if (promise != held->second.end())
            facts.promisedUntil.back() = promise->second;
    }
    return this->policy->authorityUntil(facts);
}

void OwnershipEngine::State::refreshAuthority()
{
    for (auto &[name, control] : this->controls)
        control.limitAuthority(this->authorityUntil(name));
}

bool OwnershipEngine::State::logIsReachable(core::TimePoint now) const
{
    return this->logReadAt && now - *this->logReadAt < logSilence;
}

bool OwnershipEngine::State::logIsFresh(core::TimePoint now) const
{
    return this->logReadBegan && now - *this->logReadBegan < this->settings.timings.logAuthority;
}

void OwnershipEngine::State::pollGrants(core::TimePoint now)
{
    for (auto &[name, control] : this->controls) {
        GrantRound round;
        round.now = now;
        round.hasAuthority = control.hasAuthority(now);
        round.logIsFresh = this->logIsFresh(now);
        round.wanted = this->owned[name];
        round.wanted.remove(this->proposals.withheldFrom(name));
        const auto move = this->moves.find(name);
        if (move != this->moves.end() && move->second.idle)
            round.wanted.remove(keysOf(move->second.record));
        control.poll(round, this->actions);
    }
}

bool OwnershipEngine::State::isOpen(const core::ServerName &server, core::SlotIndex slot) const
{
    const auto move = this->moves.find(server);
    const bool moving = move != this->moves.end() && movesSlot(move->second.record, slot);
    return !moving && !this->proposals.isWithheld(server, slot);
}

bool OwnershipEngine::State::isOpen(const core::ServerName &server, const std::string &hotKey) const
{
    const auto move = this->moves.find(server);
    const bool moving = move != this->moves.end() && movesHotKey(move->second.record, hotKey);
    return !moving && !this->proposals.isWithheld(server, hotKey);
}

void OwnershipEngine::State::sendHeartbeats(core::TimePoint now)
{
    if (now < this->nextHeartbeat)
        return;
    this->nextHeartbeat = now + this->settings.timings.heartbeat;

    std::map<core::InstanceId, std::vector<ServerEpoch>> requests;
    for (const core::InstanceId &peer : this->detector.watched())
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
    const auto report = this->reports.find(server.controller->instance);
    return report != this->reports.end() && now - report->second.at < reportAge
            && report->second.reachable.contains(server.spec.name);
}

PlacementView OwnershipEngine::State::view(core::TimePoint now) const
{
    PlacementView result{*this->cluster, this->detector.usable(now), {}};
    for (const auto &[name, server] : this->cluster->servers()) {
        if (!this->isReachable(server, now))
            result.unreachable.insert(name);
    }
    return result;
}

} // namespace amaranthdale::decisions
