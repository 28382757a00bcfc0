// Ledger: expiry of entries, and export and import of slots.
#include "amaranthdale/decisions/request_ledger.h"

#include "ledger_key.h"

#include <algorithm>

namespace amaranthdale::decisions {

namespace {

// Replay marks per retention period: limits their number and the delay that they add to expiry.
constexpr int marksPerRetention = 16;

} // namespace

void RequestLedger::replayed(core::LogOffset offset, core::TimePoint now)
{
    if (offset <= this->newestReplayed)
        return;
    this->newestReplayed = offset;
    // The newest mark is replaced until it is one interval after the one before it. This limits the
    // number of marks, and no mark is earlier than the time at which its offset was replayed.
    const core::Duration interval = this->options.issuedRetention / marksPerRetention;
    const std::size_t count = this->replayMarks.size();
    const bool replaceNewest = count >= 2
            && this->replayMarks[count - 1].time - this->replayMarks[count - 2].time < interval;
    if (replaceNewest)
        this->replayMarks.back() = ReplayMark{now, offset};
    else
        this->replayMarks.push_back(ReplayMark{now, offset});
    while (this->replayMarks.size() >= 2
           && this->replayMarks[1].time + this->options.issuedRetention <= now)
        this->replayMarks.pop_front();
}

core::LogOffset RequestLedger::offsetBeforeRetention(core::TimePoint now) const
{
    core::LogOffset newest;
    for (const ReplayMark &mark : this->replayMarks) {
        if (mark.time + this->options.issuedRetention <= now)
            newest = mark.offset;
    }
    return newest;
}

RequestLedger::Entry *RequestLedger::findEnded(const Expiry &due)
{
    const auto slot = this->slots.find(due.slot);
    if (slot == this->slots.end())
        return nullptr;
    const auto found = slot->second.entries.find(due.key);
    const bool current = found != slot->second.entries.end()
            && found->second.state != EntryState::InFlight && found->second.endedAt == due.endedAt;
    return current ? &found->second : nullptr;
}

bool RequestLedger::canRemove(const Expiry &due, const Entry &entry, core::TimePoint now) const
{
    // Removing an id issued at offset x makes every id issued at x that has no entry Unknown. So x
    // must be old enough that no recently issued id carries it, unless the removed id never ran.
    return entry.state == EntryState::NotRun
            || *detail::issuedAt(due.key) < this->offsetBeforeRetention(now);
}

void RequestLedger::expire(core::TimePoint now)
{
    this->expireIssued(now);
    this->expireCallers(now);
}

void RequestLedger::expireIssued(core::TimePoint now)
{
    while (!this->issuedExpiry.empty()) {
        const Expiry &due = this->issuedExpiry.front();
        if (due.endedAt + this->options.issuedRetention > now)
            return;
        if (const Entry *entry = this->findEnded(due)) {
            if (!this->canRemove(due, *entry, now))
                return;
            Slot &slot = this->slots.at(due.slot);
            if (entry->state != EntryState::NotRun) {
                const core::LogOffset after(detail::issuedAt(due.key)->value + 1);
                slot.knownSince = std::max(slot.knownSince, after);
            }
            this->removeEntry(slot, due.key);
        }
        this->issuedExpiry.pop_front();
    }
}

void RequestLedger::expireCallers(core::TimePoint now)
{
    while (!this->callerExpiry.empty()) {
        const Expiry &due = this->callerExpiry.front();
        if (due.endedAt + this->options.callerWindow > now)
            return;
        if (this->findEnded(due))
            this->removeEntry(this->slots.at(due.slot), due.key);
        this->callerExpiry.pop_front();
    }
}

bool RequestLedger::needsNewOffset(core::TimePoint now) const
{
    const bool blocked = !this->issuedExpiry.empty()
            && this->issuedExpiry.front().endedAt + this->options.issuedRetention <= now;
    return blocked && this->entryCount > this->options.maxEntries / 2;
}

SlotLedger RequestLedger::exportSlot(core::SlotIndex slot, core::TimePoint now) const
{
    const Slot &source = this->slots.at(slot);
    SlotLedger memory;
    memory.slot = slot;
    memory.knownSince = source.knownSince;
    memory.callerUnknownFor = std::max(core::Duration(), source.callerUnknownUntil - now);
    for (const auto &[key, entry] : source.entries) {
        if (entry.state == EntryState::NotRun)
            continue;
        const bool stillInFlight = entry.state == EntryState::InFlight;
        memory.entries.push_back(LedgerEntry{
                key, stillInFlight ? EntryState::Unknown : entry.state, entry.fingerprint,
                stillInFlight ? core::Duration() : now - entry.endedAt, entry.response});
    }
    return memory;
}

bool RequestLedger::importSlot(const SlotLedger &memory, core::TimePoint now)
{
    const auto found = this->slots.find(memory.slot);
    const bool fits = this->entryCount + memory.entries.size() <= this->options.maxEntries;
    if (found == this->slots.end() || !fits)
        return false;

    Slot &slot = found->second;
    // If `knownSince` was raised since the start, ids were removed here that the predecessor's
    // entries don't cover.
    if (slot.knownSince == slot.startedAt)
        slot.knownSince = std::min(slot.knownSince, memory.knownSince);
    slot.callerUnknownUntil = std::min(slot.callerUnknownUntil, now + memory.callerUnknownFor);
    for (const LedgerEntry &imported : memory.entries) {
        const auto [position, inserted] = slot.entries.try_emplace(imported.key);
        Entry &entry = position->second;
        if (!inserted && entry.state != EntryState::NotRun)
            continue;
        this->entryCount += inserted ? 1 : 0;
        entry.fingerprint = imported.fingerprint;
        this->endEntry(memory.slot, imported.key, entry, imported.state, now - imported.age);
        if (imported.state == EntryState::Answered)
            this->storeResponse(entry, imported.response);
    }
    return true;
}

} // namespace amaranthdale::decisions
