// Decides which backend servers an instance controls and which slots it grants to them.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/authority_policy.h"
#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/decisions/ownership_messages.h"
#include "amaranthdale/decisions/placement.h"

#include <memory>
#include <optional>
#include <vector>

namespace amaranthdale::decisions {

/// Settings of the engine of one instance.
struct OwnershipSettings
{
    InstanceView self;
    std::uint64_t seed = 0; ///< Seeds the jitter of proposals.
    OwnershipTimings timings;
};

/// Implements the ownership protocol (section 3.2 of the design page) for one instance, without
/// I/O. Callers report events with the current time. After each event they must take the resulting
/// actions with `takeActions` and either execute them at once or drop them. Not thread-safe;
/// callers keep it in the ownership table.
class OwnershipEngine
{
public:
    OwnershipEngine(OwnershipSettings settings, std::unique_ptr<AuthorityPolicy> policy,
                    std::unique_ptr<Placement> placement, core::TimePoint now);
    ~OwnershipEngine();

    /// Reports that replay applied or dropped a record proposed by this instance. Must precede the
    /// `replayed` call for the same batch, with no `takeActions` call in between.
    void ownRecordApplied(const RecordId &id, core::LogOffset offset, const ApplyResult &applied,
                          core::TimePoint now);

    /// Reports the state after replay of one or more records.
    void replayed(std::shared_ptr<const ClusterState> state, core::TimePoint now);

    /// Reports that a log read started at `began` reached the tail and that its records have been
    /// replayed.
    void logRead(core::TimePoint began, core::TimePoint now);

    void appendAcknowledged(const RecordId &id, core::LogOffset offset, core::TimePoint now);
    /// Reports that the record was certainly not appended.
    void appendFailed(const RecordId &id, core::TimePoint now);
    /// Reports an append with unknown outcome: the record may be on the log or appear there later.
    void appendOutcomeUnknown(const RecordId &id, core::TimePoint now);

    /// Returns the reply to the sender, with the promises that this instance makes.
    HeartbeatReply heartbeatReceived(const Heartbeat &heartbeat, core::TimePoint now);

    void heartbeatReplyReceived(const HeartbeatReply &reply, core::TimePoint sentAt,
                                core::TimePoint now);
    void serverReplyReceived(const ServerReply &answer, core::TimePoint now);
    void instancesListed(const std::vector<InstanceView> &instances, core::TimePoint now);

    /// Reports that no request is in flight for the slots of the server's last `PauseAdmission`, or
    /// that its deadline passed.
    void slotsIdle(const core::ServerName &server, core::TimePoint now);

    /// Reports a key that receives the given share (0 to 1) of the server's requests.
    void hotKeySeen(const core::ServerName &server, const std::string &key, double share,
                    core::TimePoint now);

    /// Runs decisions that depend on time alone. Must be called no later than `nextWakeup()`.
    void tick(core::TimePoint now);
    core::TimePoint nextWakeup() const;

    /// Starts the planned shutdown: hands over every controlled server to another instance.
    void leave(core::TimePoint now);

    /// True once this instance is leaving, controls no server and has no controller change pending.
    bool hasLeft() const;

    std::vector<OwnershipAction> takeActions();

    /// Fence to attach to a request to the server, or nothing if this instance may not send one
    /// now. Must be checked at the moment of sending.
    std::optional<core::Fence> fenceForServer(const core::ServerName &server,
                                              core::TimePoint now) const;

    /// Same for a request to a slot or hot key, which must be granted and not about to move.
    std::optional<core::Fence> fenceForSlot(const core::ServerName &server, core::SlotIndex slot,
                                            core::TimePoint now) const;
    std::optional<core::Fence> fenceForHotKey(const core::ServerName &server,
                                              const std::string &key, core::TimePoint now) const;

    /// All slots for which `fenceForSlot` returns a fence now.
    std::vector<core::SlotIndex> grantedSlots(const core::ServerName &server,
                                              core::TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace amaranthdale::decisions
