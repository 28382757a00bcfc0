// Replay of log records, each of which takes effect only if its condition holds.
#include "amaranthdale/decisions/cluster_state.h"

#include "amaranthdale/core/hash.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace amaranthdale::decisions {

namespace {

// Bounds the size of the state. Replay must not read a clock, so bans are evicted by count.
constexpr std::size_t maxCrashBans = 1024;

ApplyResult accepted()
{
    return ApplyResult{true, {}};
}

ApplyResult dropped(std::string reason)
{
    return ApplyResult{false, std::move(reason)};
}

ApplyResult droppedAsStale(const std::string &entity, core::LogOffset changedAt)
{
    return dropped(entity + " changed at offset " + std::to_string(changedAt.value)
                   + "; re-read the state and propose the change again");
}

// Offset of the last change of a server's controller, 0 if it never had one.
core::LogOffset controllerChangedAt(const ServerState &server)
{
    return server.controller ? core::LogOffset(server.controller->epoch.value) : core::LogOffset();
}

bool mayReplace(const Controller &current, const LogRecord &record, const ControllerRecord &body)
{
    if (record.id.proposer == current.instance || body.abandoned)
        return true;
    const bool named =
            std::find(current.successors.begin(), current.successors.end(), body.controller)
            != current.successors.end();
    return named && record.id.proposer == body.controller;
}

} // namespace

const SlotOwner &ServiceState::ownerOf(std::string_view key) const
{
    const auto hot = this->hotKeys.find(key);
    if (hot != this->hotKeys.end())
        return hot->second;
    return this->slots[core::slotForKey(key, this->document.hashSeed, this->document.hashSlots)];
}

ApplyResult ClusterState::apply(core::LogOffset offset, const LogRecord &record)
{
    assert(offset > this->lastOffset);
    const ApplyResult result = std::visit(
            [&](const auto &body) { return this->applyBody(offset, record, body); }, record.body);
    this->lastOffset = offset;
    return result;
}

void ClusterState::skip(core::LogOffset offset)
{
    assert(offset > this->lastOffset);
    this->lastOffset = offset;
}

const ServiceState *ClusterState::findService(const core::ServiceName &name) const
{
    const auto found = this->serviceTable.find(name);
    return found == this->serviceTable.end() ? nullptr : &found->second;
}

const ServerState *ClusterState::findServer(const core::ServerName &name) const
{
    const auto found = this->serverTable.find(name);
    return found == this->serverTable.end() ? nullptr : &found->second;
}

bool ClusterState::isDrained(const core::DataCentreName &name) const
{
    const auto found = this->dataCentreTable.find(name);
    return found != this->dataCentreTable.end() && found->second.drained;
}

bool ClusterState::acceptsSlots(const core::ServerName &name) const
{
    const ServerState *server = this->findServer(name);
    return server && !server->removed && !server->spec.leaving
            && !this->isDrained(server->spec.dataCentre);
}

void ClusterState::restore(core::LogOffset offset,
                           std::map<core::ServiceName, ServiceState> services,
                           std::map<core::ServerName, ServerState> servers,
                           std::map<core::DataCentreName, DataCentreState> dataCentres,
                           std::map<std::uint64_t, CrashBan> crashBans)
{
    this->lastOffset = offset;
    this->serviceTable = std::move(services);
    this->serverTable = std::move(servers);
    this->dataCentreTable = std::move(dataCentres);
    this->banTable = std::move(crashBans);
    this->lastSnapshot = offset;
}

std::string ClusterState::documentError(const ServiceDocument &document) const
{
    if (document.hashSlots == 0)
        return "hashSlots is 0; it must be at least 1";
    std::set<core::ServerName> names;
    for (const BackendServer &server : document.servers) {
        if (!names.insert(server.name).second)
            return "server " + server.name.value + " is listed twice; remove one entry";
        const ServerState *current = this->findServer(server.name);
        if (current && current->service != document.service)
            return "server " + server.name.value + " belongs to service " + current->service.value
                    + "; choose another name";
    }
    const ServiceState *current = this->findService(document.service);
    const bool slotsChange = current
            && (current->document.hashSlots != document.hashSlots
                || current->document.hashSeed != document.hashSeed);
    if (slotsChange)
        return "hashSlots and hashSeed are fixed; keep the current values";
    return {};
}

ApplyResult ClusterState::applyBody(core::LogOffset offset, const LogRecord &record,
                                    const DocumentRecord &body)
{
    const ServiceState *current = this->findService(body.document.service);
    if (current && current->version > record.basedOn)
        return droppedAsStale("service " + body.document.service.value, current->version);
    if (std::string reason = this->documentError(body.document); !reason.empty())
        return dropped(std::move(reason));

    ServiceState &service = this->serviceTable[body.document.service];
    service.document = body.document;
    service.version = offset;
    service.slots.resize(body.document.hashSlots);
    this->declareServers(body.document);
    this->eraseRemovedServers();
    return accepted();
}

void ClusterState::declareServers(const ServiceDocument &document)
{
    for (auto &[name, server] : this->serverTable) {
        if (server.service == document.service)
            server.removed = true;
    }
    for (const BackendServer &spec : document.servers) {
        ServerState &server = this->serverTable[spec.name];
        server.service = document.service;
        server.spec = spec;
        server.removed = false;
    }
}

void ClusterState::eraseRemovedServers()
{
    // Called on every assignment, but scanning all slots is needed only if a server was removed.
    const bool anyRemoved = std::any_of(this->serverTable.begin(), this->serverTable.end(),
                                        [](const auto &entry) { return entry.second.removed; });
    if (!anyRemoved)
        return;
    std::set<core::ServerName> owners;
    for (const auto &[name, service] : this->serviceTable) {
        for (const SlotOwner &owner : service.slots)
            owners.insert(owner.server);
        for (const auto &[key, owner] : service.hotKeys)
            owners.insert(owner.server);
    }
    std::erase_if(this->serverTable, [&owners](const auto &entry) {
        return entry.second.removed && !owners.contains(entry.first);
    });
}

ApplyResult ClusterState::applyBody(core::LogOffset offset, const LogRecord &record,
                                    const DataCentreRecord &body)
{
    const auto found = this->dataCentreTable.find(body.dataCentre);
    if (found != this->dataCentreTable.end() && found->second.changedAt > record.basedOn)
        return droppedAsStale("data centre " + body.dataCentre.value, found->second.changedAt);
    this->dataCentreTable[body.dataCentre] = DataCentreState{body.drained, offset};
    return accepted();
}

ApplyResult ClusterState::applyBody(core::LogOffset offset, const LogRecord &record,
                                    const ControllerRecord &body)
{
    const auto found = this->serverTable.find(body.server);
    if (found == this->serverTable.end())
        return dropped("server " + body.server.value
                       + " is not declared; publish its document first");
    ServerState &server = found->second;
    if (controllerChangedAt(server) > record.basedOn)
        return droppedAsStale("controller of " + body.server.value, controllerChangedAt(server));
    if (server.controller && !mayReplace(*server.controller, record, body))
        return dropped(record.id.proposer.name.value + " is not a successor of "
                       + server.controller->instance.name.value + " for " + body.server.value
                       + "; only a named successor may take over");
    core::LogOffset abandonedAt;
    if (body.abandoned && server.controller)
        abandonedAt = offset;
    else if (server.controller)
        abandonedAt = server.controller->abandonedAt;
    server.controller =
            Controller{body.controller, body.successors, core::Epoch(offset.value), abandonedAt};
    return accepted();
}

std::string ClusterState::moveError(const ServiceState &service, const SlotRecord &record,
                                    const SlotMove &move, core::LogOffset basedOn) const
{
    const ServerState *target = this->findServer(move.to);
    if (!target || target->service != record.service)
        return "server " + move.to.value + " is not declared in service " + record.service.value;
    for (core::SlotIndex slot : move.slots) {
        if (slot >= service.slots.size())
            return "slot " + std::to_string(slot) + " does not exist";
        const SlotOwner &owner = service.slots[slot];
        if (owner.server != record.from)
            return "slot " + std::to_string(slot) + " belongs to '" + owner.server.value + "'";
        if (owner.changedAt > basedOn)
            return "slot " + std::to_string(slot) + " changed at offset "
                    + std::to_string(owner.changedAt.value);
    }
    for (const std::string &key : move.hotKeys) {
        const SlotOwner &owner = service.ownerOf(key);
        if (owner.server != record.from || record.from.empty())
            return "hot key belongs to '" + owner.server.value + "'";
        if (owner.changedAt > basedOn)
            return "hot key changed at offset " + std::to_string(owner.changedAt.value);
    }
    return {};
}

ApplyResult ClusterState::applyBody(core::LogOffset offset, const LogRecord &record,
                                    const SlotRecord &body)
{
    const auto found = this->serviceTable.find(body.service);
    if (found == this->serviceTable.end())
        return dropped("service " + body.service.value + " is not declared");
    ServiceState &service = found->second;

    if (body.from.empty() != (body.release == ReassignmentReason::Initial))
        return dropped("an initial assignment may only name slots without an owner, and a move "
                       "must name the current owner");
    if (!body.from.empty()) {
        const ServerState *source = this->findServer(body.from);
        if (!source || !source->controller || source->controller->epoch != body.fromEpoch)
            return dropped("epoch " + std::to_string(body.fromEpoch.value) + " of server "
                           + body.from.value + " is not current");
    }
    for (const SlotMove &move : body.moves) {
        std::string reason = this->moveError(service, body, move, record.basedOn);
        if (!reason.empty())
            return dropped(std::move(reason));
    }

    for (const SlotMove &move : body.moves) {
        for (core::SlotIndex slot : move.slots)
            service.slots[slot] = SlotOwner{move.to, offset};
        for (const std::string &key : move.hotKeys)
            service.hotKeys[key] = SlotOwner{move.to, offset};
    }
    this->eraseRemovedServers();
    return accepted();
}

ApplyResult ClusterState::applyBody(core::LogOffset offset, const LogRecord &,
                                    const CrashRecord &body)
{
    this->banTable[body.fingerprint] = CrashBan{offset, body.ban};
    if (this->banTable.size() > maxCrashBans) {
        const auto oldest = std::min_element(
                this->banTable.begin(), this->banTable.end(),
                [](const auto &a, const auto &b) { return a.second.since < b.second.since; });
        this->banTable.erase(oldest);
    }
    return accepted();
}

ApplyResult ClusterState::applyBody(core::LogOffset offset, const LogRecord &,
                                    const SnapshotRecord &body)
{
    // Pieces are appended in order, so the last one completes the snapshot. The snapshot counts
    // from this offset rather than from `covers`, so that its own pieces, if there are many, don't
    // make the next snapshot due.
    if (body.index + 1 == body.count)
        this->lastSnapshot = offset;
    return accepted();
}

} // namespace amaranthdale::decisions
