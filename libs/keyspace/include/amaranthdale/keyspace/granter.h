// Decides who grants keys to backend servers, and when a range may change its owner.
#pragma once

#include "amaranthdale/keyspace/assignment.h"
#include "amaranthdale/keyspace/key_load.h"
#include "amaranthdale/keyspace/placement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace amaranthdale::keyspace {

/// Identifies an order until its result is known.
using OrderId = std::uint64_t;

/// Grant, or renew the grant of, `holding` to its owner.
struct GrantOrder
{
    OrderId id = 0;
    Holding holding;
    core::Duration hold{}; ///< Counted by the owner from the arrival of the call.
};

/// Take `keys` back from `owner`.
struct ReleaseOrder
{
    OrderId id = 0;
    ServerRun owner;
    KeyRange keys;
    std::uint64_t fence = 0;
};

/// Append `assignment`, provided that the log still ends at `expectedEnd`.
struct AppendOrder
{
    OrderId id = 0;
    std::uint64_t expectedEnd = 0;
    Assignment assignment;
};

using Order = std::variant<GrantOrder, ReleaseOrder, AppendOrder>;

/// How a grant or release ended.
enum class OrderResult {
    Done,
    Fenced,   ///< The server has seen a higher fence.
    Gone,     ///< Another server has the address, so the owner has ended.
    NotSent,  ///< The server can't have received the call.
    NoAnswer, ///< The call may be carried out, also later.
};

/// How an append ended.
enum class AppendResult {
    Done,
    Conflict, ///< The log has grown; nothing was appended.
    Unknown,  ///< It may have been appended, or may be yet while its condition holds.
    Refused,  ///< Nothing was done.
};

/// A granter that was replaced.
struct Predecessor
{
    core::InstanceId instance;
    std::string peer;
};

/// Times of grants. Defaults suit stores that answer within milliseconds.
struct GranterLimits
{
    /// Hold of a grant. A dead server's keys are unavailable for about this long.
    core::Duration hold = std::chrono::milliseconds(3000);
    /// Hold while the store is away and no other instance could take over.
    core::Duration longHold = std::chrono::seconds(5);
    core::Duration renewal = std::chrono::milliseconds(900);
    /// An unanswered grant is repeated after this.
    core::Duration repeat = std::chrono::milliseconds(100);
    /// The granter stops renewing this long after it last saw that no other has taken over; a
    /// successor waits it out. Covers store outages up to this length.
    core::Duration authority = std::chrono::seconds(12);
    /// Longest way of a call to a server: calls are reset when unanswered for so long.
    core::Duration transit = std::chrono::milliseconds(600);
    /// A server's clock may run this much slow (registry's specification: 2%).
    double clockDrift = 0.02;
    core::Duration rebalance = std::chrono::milliseconds(500);
    /// Longest wait for further vacant ranges before a record names new owners.
    core::Duration batch = std::chrono::milliseconds(80);
    /// Least time between two changes of granter: instances may disagree for a while about who is
    /// elected, and each change makes the keys of lost servers wait again.
    core::Duration takeoverPause = std::chrono::milliseconds(2500);
    /// Pause after an append that was not carried out.
    core::Duration appendRepeat = std::chrono::milliseconds(300);
    /// Wait for further servers before the first assignment.
    core::Duration settle = std::chrono::milliseconds(1500);
    PlacementLimits placement;
};

/// State machine of one keyed service at one instance. Every instance runs one; the one that the
/// newest record names is the granter. No I/O; not thread-safe. Rules that keep owners apart:
///
/// - Only a conditional append makes an instance the granter or changes an owner, so changes are
///   totally ordered. Fences derive from the offset of the record and rise with it.
/// - Keys leave a server when it has released them under a fence that lies above every grant whose
///   outcome is open, when another server has taken over its address, or when the hold of the last
///   grant that anyone may have sent has run out. A server that has restarted under its name is no
///   exception: its new run may have taken renewals that were meant for the old one.
/// - A granter sends nothing later than `authority` after it last saw the log without a successor;
///   a successor counts renewals by earlier granters as possible until then, unless the server
///   has answered it under its own fence or the granter has stepped down. A record says whether
///   earlier granters than its own may still send (`settled`).
class Granter
{
public:
    Granter(core::InstanceId instance, std::string peerAddress, GranterLimits granterLimits);

    /// The newest record, read with a call that began at `readBegan`; `end` is the log's end.
    /// Nothing when the log holds none.
    void onLog(std::optional<Assignment> newest, std::uint64_t end, core::TimePoint readBegan,
               core::TimePoint now);

    /// The log answered that nothing was added before the read that began at `readBegan`.
    void onLogUnchanged(core::TimePoint readBegan, core::TimePoint now);

    /// Whether the membership names this instance to be the granter.
    void setElected(bool isElected) { this->elected = isElected; }

    /// Servers that may own keys.
    void setServers(std::vector<Candidate> usable, core::TimePoint now);

    void onGrant(OrderId id, OrderResult result, core::TimePoint now);
    void onRelease(OrderId id, OrderResult result, std::string handover, core::TimePoint now);
    /// Results of appends that are no longer pending are ignored: the log has told their outcome.
    void onAppend(OrderId id, AppendResult result, core::TimePoint now);

    /// The granter that this instance replaced sends no more grants: it has stepped down, or its
    /// process has ended.
    void onPredecessorEnded(core::TimePoint now);

    /// The granter to ask to step down, where that shortens waits.
    std::optional<Predecessor> predecessor() const;

    /// Stops granting until the log names this instance anew. For a request of a successor, which
    /// has replaced the record that named this instance.
    void stepDown();

    /// What is to be done now. `load` steers placement.
    std::vector<Order> tick(core::TimePoint now, const KeyLoad &load);

    /// True when this instance may grant.
    bool mayGrant(core::TimePoint now) const;

    /// True when the newest record names this instance.
    bool isGranter() const;

    /// True when the log has to be read before anything else can be decided.
    bool needsLog() const { return this->stale; }

    const std::optional<Assignment> &assignment() const { return this->newest; }
    std::uint64_t logEnd() const { return this->end; }

private:
    // A range as the granter works on it. Ranges are split here first, then in the record.
    struct Range
    {
        Holding holding;               ///< The fence may lie above the recorded one.
        bool confirmed = false;        ///< The owner answered a grant under this fence.
        bool doubtful = false;         ///< A grant under this fence went unanswered.
        bool inherited = false;        ///< Earlier granters may still renew it at the owner.
        unsigned failures = 0;         ///< Grants in a row that were not answered.
        unsigned raises = 0;           ///< Grants sent only to raise the owner's fence.
        core::TimePoint heldUntil{};   ///< End of the last grant of this instance that may count.
        core::TimePoint heldBefore{};  ///< heldUntil before the grant in flight.
        core::TimePoint lastSent{};    ///< When a grant was sent last.
        core::TimePoint nextGrant{};   ///< When to renew or repeat.
        core::TimePoint nextRelease{}; ///< When to repeat a release.
        OrderId grant = 0;             ///< In flight; 0: none.
        OrderId release = 0;           ///< In flight; 0: none.
        bool vacating = false;         ///< Is to leave its owner.
        bool vacant = false;           ///< Nobody holds it any more.
        std::optional<ServerRun> target;
    };

    void adopt(const Assignment &assignment, bool inherited);
    void appendTakeover(std::vector<Order> &orders);
    void settle(std::vector<Order> &orders);
    void propose(Assignment assignment, std::vector<Order> &orders);
    void appendFirst(core::TimePoint now, std::vector<Order> &orders);
    void markVacating(core::TimePoint now);
    std::vector<Candidate> answeringCandidates(core::TimePoint now) const;
    core::TimePoint holdEndAfter(core::TimePoint sent, core::Duration hold) const;
    void rebalance(core::TimePoint now, const KeyLoad &load);
    void startMove(const Move &move);
    void advance(Range &range, core::TimePoint now, std::vector<Order> &orders);
    void advanceVacating(Range &range, core::TimePoint now, std::vector<Order> &orders);
    void sendGrant(Range &range, core::TimePoint now, std::vector<Order> &orders);
    void appendOwners(core::TimePoint now, const KeyLoad &load, std::vector<Order> &orders);
    bool raiseFence(Range &range) const;
    core::TimePoint holdEnd(const Range &range) const;
    std::uint64_t fenceOfNextRecord() const;
    std::vector<Holding> holdings() const;

    const core::InstanceId self;
    const std::string peer;
    const GranterLimits limits;

    std::optional<Assignment> newest;
    std::uint64_t end = 0;
    bool logKnown = false;
    bool stale = true; ///< The log has to be read again.
    bool elected = false;
    bool takenOver = false; ///< Another instance, or an earlier run, was the granter before.
    bool steppedDown = false;
    std::optional<Assignment> replaced; ///< The record that this instance's first one replaced.
    core::TimePoint inheritedUntil{};   ///< Earlier granters may send grants until then.
    core::TimePoint granterSince{};     ///< When the newest granter was first seen.
    core::TimePoint nextAppend{};
    core::TimePoint authorityUntil{};
    core::TimePoint lastLogAnswer{};    ///< Start of the last read that was answered.
    core::TimePoint lastLogHeard{};     ///< When the log answered last.
    std::optional<AppendOrder> pending; ///< An append whose outcome is open.
    bool pendingSent = false;
    bool pendingDoubtful = false; ///< A copy of it may be appended late.
    std::vector<Candidate> candidates;
    core::TimePoint candidatesSince{};
    std::vector<Range> ranges; ///< Invariant: sorted, disjoint; covers every key while granter.
    std::map<ServerRun, core::TimePoint> silentUntil; ///< Servers that get no keys for now.
    OrderId lastOrder = 0;
    core::TimePoint nextRebalance{};
    core::TimePoint vacantSince{}; ///< Last time without a vacant range.
};

} // namespace amaranthdale::keyspace
