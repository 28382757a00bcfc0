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

OwnershipEngine::State::State(OwnershipSettings given, std::unique_ptr<AuthorityPolicy> rule,
                              std::unique_ptr<Placement> chooser, core::TimePoint now)
    : settings(std::move(given)), policy(std::move(rule)), placement(std::move(chooser)),
      proposer(this->settings.self.id, this->settings.seed),
      detector(this->settings.self, this->settings.timings, now),
      proposals(this->settings.self.id, this->settings.timings.resend),
      cluster(std::make_shared<ClusterState>()), lastSeen(now), nextHeartbeat(now)
{ }

// After a stall of this process, its knowledge of other processes is out of date, and their silence
// proves nothing.
void OwnershipEngine::State::enter(core::TimePoint now)
{
    if (now - this->lastSeen > this->settings.timings.promise) {
        this->logReadBegan.reset();
        this->logReadAt.reset();
        this->promisesHeld.clear();
        this->detector.restartSilence(now);
        this->refreshAuthority();
    }
    this->lastSeen = std::max(this->lastSeen, now);
}

void OwnershipEngine::State::poll(core::TimePoint now)
{
    this->refreshAuthority();
    this->pollMoves(now);
    this->pollGrants(now);
    this->sendHeartbeats(now);
    if (now >= this->nextProposals) {
        this->nextProposals = now + proposalInterval;
        this->pollProposals(now);
    }
    this->proposals.poll(now, this->actions);
    // A controller change proposed just now must limit the authority before its append is sent.
    this->refreshAuthority();
}

// Gives no promise for a server while a controller change that this instance proposed earlier may
// still take effect.
HeartbeatReply OwnershipEngine::State::replyTo(const Heartbeat &heartbeat, core::TimePoint now)
{
    HeartbeatReply reply;
    reply.from = this->self();
    const OwnershipTimings &timings = this->settings.timings;
    for (const ServerEpoch &asked : heartbeat.requested) {
        const ServerState *server = this->cluster->findServer(asked.server);
        const core::Epoch epoch =
                server && server->controller ? server->controller->epoch : core::Epoch();
        if (epoch > asked.epoch) {
            reply.newer.push_back({asked.server, epoch});
            continue;
        }
        if (this->proposals.controllerChangeOpen(asked.server, asked.epoch))
            continue;
        this->promisesGiven[asked.server] = now + timings.promise + timings.drift;
        reply.given.push_back(asked);
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
                                       const Applied &applied, core::TimePoint now)
{
    this->state->enter(now);
    if (const std::optional<LogRecord> record = this->state->proposals.applied(id, applied))
        this->state->noteOwnRecord(*record, offset, applied);
}

void OwnershipEngine::replayed(std::shared_ptr<const ClusterState> cluster, core::TimePoint now)
{
    this->state->enter(now);
    this->state->replay(std::move(cluster), now);
    this->state->poll(now);
}

void OwnershipEngine::logRead(core::TimePoint began, core::TimePoint now)
{
    this->state->enter(now);
    std::optional<core::TimePoint> &newest = this->state->logReadBegan;
    newest = newest ? std::max(*newest, began) : began;
    this->state->logReadAt = now;
    this->state->poll(now);
}

void OwnershipEngine::appendAnswered(const RecordId &id, core::LogOffset offset,
                                     core::TimePoint now)
{
    this->state->enter(now);
    this->state->proposals.answered(id, offset);
    this->state->poll(now);
}

void OwnershipEngine::appendFailed(const RecordId &id, core::TimePoint now)
{
    this->state->enter(now);
    this->state->proposals.failed(id);
    this->state->poll(now);
}

void OwnershipEngine::appendOpen(const RecordId &id, core::TimePoint now)
{
    this->state->enter(now);
    this->state->proposals.outcomeOpen(id, now);
    this->state->poll(now);
}

HeartbeatReply OwnershipEngine::heartbeatReceived(const Heartbeat &heartbeat, core::TimePoint now)
{
    State &own = *this->state;
    own.enter(now);
    own.detector.heartbeatFrom(heartbeat.from, now);
    own.reports[heartbeat.from.id] =
            PeerReport{now, {heartbeat.reachable.begin(), heartbeat.reachable.end()}};
    HeartbeatReply reply = own.replyTo(heartbeat, now);
    own.poll(now);
    return reply;
}

void OwnershipEngine::heartbeatAnswered(const HeartbeatReply &reply, core::TimePoint sentAt,
                                        core::TimePoint now)
{
    State &own = *this->state;
    own.enter(now);
    own.detector.heard(reply.from, now);
    const core::TimePoint until = sentAt + own.settings.timings.promise;
    for (const ServerEpoch &given : reply.given) {
        const auto control = own.controls.find(given.server);
        // A reply to a request of an earlier epoch doesn't cover the successors of the current one.
        if (control == own.controls.end() || control->second.epoch() != given.epoch)
            continue;
        core::TimePoint &held = own.promisesHeld[given.server][reply.from];
        held = std::max(held, until);
    }
    for (const ServerEpoch &newer : reply.newer) {
        const auto control = own.controls.find(newer.server);
        if (control == own.controls.end() || control->second.epoch() >= newer.epoch)
            continue;
        control->second.supersede();
        own.actions.emplace_back(StopServer{newer.server});
    }
    own.poll(now);
}

void OwnershipEngine::serverAnswered(const ServerAnswer &answer, core::TimePoint now)
{
    this->state->enter(now);
    const auto control = this->state->controls.find(answer.server);
    if (control != this->state->controls.end())
        control->second.answered(answer, now, this->state->actions);
    this->state->poll(now);
}

void OwnershipEngine::instancesListed(const std::vector<InstanceView> &instances,
                                      core::TimePoint now)
{
    this->state->enter(now);
    this->state->detector.listed(instances, now);
    this->state->poll(now);
}

void OwnershipEngine::slotsIdle(const core::ServerName &server, core::TimePoint now)
{
    this->state->enter(now);
    const auto move = this->state->moves.find(server);
    if (move != this->state->moves.end())
        move->second.idle = true;
    this->state->poll(now);
}

void OwnershipEngine::hotKeySeen(const core::ServerName &server, const std::string &key,
                                 double share, core::TimePoint now)
{
    this->state->enter(now);
    this->state->hotKeys[server] = HotKey{key, share};
}

void OwnershipEngine::tick(core::TimePoint now)
{
    this->state->enter(now);
    this->state->poll(now);
}

core::TimePoint OwnershipEngine::nextWakeup() const
{
    return this->state->lastSeen + tickInterval;
}

void OwnershipEngine::leave(core::TimePoint now)
{
    this->state->enter(now);
    this->state->settings.self.leaving = true;
    this->state->detector.leave();
    this->state->nextHeartbeat = now;
    this->state->poll(now);
}

bool OwnershipEngine::hasLeft() const
{
    return this->state->settings.self.leaving && this->state->controls.empty()
            && !this->state->proposals.anyControllerChangeOpen();
}

std::vector<OwnershipAction> OwnershipEngine::takeActions()
{
    return std::exchange(this->state->actions, {});
}

std::optional<core::Fence> OwnershipEngine::mayServe(const core::ServerName &server,
                                                     core::TimePoint now) const
{
    const auto control = this->state->controls.find(server);
    const bool stalled = now - this->state->lastSeen > this->state->settings.timings.promise;
    if (control == this->state->controls.end() || stalled)
        return std::nullopt;
    return control->second.hasAuthority(now) ? control->second.fence(now) : std::nullopt;
}

std::optional<core::Fence> OwnershipEngine::mayServeSlot(const core::ServerName &server,
                                                         core::SlotIndex slot,
                                                         core::TimePoint now) const
{
    const std::optional<core::Fence> fence = this->mayServe(server, now);
    const bool open = fence && this->state->controls.at(server).isGranted(slot)
            && this->state->isOpen(server, slot);
    return open ? fence : std::nullopt;
}

std::optional<core::Fence> OwnershipEngine::mayServeHotKey(const core::ServerName &server,
                                                           const std::string &key,
                                                           core::TimePoint now) const
{
    const std::optional<core::Fence> fence = this->mayServe(server, now);
    const bool open = fence && this->state->controls.at(server).isGranted(key)
            && this->state->isOpen(server, key);
    return open ? fence : std::nullopt;
}

std::vector<core::SlotIndex> OwnershipEngine::grantedSlots(const core::ServerName &server,
                                                           core::TimePoint now) const
{
    std::vector<core::SlotIndex> result;
    if (!this->mayServe(server, now))
        return result;
    for (core::SlotIndex slot : this->state->controls.at(server).grantedSlots()) {
        if (this->state->isOpen(server, slot))
            result.push_back(slot);
    }
    return result;
}

} // namespace amaranthdale::decisions
