// Decides for one instance which backend servers it controls and which slots they are granted.
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

/// What distinguishes the engine of one instance from that of another.
struct OwnershipSettings
{
    InstanceView self;
    std::uint64_t seed = 0; ///< Of the jitter of proposals.
    OwnershipTimings timings;
};

/// The rules of section 3.2 for one instance. Facts go in with the current time; the actions that
/// follow from them are taken with `takeActions` after each fact and must be carried out at once,
/// or dropped. Not thread-safe: it stands in the ownership table.
class OwnershipEngine
{
public:
    OwnershipEngine(OwnershipSettings settings, std::unique_ptr<AuthorityPolicy> policy,
                    std::unique_ptr<Placement> placement, core::TimePoint now);
    ~OwnershipEngine();

    /// The fate of a record of this instance, met on replay. Comes before `replayed` of its batch,
    /// in the same step: no action may be taken in between.
    void ownRecordApplied(const RecordId &id, core::LogOffset offset, const Applied &applied,
                          core::TimePoint now);

    /// The state after replay of one record or more.
    void replayed(std::shared_ptr<const ClusterState> state, core::TimePoint now);

    /// A read that was begun at `began` reached the tail, and all that it returned is replayed.
    void logRead(core::TimePoint began, core::TimePoint now);

    void appendAnswered(const RecordId &id, core::LogOffset offset, core::TimePoint now);
    void appendFailed(const RecordId &id, core::TimePoint now); ///< Certainly not appended.
    void appendOpen(const RecordId &id, core::TimePoint now);   ///< May take effect, even later.

    /// Returns the promises that this instance gives to the sender.
    HeartbeatReply heartbeatReceived(const Heartbeat &heartbeat, core::TimePoint now);

    void heartbeatAnswered(const HeartbeatReply &reply, core::TimePoint sentAt,
                           core::TimePoint now);
    void serverAnswered(const ServerAnswer &answer, core::TimePoint now);
    void instancesListed(const std::vector<InstanceView> &instances, core::TimePoint now);

    /// No request is in flight for the slots that the last `StopAdmitting` of the server named, or
    /// its deadline passed.
    void slotsIdle(const core::ServerName &server, core::TimePoint now);

    /// A key of a server that receives the given share (0 to 1) of the server's requests.
    void hotKeySeen(const core::ServerName &server, const std::string &key, double share,
                    core::TimePoint now);

    /// Runs what is due. To be called at `nextWakeup()` at the latest.
    void tick(core::TimePoint now);
    core::TimePoint nextWakeup() const;

    /// Begins the planned shutdown: hands every controlled server to a successor.
    void leave(core::TimePoint now);

    /// True when this instance left and controls nothing any more.
    bool hasLeft() const;

    std::vector<OwnershipAction> takeActions();

    /// The token to send a request to the server with, or nothing when this instance may not send
    /// one now. To be asked at the moment of sending.
    std::optional<core::Fence> mayServe(const core::ServerName &server, core::TimePoint now) const;

    /// As above, for a slot that must be granted and open for admission.
    std::optional<core::Fence> mayServeSlot(const core::ServerName &server, core::SlotIndex slot,
                                            core::TimePoint now) const;
    std::optional<core::Fence> mayServeHotKey(const core::ServerName &server,
                                              const std::string &key, core::TimePoint now) const;

    /// All slots for which `mayServeSlot` gives a token now.
    std::vector<core::SlotIndex> grantedSlots(const core::ServerName &server,
                                              core::TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace amaranthdale::decisions
