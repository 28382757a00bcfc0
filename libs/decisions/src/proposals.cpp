// Tracking of pending proposals.
#include "proposals.h"

#include <algorithm>

namespace amaranthdale::decisions {

namespace {

core::LogOffset controllerChangedAt(const ClusterState &state, const core::ServerName &name)
{
    const ServerState *server = state.findServer(name);
    return server && server->controller ? core::LogOffset(server->controller->epoch.value)
                                        : core::LogOffset();
}

bool anyKeyChanged(const ServiceState &service, const SlotRecord &body, core::LogOffset basedOn)
{
    const KeySet keys = keysOf(body);
    const bool slotChanged =
            std::any_of(keys.slots.begin(), keys.slots.end(), [&](core::SlotIndex slot) {
                return service.slots[slot].changedAt > basedOn;
            });
    const bool keyChanged =
            std::any_of(keys.hotKeys.begin(), keys.hotKeys.end(), [&](const std::string &key) {
                return service.ownerOf(key).changedAt > basedOn;
            });
    return slotChanged || keyChanged;
}

// True if replay would drop the record at any later offset because its condition no longer holds.
bool isSettled(const ClusterState &state, const LogRecord &record)
{
    if (const auto *change = std::get_if<ControllerRecord>(&record.body))
        return controllerChangedAt(state, change->server) > record.basedOn;
    const auto *move = std::get_if<SlotRecord>(&record.body);
    if (!move)
        return false;
    const bool epochOver = !move->from.empty()
            && controllerChangedAt(state, move->from).value > move->fromEpoch.value;
    const ServiceState *service = state.findService(move->service);
    return epochOver || (service && anyKeyChanged(*service, *move, record.basedOn));
}

} // namespace

void Proposals::propose(RecordBody body, core::LogOffset basedOn)
{
    Open entry;
    entry.record = LogRecord{RecordId{this->self, ++this->lastSequence}, basedOn, std::move(body)};
    this->open.push_back(std::move(entry));
}

Proposals::Open *Proposals::find(const RecordId &id)
{
    const auto found = std::find_if(this->open.begin(), this->open.end(),
                                    [&id](const Open &each) { return each.record.id == id; });
    return found == this->open.end() ? nullptr : &*found;
}

void Proposals::answered(const RecordId &id, core::LogOffset offset)
{
    if (Open *entry = this->find(id)) {
        entry->inFlight = false;
        entry->everOpen = true;
        entry->offset = offset;
    }
}

void Proposals::failed(const RecordId &id)
{
    Open *entry = this->find(id);
    if (!entry)
        return;
    entry->inFlight = false;
    if (!entry->everOpen)
        std::erase_if(this->open, [&id](const Open &each) { return each.record.id == id; });
}

void Proposals::outcomeOpen(const RecordId &id, core::TimePoint now)
{
    if (Open *entry = this->find(id)) {
        entry->inFlight = false;
        entry->everOpen = true;
        entry->nextSend = now + this->resend;
    }
}

std::optional<LogRecord> Proposals::applied(const RecordId &id, const Applied &result)
{
    Open *entry = this->find(id);
    if (!entry)
        return std::nullopt;
    LogRecord record = entry->record;
    const auto *move = std::get_if<SlotRecord>(&record.body);
    if (!result.accepted && move && !move->from.empty())
        entry->dropped = true;
    else
        std::erase_if(this->open, [&id](const Open &each) { return each.record.id == id; });
    return record;
}

void Proposals::settle(const ClusterState &state)
{
    std::erase_if(this->open, [&](const Open &each) { return isSettled(state, each.record); });
}

bool Proposals::controllerChangeOpen(const core::ServerName &server, core::Epoch epoch) const
{
    return std::any_of(this->open.begin(), this->open.end(), [&](const Open &each) {
        const auto *change = std::get_if<ControllerRecord>(&each.record.body);
        return change && change->server == server && each.record.basedOn.value >= epoch.value;
    });
}

bool Proposals::anyControllerChangeOpen() const
{
    return std::any_of(this->open.begin(), this->open.end(), [](const Open &each) {
        return std::holds_alternative<ControllerRecord>(each.record.body);
    });
}

bool Proposals::initialAssignmentOpen(const core::ServiceName &service) const
{
    return std::any_of(this->open.begin(), this->open.end(), [&](const Open &each) {
        const auto *move = std::get_if<SlotRecord>(&each.record.body);
        return move && move->from.empty() && move->service == service;
    });
}

bool Proposals::moveOpenFrom(const core::ServerName &server) const
{
    return std::any_of(this->open.begin(), this->open.end(), [&](const Open &each) {
        const auto *move = std::get_if<SlotRecord>(&each.record.body);
        return move && move->from == server;
    });
}

KeySet Proposals::withheldFrom(const core::ServerName &server) const
{
    KeySet keys;
    for (const Open &each : this->open) {
        const auto *move = std::get_if<SlotRecord>(&each.record.body);
        if (move && move->from == server)
            keys.add(keysOf(*move));
    }
    return keys;
}

bool Proposals::isWithheld(const core::ServerName &server, core::SlotIndex slot) const
{
    return std::any_of(this->open.begin(), this->open.end(), [&](const Open &each) {
        const auto *move = std::get_if<SlotRecord>(&each.record.body);
        return move && move->from == server && movesSlot(*move, slot);
    });
}

bool Proposals::isWithheld(const core::ServerName &server, const std::string &hotKey) const
{
    return std::any_of(this->open.begin(), this->open.end(), [&](const Open &each) {
        const auto *move = std::get_if<SlotRecord>(&each.record.body);
        return move && move->from == server && movesHotKey(*move, hotKey);
    });
}

std::vector<core::ServerName> Proposals::serversToVoid() const
{
    std::vector<core::ServerName> servers;
    for (const Open &each : this->open) {
        const auto *move = std::get_if<SlotRecord>(&each.record.body);
        if (move && each.dropped)
            servers.push_back(move->from);
    }
    return servers;
}

void Proposals::poll(core::TimePoint now, std::vector<OwnershipAction> &actions)
{
    for (Open &each : this->open) {
        if (each.inFlight || each.offset || each.dropped || now < each.nextSend)
            continue;
        each.inFlight = true;
        actions.emplace_back(AppendRecord{each.record});
    }
}

} // namespace amaranthdale::decisions
