// Leases key ranges to backend servers, and decides which instance grants the leases.
#pragma once

#include "amaranthdale/keyspace/assignment.h"
#include "amaranthdale/keyspace/earlier_granters.h"
#include "amaranthdale/keyspace/key_load.h"
#include "amaranthdale/keyspace/placement.h"
#include "amaranthdale/keyspace/rebalancer.h"
#include "amaranthdale/keyspace/witness.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace amaranthdale::keyspace {

/// Identifies a command until its result is reported.
using CommandId = std::uint64_t;

/// Grants the lease of `ownedRange` to its owner, or renews it.
struct GrantCommand
{
    CommandId id = 0;
    OwnedRange ownedRange;
    core::Duration leaseDuration{}; ///< Lease duration. Starts when the call reaches the owner.
    core::TimePoint createdAt{};    ///< `LeaseOptions::maxCallDelay` counts from here.
};

/// Revokes the lease of `keys` at `owner`.
struct ReleaseCommand
{
    CommandId id = 0;
    ServerIncarnation owner;
    KeyRange keys;
    std::uint64_t fence = 0;
};

/// Appends `assignment` if the log still ends at `expectedEnd`.
struct AppendCommand
{
    CommandId id = 0;
    std::uint64_t expectedEnd = 0;
    Assignment assignment;
};

using Command = std::variant<GrantCommand, ReleaseCommand, AppendCommand>;

/// The result of a grant or release.
enum class CommandResult {
    Success,
    Fenced,         ///< The server has seen a higher fencing token.
    ServerReplaced, ///< Another server uses the address, so the owner has ended.
    NotExecuted,    ///< The call was certainly not executed.
    NoAnswer,       ///< The call may be executed, possibly later.
};

/// The result of an append.
enum class AppendResult {
    Success,
    Conflict, ///< The log has grown; nothing was appended.
    Unknown,  ///< It may have been appended, or may still be while its condition holds.
    Refused,  ///< Not executed.
};

/// Why the owner of a range counts as holding no lease.
enum class FreeReason {
    Released,       ///< It answered the release.
    LeaseEnded,     ///< The last lease that any granter may have sent has expired.
    ServerReplaced, ///< Another server answered at its address.
};

/// Keys that may get another owner.
struct FreedKeys
{
    OwnedRange ownedRange; ///< With the token of the last grant.
    FreeReason reason = FreeReason::Released;
    core::Duration sinceLastGrant{}; ///< Since this granter sent it.
};

/// Asks an earlier granter to send no grants under records before `successorEnd`.
struct StepDownRequest
{
    Predecessor predecessor;
    std::uint64_t successorEnd = 0; ///< End of the log as the successor has read it.
};

/// Asks a witness to confirm to this granter that it knows of no successor.
struct ConfirmationRequest
{
    Witness witness;
    core::InstanceId granter;
    std::uint64_t granterEnd = 0; ///< End of the log as the granter has read it.
    core::TimePoint start{};      ///< Start of the request, including suspended time.
};

/// Asks a witness to confirm no more to granters that haven't read the log up to `successorEnd`.
struct AgreementRequest
{
    Witness witness;
    std::uint64_t successorEnd = 0;
};

/// Durations of leases and retries. The defaults suit stores that respond within milliseconds.
struct LeaseOptions
{
    /// Lease duration. The keys of a failed server are unavailable for about this long.
    core::Duration leaseDuration = std::chrono::milliseconds(3000);
    /// Lease duration during a store outage, when no other instance can take over.
    core::Duration outageLeaseDuration = std::chrono::seconds(5);
    core::Duration renewalInterval = std::chrono::milliseconds(900);
    /// Delay before an unanswered grant is retried.
    core::Duration grantRetryDelay = std::chrono::milliseconds(100);
    /// The granter stops renewing leases this long after the last log read that showed no
    /// successor; a successor waits until then. Also the longest store outage that is bridged.
    core::Duration authorityDuration = std::chrono::seconds(12);
    /// Maximum time from a command to its arrival at the server: unanswered calls are reset by
    /// then.
    core::Duration maxCallDelay = std::chrono::milliseconds(600);
    /// Fraction by which a server's clock may run slow (registry's specification: 2%).
    double maxClockDrift = 0.02;
    core::Duration rebalanceInterval = std::chrono::milliseconds(500);
    /// Maximum delay of a record with new owners, to include further ranges that become unowned.
    core::Duration batchDelay = std::chrono::milliseconds(80);
    /// Minimum time between two changes of granter. Instances may disagree temporarily about who is
    /// elected, and each change restarts the wait for the leases of failed servers.
    core::Duration minTakeoverInterval = std::chrono::milliseconds(2500);
    /// Delay after an append that was not executed.
    core::Duration appendRetryDelay = std::chrono::milliseconds(300);
    /// The initial assignment is made once no server has been added for this long. Ranges of equal
    /// size need all servers: later ones get parts of other servers' ranges.
    core::Duration initialServerWait = std::chrono::milliseconds(1500);
    /// Maximum time from the first server to the initial assignment.
    core::Duration maxInitialServerWait = std::chrono::seconds(4);
    PlacementLimits placement;
    RebalanceOptions rebalance;

    /// Number of witnesses that this instance's records name, an odd number; 0: none.
    std::size_t witnessCount = 0;

    // The following apply only to records with witnesses.

    /// Replaces `authorityDuration` without confirmations. Covers two long polls of 0.9 s whose
    /// responses take 0.27 s each, and the drift.
    core::Duration readAuthority = std::chrono::milliseconds(2400);
    /// Time for which a confirmation counts. Covers three requests.
    core::Duration confirmationDuration = std::chrono::milliseconds(1500);
    /// With confirmations; also the longest outage that is bridged: 60 s, the drift, the age of the
    /// last complete read when it begins (1.8 s), and 0.3 s until the next one.
    core::Duration longestAuthority = std::chrono::seconds(64);
    /// Age of the last read at which witnesses are asked. A long poll returns after 0.9 s, so that
    /// the read before it is 1.8 s old in normal operation.
    core::Duration confirmationDelay = std::chrono::milliseconds(1900);
    core::Duration confirmationInterval = std::chrono::milliseconds(400);
    /// Minimum time between two records that only replace witnesses.
    core::Duration witnessChangeInterval = std::chrono::seconds(5);
};

/// Lease state machine of one keyed service. Every instance runs one; the instance that the newest
/// log record names is the granter. Performs no I/O. Not thread-safe.
///
/// The following rules ensure that a key never has two owners:
///
/// - Only a conditional append makes an instance the granter or changes an owner, so these changes
///   are totally ordered. Fencing tokens derive from the position of the record and increase with
///   it.
/// - A range leaves its owner only if the owner has released it under a fencing token above those
///   of all grants with unknown outcome, and no earlier granter may send grants any more, if
///   another server uses the owner's address, or if the last lease that any granter may have sent
///   has expired. This includes servers that restarted under the same name, because the new process
///   may have accepted renewals meant for the old one.
/// - A granter sends nothing later than `authorityDuration` after its last log read that showed no
///   successor. Until then a successor assumes that earlier granters may renew leases, unless the
///   server has accepted a grant under the successor's own fencing token or the earlier granter has
///   stepped down. A record states whether granters before its own may still send (`settled`), and
///   otherwise which ones (`earlierGranters`); the wait ends early only if each of them has
///   answered that it sends nothing more. A missing answer never counts as one.
/// - A granter that was asked to step down sends nothing until it has read the log up to the end
///   that the successor named, and then only if a later record names it. This also covers a record
///   of its own of which it hears only later. The same holds once a server has named a higher
///   token, until a read of the log that started afterwards.
/// - The leases that an earlier granter reports when it steps down include those in flight, and the
///   reports that it received itself. Those of granters that it hasn't heard are left out, because
///   they are in the record's list and the successor asks them, too.
/// - Under a record with witnesses, a granter sends grants until `readAuthority` after the start of
///   its last read, or while a majority of the witnesses has confirmed within
///   `confirmationDuration`, and leases longer than `leaseDuration` only in the second case. While
///   an append with other terms is pending, the limits of both records apply. The terms change
///   only when no longer lease of this or an earlier granter is in force, because successors ask
///   the new witnesses only. For the same reason such a record is settled only when the leases of
///   earlier granters have ended, not just their authority.
/// - After the store came back from an older copy, nobody is granter before a record of the new
///   era. A granter within its authority writes its own record again: a successor that it doesn't
///   know of can't have changed owners yet. Anybody else's record has uncertain owners. Either
///   lists a granter without a name, as the record of another takeover may have been lost.
class LeaseManager
{
public:
    LeaseManager(core::InstanceId instance, std::string peerAddress, LeaseOptions leaseOptions);

    /// Processes the newest record of the log, or nothing if the log is empty. The read started at
    /// `readStart`; `end` is the position of the end of the log.
    void onLog(std::optional<Assignment> newest, std::uint64_t end, core::TimePoint readStart,
               core::TimePoint now);

    /// Reports that nothing was appended before the log read that started at `readStart`.
    void onLogUnchanged(core::TimePoint readStart, core::TimePoint now);

    /// Sets the time by which this process was suspended since its start. The times of calls below
    /// don't count it, so that waits for others' leases aren't cut short, and the own authority
    /// does. Starts of log reads and of confirmation requests include it.
    void setSuspendedTime(core::Duration total) { this->suspended = total; }

    /// Sets whether the election names this instance as granter.
    void setElected(bool isElected) { this->elected = isElected; }

    /// Sets the servers that may own keys.
    void setServers(std::vector<Candidate> usable, core::TimePoint now);

    void onGrant(CommandId id, CommandResult result, core::TimePoint now);
    void onRelease(CommandId id, CommandResult result, std::string handover, core::TimePoint now);
    /// Ignores appends that are no longer pending, as a log read has already shown their outcome.
    void onAppend(CommandId id, AppendResult result, core::TimePoint now);

    /// Reports that an earlier granter sends no more grants, because it has stepped down or its
    /// process has ended. `leases` are those that it may have sent; nothing if it can't tell.
    void onPredecessorEnded(const StepDownRequest &request,
                            const std::optional<LeaseReport> &leases, core::TimePoint now);

    /// Returns the earlier granters to ask to step down, which shortens the wait for their leases.
    std::vector<StepDownRequest> predecessors(core::TimePoint now) const;

    /// Stops granting under records before `successorEnd`, on request of a successor. Returns the
    /// leases that may still be in force at their owners.
    LeaseReport stepDown(std::uint64_t successorEnd, core::TimePoint now);

    /// Takes over from `granter`, which asks for it because it has lost the store, regardless of
    /// the election. False if `granter` isn't the granter as far as is known here.
    bool requestTakeover(const core::InstanceId &granter, core::TimePoint now);

    /// Sets the witnesses to name in this instance's records, other instances only. If there are
    /// none, a takeover keeps those of the record that it replaces.
    void setWitnesses(std::vector<Witness> proposed);

    /// True if a majority of the witnesses confirms this granter's authority.
    bool isConfirmed(core::TimePoint now) const;

    /// Returns the witnesses to ask for confirmation now. Empty while the log responds.
    std::vector<ConfirmationRequest> dueConfirmations(core::TimePoint now);

    /// Reports that the witness has confirmed. Other answers count as none.
    void onConfirmed(const ConfirmationRequest &request);

    /// Returns the witnesses of earlier granters to ask for their agreement.
    std::vector<AgreementRequest> awaitedAgreements(core::TimePoint now) const;

    /// Reports that a witness has agreed (`EarlierGranters::onAgreement`).
    void onAgreement(const AgreementRequest &request, const WitnessAgreement &agreement,
                     core::TimePoint now);

    /// Returns the commands to execute now. `load` determines the placement.
    std::vector<Command> tick(core::TimePoint now, const KeyLoad &load);

    /// Returns the ranges freed since the last call, for the log.
    std::vector<FreedKeys> takeFreedKeys();

    /// True if this instance may send grants.
    bool mayGrant(core::TimePoint now) const;

    /// True if this instance is the granter within its authority. It may still have to wait for
    /// the leases of earlier granters before it grants.
    bool hasAuthority(core::TimePoint now) const;

    /// True if the newest record names this instance.
    bool isGranter() const;

    /// True if the log must be read before further decisions.
    bool needsLogRead() const { return this->logReadRequired; }

    const std::optional<Assignment> &assignment() const { return this->newestRecord; }
    std::uint64_t logEnd() const { return this->end; }
    const std::vector<Candidate> &servers() const { return this->candidates; }
    void setUtilisation(double needed) { this->rebalancer.setUtilisation(needed); }
    const MoveCounts &moveCounts() const { return this->rebalancer.counts(); }

private:
    // Keys and the end of a lease on them.
    struct LeaseEnd
    {
        KeyRange keys;
        core::TimePoint end{};
    };

    // State of a key range. Ranges are split here first and in the next record afterwards.
    struct RangeState
    {
        OwnedRange ownedRange;            ///< Its fencing token may exceed the recorded one.
        bool confirmed = false;           ///< The owner accepted a grant under this token.
        bool grantOutcomeUnknown = false; ///< A grant under this token was not answered.
        bool inherited = false;           ///< Earlier granters may have sent leases.
        /// When the owner accepted a token of this instance; it has rejected lower ones since. Not
        /// set after a failed grant: the server may have restarted, and then knows no token.
        std::optional<core::TimePoint> fencedAt;
        core::TimePoint earlierLeaseEnd{}; ///< Latest end of the leases reported by predecessors.
        bool wasFenced = false;            ///< Refused for its token since the last success.
        unsigned failedGrants = 0;         ///< Consecutive grants that failed.
        unsigned fenceRaises = 0;          ///< Grants sent only to raise the owner's token.
        core::TimePoint leaseEnd{};        ///< Latest end of the leases sent by this instance.
        core::TimePoint priorLeaseEnd{};   ///< leaseEnd before the grant in flight.
        core::TimePoint lastGrantSent{};   ///< When the last grant was sent, with suspended time.
        core::TimePoint nextGrant{};       ///< When to renew or retry.
        core::TimePoint nextRelease{};     ///< When to retry the release.
        core::Duration pendingLease{};     ///< Lease duration of the grant in flight.
        CommandId pendingGrant = 0;        ///< Grant in flight, or 0. No range is freed by time.
        CommandId pendingRelease = 0;      ///< Release in flight, or 0.
        bool revoking = false;             ///< The range is being taken from its owner.
        bool unowned = false;              ///< No server holds a lease any more.
        std::optional<ServerIncarnation> nextOwner;
    };

    void loadRecord(const Assignment &assignment, bool inherited);
    void appendTakeover(core::TimePoint now, std::vector<Command> &commands);
    Assignment laterBase(std::optional<Assignment> stored) const;
    Predecessor unnamedGranter(bool withTerms) const;
    bool mayMissRecords() const;
    void appendSettled(std::vector<Command> &commands);
    void startAppend(Assignment assignment, std::vector<Command> &commands);
    void appendInitial(core::TimePoint now, std::vector<Command> &commands);
    void startRevocations(core::TimePoint now);
    std::vector<Candidate> eligibleCandidates(core::TimePoint now) const;
    core::TimePoint leaseEndAfter(core::TimePoint sent, core::Duration lease) const;
    void rebalance(core::TimePoint now, const KeyLoad &load);
    void startMove(const Move &move);
    void mergeRanges(core::TimePoint now);
    void updateRange(RangeState &range, core::TimePoint now, std::vector<Command> &commands);
    void revokeRange(RangeState &range, core::TimePoint now, std::vector<Command> &commands);
    void sendGrant(RangeState &range, core::TimePoint now, std::vector<Command> &commands);
    void appendNewOwners(core::TimePoint now, const KeyLoad &load, std::vector<Command> &commands);
    void freeRange(RangeState &range, FreeReason reason, core::TimePoint now);
    bool raiseFence(RangeState &range) const;
    core::TimePoint latestLeaseEnd(const RangeState &range) const;
    core::TimePoint latestLeaseEndAt(const std::vector<RangeState> &known,
                                     const OwnedRange &ownedRange) const;
    core::TimePoint unreportedLeaseEnd(const RangeState &range, const SendLimit &limit) const;
    std::vector<const std::optional<AuthorityTerms> *> applicableTerms() const;
    core::TimePoint confirmedUntil(const AuthorityTerms &terms) const;
    core::TimePoint authorityEnd() const;
    bool maySendOutageLease(core::TimePoint now) const;
    bool earlierMayGrant(core::TimePoint now) const;
    bool earlierLeasesEnded(core::TimePoint now) const;
    bool earlierSettled(core::TimePoint now) const;
    std::vector<Witness> witnessesForTakeover() const;
    std::optional<AuthorityTerms> termsWith(std::vector<Witness> witnesses) const;
    std::optional<AuthorityTerms> nextTerms(core::TimePoint now) const;
    void appendTerms(core::TimePoint now, std::vector<Command> &commands);
    bool mayTakeOver(core::TimePoint now) const;
    std::vector<LeaseEnd> leaseEnds(core::TimePoint now) const;
    static LeaseReport toReport(const std::vector<LeaseEnd> &leases, core::TimePoint now);
    void addReport(const std::optional<LeaseReport> &leases, core::TimePoint now);
    std::uint64_t fenceOfNextRecord() const;
    std::vector<OwnedRange> ownedRanges() const;

    const core::InstanceId self;
    const std::string ownPeerAddress;
    const LeaseOptions options;

    std::optional<Assignment> newestRecord;
    std::uint64_t end = 0;
    bool logWasRead = false;
    bool logReadRequired = true;
    bool elected = false;
    bool hadEarlierRecord = false;    ///< Another instance or process may have been granter before.
    std::uint64_t grantFloor = 0;     ///< No grants until the log has been read up to here.
    core::TimePoint fencedNoticeAt{}; ///< When a server last named a higher token.
    EarlierGranters earlierGranters;
    std::uint64_t firstEnd = 0;         ///< End of the log when this instance became granter.
    core::TimePoint becameGranter{};    ///< When it became granter.
    std::vector<LeaseEnd> formerLeases; ///< Leases sent by this instance in its last term.
    std::optional<core::InstanceId> takeoverFrom; ///< The granter that asked for a takeover.
    core::TimePoint takeoverUntil{};              ///< Until when its request is followed.
    /// Until when the own record may be written again in a new era of the store: its owners are
    /// certain, as a successor would have waited for that authority before it changed them.
    core::TimePoint resumeUntil{};
    core::TimePoint granterSince{}; ///< When the current granter was first seen.
    core::TimePoint nextAppend{};
    core::TimePoint authorityReadStart{}; ///< Latest proof that there was no successor.
    std::vector<Witness> proposedWitnesses;
    Confirmations confirmations; ///< Of the current term.
    core::TimePoint nextConfirmation{};
    core::TimePoint nextWitnessChange{};
    bool earlierPossible = false;       ///< Another granter may have sent leases before this term.
    core::TimePoint outageLeaseEnd{};   ///< Latest end of the longer leases sent here.
    core::TimePoint reportedLeaseEnd{}; ///< Latest end of the leases that were reported.
    core::TimePoint lastLogReadStart{}; ///< Start of the last successful log read.
    core::TimePoint lastLogResponse{};  ///< When the log last responded.
    std::optional<AppendCommand> pendingAppend; ///< An append with unknown outcome.
    core::TimePoint appendStart{};              ///< When it was sent first.
    core::TimePoint tickTime{};
    core::Duration suspended{}; ///< Added to a time, gives the time by which authority counts.
    bool pendingAppendSent = false;
    bool pendingAppendMayApply = false; ///< A copy sent earlier may still be appended.
    std::vector<Candidate> candidates;
    core::TimePoint candidatesSince{};  ///< When the first one was seen.
    core::TimePoint candidateAddedAt{}; ///< When their number last grew.
    std::vector<RangeState> ranges; ///< Invariant: sorted, disjoint; covers all keys while granter.
    /// Servers that get no further keys, and until when.
    std::map<ServerIncarnation, core::TimePoint> excludedUntil;
    std::vector<FreedKeys> freedKeys; ///< Not taken yet.
    CommandId lastCommandId = 0;
    Rebalancer rebalancer;
    core::TimePoint nextRebalance{};
    core::TimePoint lastFullyOwned{}; ///< Last time at which every range had an owner.
};

} // namespace amaranthdale::keyspace
