// Events reported to the engine, and promises between instances.
#include "amaranthdale/decisions/ownership_engine.h"

#include "ownership_state.h"

namespace amaranthdale::decisions {

namespace {

// Upper bound on the lateness of decisions that depend on time alone.
constexpr core::Duration tickInterval = std::chrono::milliseconds(20);

// Events arrive far more often than proposals become necessary, and looking for them is expensive.
constexpr core::Duration proposalInterval = std::chrono::milliseconds(10);

} // namespace

OwnershipEngine::State::State(OwnershipSettings initialSettings,
                              std::unique_ptr<AuthorityPolicy> authorityPolicy,
                              std::unique_ptr<Placement> placementPolicy, core::TimePoint now)
    : settings(std::move(initialSettings)), policy(std::move(authorityPolicy)),
      placement(std::move(placementPolicy)), proposer(this->settings.self.id, this->settings.seed),
      detector(this->settings.self, this->settings.timings, now),
      proposals(this->settings.self.id, this->settings.timings.appendRetryDelay),
      cluster(std::make_shared<ClusterState>()), lastEventAt(now), nextHeartbeat(now)
{ }

// After a stall of this process, its knowledge of other processes is out of date, and their silence
// proves nothing.
void OwnershipEngine::State::handleStall(core::TimePoint now)
{
    if (now - this->lastEventAt > this->settings.timings.promise) {
        this->logReadStartedAt.reset();
        this->logReadCompletedAt.reset();
        this->promisesReceived.clear();
        this->detector.restartSilenceTimers(now);
        this->refreshAuthority();
    }
    this->lastEventAt = std::max(this->lastEventAt, now);
}

void OwnershipEngine::State::update(core::TimePoint now)
{
    this->refreshAuthority();
    this->pollMoves(now);
    this->pollGrants(now);
    this->sendHeartbeats(now);
    if (now >= this->nextProposals) {
        this->nextProposals = now + proposalInterval;
        this->pollProposals(now);
    }
    this->proposals.emitDueAppends(now, this->actions);
    // A controller change proposed just now must limit the authority before its append is sent.
    this->refreshAuthority();
}

// Gives no promise for a server while a controller change that this instance proposed earlier may
// still take effect.
HeartbeatReply OwnershipEngine::State::makeHeartbeatReply(const Heartbeat &heartbeat,
                                                          core::TimePoint now)
{
    HeartbeatReply reply;
    reply.from = this->self();
    const OwnershipTimings &timings = this->settings.timings;
    for (const ServerEpoch &request : heartbeat.requested) {
        const ServerState *server = this->cluster->findServer(request.server);
        const core::Epoch epoch =
                server && server->controller ? server->controller->epoch : core::Epoch();
        if (epoch > request.epoch) {
            reply.newer.push_back({request.server, epoch});
            continue;
        }
        if (this->proposals.controllerChangePending(request.server, request.epoch))
            continue;
        this->promisesGiven[request.server] = now + timings.promise + timings.drift;
        reply.promised.push_back(request);
    }
    return reply;
}

OwnershipEngine::OwnershipEngine(OwnershipSettings settings,
                                 std::unique_ptr<AuthorityPolicy> policy,
                                 std::unique_ptr<Placement> placement, core::TimePoint now)
    : state(std::make_unique<State>(std::move(settings), std::move(policy), std::move(placement),
                                    now))
{ }

OwnershipEngine::~OwnershipEngine() = default;

void OwnershipEngine::ownRecordApplied(const RecordId &id, core::LogOffset offset,
                                       const ApplyResult &applied, core::TimePoint now)
{
    this->state->handleStall(now);
    if (const std::optional<LogRecord> record = this->state->proposals.recordApplied(id, applied))
        this->state->recordOwnRenewal(*record, offset, applied);
}

void OwnershipEngine::replayed(std::shared_ptr<const ClusterState> cluster, core::TimePoint now)
{
    this->state->handleStall(now);
    this->state->adoptClusterState(std::move(cluster), now);
    this->state->update(now);
}

void OwnershipEngine::logRead(core::TimePoint began, core::TimePoint now)
{
    this->state->handleStall(now);
    std::optional<core::TimePoint> &newest = this->state->logReadStartedAt;
    newest = newest ? std::max(*newest, began) : began;
    this->state->logReadCompletedAt = now;
    this->state->update(now);
}

void OwnershipEngine::appendAcknowledged(const RecordId &id, core::LogOffset offset,
                                         core::TimePoint now)
{
    this->state->handleStall(now);
    this->state->proposals.appendAcknowledged(id, offset);
    this->state->update(now);
}

void OwnershipEngine::appendFailed(const RecordId &id, core::TimePoint now)
{
    this->state->handleStall(now);
    this->state->proposals.appendFailed(id);
    this->state->update(now);
}

void OwnershipEngine::appendOutcomeUnknown(const RecordId &id, core::TimePoint now)
{
    this->state->handleStall(now);
    this->state->proposals.appendOutcomeUnknown(id, now);
    this->state->update(now);
}

HeartbeatReply OwnershipEngine::heartbeatReceived(const Heartbeat &heartbeat, core::TimePoint now)
{
    State &engineState = *this->state;
    engineState.handleStall(now);
    engineState.detector.recordHeartbeat(heartbeat.from, now);
    engineState.peerReports[heartbeat.from.id] =
            PeerReport{now, {heartbeat.reachable.begin(), heartbeat.reachable.end()}};
    HeartbeatReply reply = engineState.makeHeartbeatReply(heartbeat, now);
    engineState.update(now);
    return reply;
}

void OwnershipEngine::heartbeatReplyReceived(const HeartbeatReply &reply, core::TimePoint sentAt,
                                             core::TimePoint now)
{
    State &engineState = *this->state;
    engineState.handleStall(now);
    engineState.detector.recordMessage(reply.from, now);
    const core::TimePoint until = sentAt + engineState.settings.timings.promise;
    for (const ServerEpoch &given : reply.promised) {
        const auto control = engineState.controls.find(given.server);
        // A reply to a request of an earlier epoch doesn't cover the successors of the current one.
        if (control == engineState.controls.end() || control->second.epoch() != given.epoch)
            continue;
        core::TimePoint &held = engineState.promisesReceived[given.server][reply.from];
        held = std::max(held, until);
    }
    for (const ServerEpoch &newer : reply.newer) {
        const auto control = engineState.controls.find(newer.server);
        if (control == engineState.controls.end() || control->second.epoch() >= newer.epoch)
            continue;
        control->second.supersede();
        engineState.actions.emplace_back(RelinquishServer{newer.server});
    }
    engineState.update(now);
}

void OwnershipEngine::serverReplyReceived(const ServerReply &answer, core::TimePoint now)
{
    this->state->handleStall(now);
    const auto control = this->state->controls.find(answer.server);
    if (control != this->state->controls.end())
        control->second.answered(answer, now, this->state->actions);
    this->state->update(now);
}

void OwnershipEngine::instancesListed(const std::vector<InstanceView> &instances,
                                      core::TimePoint now)
{
    this->state->handleStall(now);
    this->state->detector.updateInstanceList(instances, now);
    this->state->update(now);
}

void OwnershipEngine::slotsIdle(const core::ServerName &server, core::TimePoint now)
{
    this->state->handleStall(now);
    const auto move = this->state->moves.find(server);
    if (move != this->state->moves.end())
        move->second.idle = true;
    this->state->update(now);
}

void OwnershipEngine::hotKeySeen(const core::ServerName &server, const std::string &key,
                                 double share, core::TimePoint now)
{
    this->state->handleStall(now);
    this->state->hotKeys[server] = HotKey{key, share};
}

void OwnershipEngine::tick(core::TimePoint now)
{
    this->state->handleStall(now);
    this->state->update(now);
}

core::TimePoint OwnershipEngine::nextWakeup() const
{
    return this->state->lastEventAt + tickInterval;
}

void OwnershipEngine::leave(core::TimePoint now)
{
    this->state->handleStall(now);
    this->state->settings.self.leaving = true;
    this->state->detector.markLeaving();
    this->state->nextHeartbeat = now;
    this->state->update(now);
}

bool OwnershipEngine::hasLeft() const
{
    return this->state->settings.self.leaving && this->state->controls.empty()
            && !this->state->proposals.anyControllerChangePending();
}

std::vector<OwnershipAction> OwnershipEngine::takeActions()
{
    return std::exchange(this->state->actions, {});
}

std::optional<core::Fence> OwnershipEngine::fenceForServer(const core::ServerName &server,
                                                           core::TimePoint now) const
{
    const auto control = this->state->controls.find(server);
    const bool stalled = now - this->state->lastEventAt > this->state->settings.timings.promise;
    if (control == this->state->controls.end() || stalled)
        return std::nullopt;
    return control->second.hasAuthority(now) ? control->second.fence(now) : std::nullopt;
}

std::optional<core::Fence> OwnershipEngine::fenceForSlot(const core::ServerName &server,
                                                         core::SlotIndex slot,
                                                         core::TimePoint now) const
{
    const std::optional<core::Fence> fence = this->fenceForServer(server, now);
    const bool open = fence && this->state->controls.at(server).isGranted(slot)
            && this->state->admits(server, slot);
    return open ? fence : std::nullopt;
}

std::optional<core::Fence> OwnershipEngine::fenceForHotKey(const core::ServerName &server,
                                                           const std::string &key,
                                                           core::TimePoint now) const
{
    const std::optional<core::Fence> fence = this->fenceForServer(server, now);
    const bool open = fence && this->state->controls.at(server).isGranted(key)
            && this->state->admits(server, key);
    return open ? fence : std::nullopt;
}

std::vector<core::SlotIndex> OwnershipEngine::grantedSlots(const core::ServerName &server,
                                                           core::TimePoint now) const
{
    std::vector<core::SlotIndex> result;
    if (!this->fenceForServer(server, now))
        return result;
    for (core::SlotIndex slot : this->state->controls.at(server).grantedSlots()) {
        if (this->state->admits(server, slot))
            result.push_back(slot);
    }
    return result;
}

} // namespace amaranthdale::decisions
