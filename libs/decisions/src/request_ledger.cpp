// Ledger: slots, lookup, begin and completion of requests.
#include "amaranthdale/decisions/request_ledger.h"

#include "ledger_key.h"

#include <algorithm>
#include <cassert>

namespace amaranthdale::decisions {

namespace {

std::size_t storedSize(const StoredResponse &response)
{
    std::size_t size = response.body.size();
    for (const core::Header &header : response.headers)
        size += header.name.size() + header.value.size();
    return size;
}

EntryState stateAfter(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::Answered:
        return EntryState::Answered;
    case RunOutcome::NotRun:
        return EntryState::NotRun;
    case RunOutcome::Unknown:
        break;
    }
    return EntryState::Unknown;
}

} // namespace

RequestLedger::RequestLedger(LedgerOptions ledgerOptions) : options(ledgerOptions) { }

void RequestLedger::startSlot(core::SlotIndex slot, core::LogOffset since, bool initial,
                              core::TimePoint now)
{
    this->dropSlot(slot);
    Slot &started = this->slots[slot];
    started.startedAt = since;
    started.knownSince = since;
    started.callerUnknownUntil = initial ? now : now + this->options.callerWindow;
}

std::vector<core::SlotIndex> RequestLedger::ownedSlots() const
{
    std::vector<core::SlotIndex> owned;
    for (const auto &[slot, contents] : this->slots)
        owned.push_back(slot);
    return owned;
}

void RequestLedger::dropSlot(core::SlotIndex slot)
{
    const auto found = this->slots.find(slot);
    if (found == this->slots.end())
        return;
    for (const auto &[key, entry] : found->second.entries) {
        this->storedTotal -= entry.response ? storedSize(*entry.response) : 0;
        --this->entryCount;
    }
    this->slots.erase(found);
}

bool RequestLedger::ownsSlot(core::SlotIndex slot) const
{
    return this->slots.contains(slot);
}

core::LogOffset RequestLedger::knownSince(core::SlotIndex slot) const
{
    return this->slots.at(slot).knownSince;
}

LedgerLookup RequestLedger::find(const RequestInfo &request, core::TimePoint now) const
{
    const auto slot = this->slots.find(request.slot);
    if (slot == this->slots.end())
        return {LedgerVerdict::NotOwned, 0, nullptr};

    const detail::LedgerKey key = detail::keyOf(request);
    const auto found = slot->second.entries.find(key.text);
    if (found != slot->second.entries.end() && found->second.state != EntryState::NotRun) {
        const Entry &entry = found->second;
        if (entry.fingerprint != request.fingerprint)
            return {LedgerVerdict::FingerprintMismatch, 0, nullptr};
        if (entry.state == EntryState::InFlight)
            return {LedgerVerdict::InFlight, entry.owner, nullptr};
        if (entry.state == EntryState::Answered)
            return {LedgerVerdict::Answered, 0, entry.response};
        return {LedgerVerdict::Unknown, 0, nullptr};
    }
    if (found != slot->second.entries.end())
        return {};

    if (key.issuedAt && *key.issuedAt > this->newestReplayed)
        return {LedgerVerdict::OffsetNotReplayed, 0, nullptr};
    const bool notCovered = key.issuedAt ? *key.issuedAt < slot->second.knownSince
                                         : now < slot->second.callerUnknownUntil;
    if (notCovered) {
        const bool cannotBeResend = request.origin == IdOrigin::Instance;
        return {cannotBeResend ? LedgerVerdict::BeforeKnownSince : LedgerVerdict::Unknown, 0,
                nullptr};
    }
    if (this->entryCount >= this->options.maxEntries)
        return {LedgerVerdict::Full, 0, nullptr};
    return {};
}

LedgerLookup RequestLedger::begin(const RequestInfo &request, Ticket owner, core::TimePoint now)
{
    LedgerLookup lookup = this->find(request, now);
    if (lookup.verdict != LedgerVerdict::New)
        return lookup;
    Slot &slot = this->slots.at(request.slot);
    const auto [position, inserted] = slot.entries.try_emplace(detail::keyOf(request).text);
    this->entryCount += inserted ? 1 : 0;
    position->second.state = EntryState::InFlight;
    position->second.fingerprint = request.fingerprint;
    position->second.owner = owner;
    return lookup;
}

void RequestLedger::complete(const RequestInfo &request, RunOutcome outcome,
                             std::shared_ptr<const StoredResponse> response, core::TimePoint now)
{
    const auto slot = this->slots.find(request.slot);
    if (slot == this->slots.end())
        return;
    const std::string key = detail::keyOf(request).text;
    const auto found = slot->second.entries.find(key);
    if (found == slot->second.entries.end() || found->second.state != EntryState::InFlight)
        return;
    this->endEntry(request.slot, key, found->second, stateAfter(outcome), now);
    if (outcome == RunOutcome::Answered)
        this->storeResponse(found->second, std::move(response));
}

void RequestLedger::endEntry(core::SlotIndex slot, const std::string &key, Entry &entry,
                             EntryState state, core::TimePoint endedAt)
{
    entry.state = state;
    entry.endedAt = endedAt;
    ExpiryQueue &queue = detail::issuedAt(key) ? this->issuedExpiry : this->callerExpiry;
    queue.push_back(Expiry{endedAt, slot, key});
}

void RequestLedger::storeResponse(Entry &entry, std::shared_ptr<const StoredResponse> response)
{
    const std::size_t size = response ? storedSize(*response) : 0;
    const bool fits = response && size <= this->options.maxStoredBodyBytes
            && this->storedTotal + size <= this->options.maxStoredBytesTotal;
    if (fits) {
        entry.response = std::move(response);
        this->storedTotal += size;
        return;
    }
    StoredResponse statusOnly;
    statusOnly.status = response ? response->status : statusOnly.status;
    statusOnly.bodyStored = false;
    entry.response = std::make_shared<const StoredResponse>(std::move(statusOnly));
}

void RequestLedger::removeEntry(Slot &slot, const std::string &key)
{
    const auto found = slot.entries.find(key);
    assert(found != slot.entries.end());
    this->storedTotal -= found->second.response ? storedSize(*found->second.response) : 0;
    slot.entries.erase(found);
    --this->entryCount;
}

} // namespace amaranthdale::decisions
