// Memory of non-idempotent request ids per hash slot: the rule of at most once.
#pragma once

#include "amaranthdale/decisions/request.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace amaranthdale::decisions {

/// Identifies one arrival at a dispatcher; a resend of the same request id gets another one.
using Ticket = std::uint64_t;

/// Bounds of a ledger's memory.
struct LedgerOptions
{
    std::size_t maxEntries = 50'000;
    std::size_t maxStoredBodyBytes = 16 * 1024;             ///< Of one response.
    std::size_t maxStoredBytesTotal = 16 * 1024 * 1024;     ///< Of all responses together.
    core::Duration callerWindow = std::chrono::minutes(10); ///< The service's idempotencyWindow.
    /// How long issued ids are remembered after their end. Their offset allows a shorter time than
    /// the caller's window: a forgotten id gets `unknown`, never a second run.
    core::Duration issuedRetention = std::chrono::minutes(2);
};

/// What the ledger says of a request.
enum class LedgerVerdict {
    New,          ///< Never sent, as far as the rules allow to know; may be sent.
    InFlight,     ///< The same request is queued or in flight under `owner`.
    Answered,     ///< `response` is what the first run answered.
    Unknown,      ///< It may have run; must not be sent.
    OtherRequest, ///< The id belongs to a request with another fingerprint; must not be sent.
    FromFuture,   ///< Issued at an offset that this instance has not replayed; not run here.
    Predates,     ///< Made by an entry instance before the memory starts; needs a newer id.
    Full,         ///< No memory for another id; not run.
    NotOwned,     ///< No memory of this slot was started here.
};

struct LedgerAnswer
{
    LedgerVerdict verdict = LedgerVerdict::New;
    Ticket owner = 0;                               ///< For InFlight.
    std::shared_ptr<const StoredResponse> response; ///< For Answered.
};

/// State of one id.
enum class EntryState { InFlight, Answered, Unknown, NotRun };

/// One id as it moves with its slot to another controller.
struct LedgerEntry
{
    std::string key; ///< The id; ids chosen by callers are scoped by brand.
    EntryState state = EntryState::Unknown;
    std::uint64_t fingerprint = 0;
    core::Duration age = {}; ///< Since its end.
    std::shared_ptr<const StoredResponse> response;
};

/// The memory of one slot as it moves to another controller. Times are relative, since time points
/// of two processes can't be compared.
struct SlotMemory
{
    core::SlotIndex slot = 0;
    core::LogOffset knownSince;
    core::Duration callerUnknownFor = {};
    std::vector<LedgerEntry> entries;
};

/// At most once, per slot. Ids issued before `knownSince` of a slot, and for one window after its
/// start ids chosen by callers, are unknown unless an entry says more. An id issued at an offset
/// that this instance has not replayed is not accepted: that's why a successor whose memory starts
/// at its own record's offset can be sure that its predecessor ran none of the ids issued since.
/// In return, a successor runs no id from before its start, not even one made by an entry instance
/// for this very request, so what a predecessor that has not noticed yet says of those ids is true.
/// The entry instance makes a new id for its next attempt.
class RequestLedger
{
public:
    explicit RequestLedger(LedgerOptions ledgerOptions = {});

    /// Starts the memory of `slot` at the offset of the record that gave the slot to this
    /// controller. `initial` says that no controller served the slot before, so that ids chosen by
    /// callers are new. Replaces any earlier memory of the slot.
    void startSlot(core::SlotIndex slot, core::LogOffset knownSince, bool initial,
                   core::TimePoint now);
    void dropSlot(core::SlotIndex slot);
    bool ownsSlot(core::SlotIndex slot) const;
    std::vector<core::SlotIndex> ownedSlots() const;

    /// This instance has replayed the log up to `offset`. Offsets never go back.
    void replayed(core::LogOffset offset, core::TimePoint now);

    /// What is known of `request`, which is not idempotent. Changes nothing.
    LedgerAnswer find(const RequestInfo &request, core::TimePoint now) const;

    /// Like `find`; when the verdict is New, records the id as in flight under `owner`.
    LedgerAnswer begin(const RequestInfo &request, Ticket owner, core::TimePoint now);

    /// Ends a request that was begun. A response that is too large is remembered by status only.
    void complete(const RequestInfo &request, RunOutcome outcome,
                  std::shared_ptr<const StoredResponse> response, core::TimePoint now);

    /// Forgets ended ids that are past their time, and raises `knownSince` where that would
    /// otherwise make an issued id look new.
    void expire(core::TimePoint now);

    /// Memory of `slot`; what is still in flight is exported as unknown.
    SlotMemory exportSlot(core::SlotIndex slot, core::TimePoint now) const;

    /// Adds the previous controller's memory to a slot that was started here. False, and nothing
    /// changed, when the slot wasn't started or the entries don't fit.
    bool importSlot(const SlotMemory &memory, core::TimePoint now);

    /// Much of the memory is held by issued ids that could be forgotten if the log advanced: ids
    /// issued now carry the same offset. The caller should then append any record.
    bool needsNewOffset(core::TimePoint now) const;

    std::size_t size() const { return this->entryCount; }
    std::size_t storedBytes() const { return this->storedTotal; }
    /// Oldest offset from which issued ids of `slot` are known; the slot must be owned.
    core::LogOffset knownSince(core::SlotIndex slot) const;

private:
    struct Entry
    {
        EntryState state = EntryState::InFlight;
        std::uint64_t fingerprint = 0;
        Ticket owner = 0;
        core::TimePoint endedAt;
        std::shared_ptr<const StoredResponse> response;
    };

    struct Slot
    {
        core::LogOffset startedAt;
        core::LogOffset knownSince; // At least startedAt, except after an import.
        core::TimePoint callerUnknownUntil;
        std::unordered_map<std::string, Entry> entries;
    };

    // An ended entry that is due to be forgotten. Stale when the entry has another `endedAt`.
    struct Expiry
    {
        core::TimePoint endedAt;
        core::SlotIndex slot;
        std::string key;
    };

    // This instance had replayed `offset` at `time`.
    struct ReplayMark
    {
        core::TimePoint time;
        core::LogOffset offset;
    };

    using ExpiryQueue = std::deque<Expiry>;

    void endEntry(core::SlotIndex slot, const std::string &key, Entry &entry, EntryState state,
                  core::TimePoint endedAt);
    void store(Entry &entry, std::shared_ptr<const StoredResponse> response);
    void removeEntry(Slot &slot, const std::string &key);
    void expireIssued(core::TimePoint now);
    void expireCallers(core::TimePoint now);
    bool mayForget(const Expiry &due, const Entry &entry, core::TimePoint now) const;
    Entry *findEnded(const Expiry &due);
    core::LogOffset settledOffset(core::TimePoint now) const;

    LedgerOptions options;
    std::unordered_map<core::SlotIndex, Slot> slots;
    ExpiryQueue issuedExpiry; // By endedAt, except for imported entries.
    ExpiryQueue callerExpiry;
    std::deque<ReplayMark> replayMarks;
    core::LogOffset newestReplayed;
    std::size_t entryCount = 0;  // Over all slots; at most options.maxEntries.
    std::size_t storedTotal = 0; // Body bytes over all entries.
};

} // namespace amaranthdale::decisions
