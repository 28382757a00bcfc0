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
bool canNoLongerApply(const ClusterState &state, const LogRecord &record)
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
    PendingRecord entry;
    entry.record = LogRecord{RecordId{this->self, ++this->lastSequence}, basedOn, std::move(body)};
    this->pending.push_back(std::move(entry));
}

Proposals::PendingRecord *Proposals::find(const RecordId &id)
{
    const auto found =
            std::find_if(this->pending.begin(), this->pending.end(),
                         [&id](const PendingRecord &each) { return each.record.id == id; });
    return found == this->pending.end() ? nullptr : &*found;
}

void Proposals::appendAcknowledged(const RecordId &id, core::LogOffset offset)
{
    if (PendingRecord *entry = this->find(id)) {
        entry->inFlight = false;
        entry->mayBeAppended = true;
        entry->offset = offset;
    }
}

void Proposals::appendFailed(const RecordId &id)
{
    PendingRecord *entry = this->find(id);
    if (!entry)
        return;
    entry->inFlight = false;
    if (!entry->mayBeAppended)
        std::erase_if(this->pending,
                      [&id](const PendingRecord &each) { return each.record.id == id; });
}

void Proposals::appendOutcomeUnknown(const RecordId &id, core::TimePoint now)
{
    if (PendingRecord *entry = this->find(id)) {
        entry->inFlight = false;
        entry->mayBeAppended = true;
        entry->nextSend = now + this->appendRetryDelay;
    }
}

std::optional<LogRecord> Proposals::recordApplied(const RecordId &id, const ApplyResult &result)
{
    PendingRecord *entry = this->find(id);
    if (!entry)
        return std::nullopt;
    LogRecord record = entry->record;
    const auto *move = std::get_if<SlotRecord>(&record.body);
    if (!result.accepted && move && !move->from.empty())
        entry->copyDropped = true;
    else
        std::erase_if(this->pending,
                      [&id](const PendingRecord &each) { return each.record.id == id; });
    return record;
}

void Proposals::removeSettled(const ClusterState &state)
{
    std::erase_if(this->pending,
                  [&](const PendingRecord &each) { return canNoLongerApply(state, each.record); });
}

bool Proposals::controllerChangePending(const core::ServerName &server, core::Epoch epoch) const
{
    return std::any_of(this->pending.begin(), this->pending.end(), [&](const PendingRecord &each) {
        const auto *change = std::get_if<ControllerRecord>(&each.record.body);
        return change && change->server == server && each.record.basedOn.value >= epoch.value;
    });
}

bool Proposals::anyControllerChangePending() const
{
    return std::any_of(this->pending.begin(), this->pending.end(), [](const PendingRecord &each) {
        return std::holds_alternative<ControllerRecord>(each.record.body);
    });
}

bool Proposals::initialAssignmentPending(const core::ServiceName &service) const
{
    return std::any_of(this->pending.begin(), this->pending.end(), [&](const PendingRecord &each) {
        const auto *move = std::get_if<SlotRecord>(&each.record.body);
        return move && move->from.empty() && move->service == service;
    });
}

bool Proposals::hasPendingMoveFrom(const core::ServerName &server) const
{
    return std::any_of(this->pending.begin(), this->pending.end(), [&](const PendingRecord &each) {
        const auto *move = std::get_if<SlotRecord>(&each.record.body);
        return move && move->from == server;
    });
}

KeySet Proposals::keysInPendingMoves(const core::ServerName &server) const
{
    KeySet keys;
    for (const PendingRecord &each : this->pending) {
        const auto *move = std::get_if<SlotRecord>(&each.record.body);
        if (move && move->from == server)
            keys.add(keysOf(*move));
    }
    return keys;
}

bool Proposals::isInPendingMove(const core::ServerName &server, core::SlotIndex slot) const
{
    return std::any_of(this->pending.begin(), this->pending.end(), [&](const PendingRecord &each) {
        const auto *move = std::get_if<SlotRecord>(&each.record.body);
        return move && move->from == server && movesSlot(*move, slot);
    });
}

bool Proposals::isInPendingMove(const core::ServerName &server, const std::string &hotKey) const
{
    return std::any_of(this->pending.begin(), this->pending.end(), [&](const PendingRecord &each) {
        const auto *move = std::get_if<SlotRecord>(&each.record.body);
        return move && move->from == server && movesHotKey(*move, hotKey);
    });
}

std::vector<core::ServerName> Proposals::serversWithDroppedMoves() const
{
    std::vector<core::ServerName> servers;
    for (const PendingRecord &each : this->pending) {
        const auto *move = std::get_if<SlotRecord>(&each.record.body);
        if (move && each.copyDropped)
            servers.push_back(move->from);
    }
    return servers;
}

void Proposals::emitDueAppends(core::TimePoint now, std::vector<OwnershipAction> &actions)
{
    for (PendingRecord &each : this->pending) {
        if (each.inFlight || each.offset || each.copyDropped || now < each.nextSend)
            continue;
        each.inFlight = true;
        actions.emplace_back(AppendRecord{each.record});
    }
}

} // namespace amaranthdale::decisions
