// Field-by-field conversion; the peer library does the wire encoding.
#include "heartbeat_codec.h"

#include <map>

namespace amaranthdale::daemon {

namespace {

std::vector<decisions::ServerEpoch> fromMessages(const std::vector<peer::ServerEpoch> &messages)
{
    std::vector<decisions::ServerEpoch> epochs;
    for (const peer::ServerEpoch &message : messages)
        epochs.push_back({message.server, message.epoch});
    return epochs;
}

std::vector<peer::ServerEpoch> toMessages(const std::vector<decisions::ServerEpoch> &epochs)
{
    std::vector<peer::ServerEpoch> messages;
    for (const decisions::ServerEpoch &epoch : epochs)
        messages.push_back({epoch.server, epoch.epoch});
    return messages;
}

peer::LedgerState entryStateToMessage(decisions::EntryState state)
{
    switch (state) {
    case decisions::EntryState::InFlight:
        return peer::LedgerState::InFlight;
    case decisions::EntryState::Answered:
        return peer::LedgerState::Answered;
    case decisions::EntryState::Unknown:
        return peer::LedgerState::Unknown;
    case decisions::EntryState::NotRun:
        return peer::LedgerState::NotRun;
    }
    return peer::LedgerState::Unknown;
}

// The outcome of a request that was in flight on the previous controller is unknown here.
decisions::EntryState entryStateFromMessage(peer::LedgerState state)
{
    switch (state) {
    case peer::LedgerState::Answered:
        return decisions::EntryState::Answered;
    case peer::LedgerState::NotRun:
        return decisions::EntryState::NotRun;
    case peer::LedgerState::InFlight:
    case peer::LedgerState::Unknown:
        break;
    }
    return decisions::EntryState::Unknown;
}

decisions::LedgerEntry ledgerEntryFromMessage(const peer::LedgerEntry &from)
{
    decisions::LedgerEntry entry;
    entry.key = from.requestId.value;
    entry.state = entryStateFromMessage(from.state);
    entry.fingerprint = from.fingerprint;
    entry.age = from.age;
    if (from.state == peer::LedgerState::Answered) {
        decisions::StoredResponse response{from.status, from.headers, from.body, from.bodyStored};
        entry.response = std::make_shared<const decisions::StoredResponse>(std::move(response));
    }
    return entry;
}

peer::LedgerEntry ledgerEntryToMessage(core::SlotIndex slot, const decisions::LedgerEntry &from)
{
    peer::LedgerEntry entry;
    entry.slot = slot;
    entry.requestId = core::RequestId(from.key);
    entry.state = entryStateToMessage(from.state);
    entry.fingerprint = from.fingerprint;
    entry.age = from.age;
    if (from.response) {
        entry.status = from.response->status;
        entry.headers = from.response->headers;
        entry.body = from.response->body;
        entry.bodyStored = from.response->bodyStored;
    }
    return entry;
}

} // namespace

decisions::Heartbeat fromMessage(const peer::Heartbeat &message)
{
    decisions::Heartbeat heartbeat;
    heartbeat.from = {message.sender, message.dataCentre, message.leaving};
    heartbeat.offset = message.newestOffset;
    heartbeat.requested = fromMessages(message.requestedPromises);
    heartbeat.reachable = message.reachable;
    return heartbeat;
}

decisions::HeartbeatReply fromMessage(const peer::HeartbeatReply &message)
{
    decisions::HeartbeatReply reply;
    reply.from = message.sender;
    for (const peer::Promise &promise : message.promises)
        reply.promised.push_back({promise.serverEpoch.server, promise.serverEpoch.epoch});
    reply.newer = fromMessages(message.newer);
    return reply;
}

peer::Heartbeat toMessage(const decisions::Heartbeat &heartbeat, core::Duration logAge)
{
    peer::Heartbeat message;
    message.sender = heartbeat.from.id;
    message.dataCentre = heartbeat.from.dataCentre;
    message.leaving = heartbeat.from.leaving;
    message.newestOffset = heartbeat.offset;
    message.logAge = logAge;
    message.requestedPromises = toMessages(heartbeat.requested);
    message.reachable = heartbeat.reachable;
    return message;
}

peer::HeartbeatReply toMessage(const decisions::HeartbeatReply &reply, core::LogOffset offset,
                               core::Duration logAge, core::Duration promise)
{
    peer::HeartbeatReply message;
    message.sender = reply.from;
    message.newestOffset = offset;
    message.logAge = logAge;
    for (const decisions::ServerEpoch &given : reply.promised)
        message.promises.push_back({{given.server, given.epoch}, promise});
    message.newer = toMessages(reply.newer);
    return message;
}

void addCrashes(peer::Heartbeat &message, const tables::Guarded<decisions::CrashFilter> &filter,
                core::TimePoint now)
{
    filter.with([&](const decisions::CrashFilter &known) {
        for (const decisions::Ban &ban : known.bans(now))
            message.crashBans.push_back({ban.fingerprint, ban.remaining});
        for (const decisions::Strike &strike : known.strikes(now))
            message.crashStrikes.push_back(
                    {strike.fingerprint, strike.server, strike.incarnation, strike.age});
    });
}

void mergeCrashes(const peer::Heartbeat &message, tables::Guarded<decisions::CrashFilter> &filter,
                  core::TimePoint now)
{
    filter.with([&](decisions::CrashFilter &known) {
        for (const peer::CrashBan &ban : message.crashBans)
            known.mergeBan({ban.fingerprint, ban.remaining}, now);
        for (const peer::CrashStrike &strike : message.crashStrikes)
            known.mergeStrike({strike.fingerprint, strike.server, strike.incarnation, strike.age},
                              now);
    });
}

std::vector<decisions::SlotLedger> toSlotLedgers(const peer::LedgerReply &message)
{
    std::map<core::SlotIndex, decisions::SlotLedger> bySlot;
    for (const peer::LedgerSlot &slot : message.slots)
        bySlot[slot.slot] = {slot.slot, slot.knownSince, slot.callerUnknownFor, {}};
    for (const peer::LedgerEntry &entry : message.entries) {
        const auto ledger = bySlot.find(entry.slot);
        if (ledger != bySlot.end())
            ledger->second.entries.push_back(ledgerEntryFromMessage(entry));
    }
    std::vector<decisions::SlotLedger> ledgers;
    for (auto &[slot, ledger] : bySlot)
        ledgers.push_back(std::move(ledger));
    return ledgers;
}

peer::LedgerReply toMessage(const std::vector<decisions::SlotLedger> &ledgers)
{
    peer::LedgerReply message;
    for (const decisions::SlotLedger &ledger : ledgers) {
        message.slots.push_back({ledger.slot, ledger.knownSince, ledger.callerUnknownFor});
        for (const decisions::LedgerEntry &entry : ledger.entries)
            message.entries.push_back(ledgerEntryToMessage(ledger.slot, entry));
    }
    return message;
}

} // namespace amaranthdale::daemon
