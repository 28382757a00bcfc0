// Changes that this instance proposes: controllers, successors, initial slot owners and snapshots.
#include "ownership_state.h"

#include <algorithm>

namespace amaranthdale::decisions {

namespace {

// Gives the first successor time to take over before the second one tries.
constexpr core::Duration takeoverDelayPerRank = std::chrono::milliseconds(150);

// Silence after which a successor is replaced. Longer than pauses that instances recover from.
constexpr core::Duration successorTimeout = std::chrono::milliseconds(600);

// Initial owners are assigned once all servers of the service answer, or after this time.
constexpr core::Duration initialAssignmentTimeout = std::chrono::seconds(1);

constexpr core::Duration controllerMoveInterval = std::chrono::seconds(2);

// A new instance replays this many records after a snapshot in a fraction of a second.
constexpr std::uint64_t recordsPerSnapshot = 512;

// Time within which the preferred proposer is expected to have written the snapshot.
constexpr core::Duration snapshotRetryInterval = std::chrono::seconds(10);

} // namespace

void OwnershipEngine::State::pollProposals(core::TimePoint now)
{
    if (this->logIsFresh(now) && this->detector.hasInstanceList()) {
        this->proposeTakeovers(now);
        this->replaceAbandonedControllers(now);
        this->replaceSuccessors(now);
        this->invalidateDroppedMoves(now);
        this->handOverServers(now);
        this->balanceControllers(now);
        this->assignControllers(now);
        this->assignSlots(now);
        this->requestSnapshot(now);
    }
}

// True once the delay of this instance for proposing a change of `entity` has passed. Callers ask
// only while the change is needed; a due time older than `successorTimeout` starts a new delay.
bool OwnershipEngine::State::isDue(const std::string &entity, core::TimePoint now)
{
    const auto found = this->proposalDueTimes.find(entity);
    if (found != this->proposalDueTimes.end() && now < found->second + successorTimeout)
        return now >= found->second;
    const core::TimePoint due =
            now + this->proposer.delayFor(entity, this->detector.usableInstances(now));
    this->proposalDueTimes[entity] = due;
    return now >= due;
}

void OwnershipEngine::State::proposeControllerChange(const ServerState &server,
                                                     const core::InstanceId &controller,
                                                     core::TimePoint now, bool abandoned)
{
    const std::vector<core::InstanceId> keep =
            server.controller ? server.controller->successors : std::vector<core::InstanceId>();
    ControllerRecord record;
    record.server = server.spec.name;
    record.controller = controller;
    record.successors =
            this->placement->chooseSuccessors(this->placementView(now), server, controller, keep);
    record.abandoned = abandoned;
    this->proposals.propose(std::move(record), this->cluster->offset());
}

void OwnershipEngine::State::proposeTakeovers(core::TimePoint now)
{
    for (const auto &[name, server] : this->cluster->servers()) {
        if (!server.controller || this->settings.self.leaving)
            continue;
        const std::vector<core::InstanceId> &named = server.controller->successors;
        const auto own = std::find(named.begin(), named.end(), this->self());
        if (own == named.end())
            continue;
        const core::Duration requiredSilence = this->settings.timings.suspectTimeout
                + takeoverDelayPerRank * static_cast<int>(own - named.begin());
        const auto promise = this->promisesGiven.find(name);
        const bool promised = promise != this->promisesGiven.end() && now < promise->second;
        const bool silent =
                this->detector.silenceDuration(server.controller->instance, now) >= requiredSilence;
        if (silent && !promised
            && !this->proposals.controllerChangePending(name, server.controller->epoch))
            this->proposeControllerChange(server, this->self(), now);
    }
}

void OwnershipEngine::State::replaceAbandonedControllers(core::TimePoint now)
{
    for (const auto &[name, server] : this->cluster->servers()) {
        if (!server.controller || this->settings.self.leaving
            || !this->detector.isGone(server.controller->instance, now))
            continue;
        const std::vector<core::InstanceId> &named = server.controller->successors;
        const bool allGone =
                std::all_of(named.begin(), named.end(), [&](const core::InstanceId &successor) {
                    return this->detector.isGone(successor, now);
                });
        const auto promise = this->promisesGiven.find(name);
        const bool promised = promise != this->promisesGiven.end() && now < promise->second;
        if (allGone && !promised
            && !this->proposals.controllerChangePending(name, server.controller->epoch)
            && this->isDue("abandoned/" + name.value, now))
            this->proposeControllerChange(server, this->self(), now, true);
    }
}

// A pending controller change suspends the authority by promises until it is replayed, so it is
// proposed only while the log is readable.
void OwnershipEngine::State::replaceSuccessors(core::TimePoint now)
{
    const std::vector<InstanceView> usable = this->detector.usableInstances(now);
    for (const auto &[name, control] : this->controls) {
        const ServerState &server = *this->cluster->findServer(name);
        const std::vector<core::InstanceId> &named = server.controller->successors;
        if (this->proposals.controllerChangePending(name, control.epoch()))
            continue;
        const bool anySilent = std::any_of(named.begin(), named.end(), [&](const auto &successor) {
            return this->detector.silenceDuration(successor, now) >= successorTimeout;
        });
        const bool anyLeaving = std::any_of(named.begin(), named.end(), [&](const auto &successor) {
            return this->detector.phaseOf(successor, now) == InstancePhase::Draining;
        });
        const bool tooFew = named.size() < 2;
        if (!anySilent && !anyLeaving && !tooFew)
            continue;
        const std::vector<core::InstanceId> replacements = this->placement->chooseSuccessors(
                this->placementView(now), server, this->self(), named);
        // Keeps a failed successor that can't be replaced: it may recover, and with fewer
        // successors there are fewer ways to recover from the loss of the controller.
        const bool improves = replacements.size() > named.size()
                || (replacements.size() == named.size() && replacements != named
                    && (anySilent || anyLeaving));
        if (improves && !this->settings.self.leaving)
            this->proposeControllerChange(server, this->self(), now);
    }
}

// A second copy of a dropped record may still be appended and take effect. A new epoch of the
// server prevents that.
void OwnershipEngine::State::invalidateDroppedMoves(core::TimePoint now)
{
    for (const core::ServerName &name : this->proposals.serversWithDroppedMoves()) {
        const auto control = this->controls.find(name);
        if (control != this->controls.end()
            && !this->proposals.controllerChangePending(name, control->second.epoch()))
            this->proposeControllerChange(*this->cluster->findServer(name), this->self(), now);
    }
}

void OwnershipEngine::State::handOverServers(core::TimePoint now)
{
    if (!this->settings.self.leaving)
        return;
    const std::vector<InstanceView> usable = this->detector.usableInstances(now);
    const auto isUsable = [&usable](const core::InstanceId &id) {
        return std::any_of(usable.begin(), usable.end(),
                           [&id](const InstanceView &each) { return each.id == id; });
    };
    for (const auto &[name, control] : this->controls) {
        const ServerState &server = *this->cluster->findServer(name);
        if (this->proposals.controllerChangePending(name, control.epoch()))
            continue;
        const std::vector<core::InstanceId> &named = server.controller->successors;
        const auto next = std::find_if(named.begin(), named.end(), isUsable);
        if (next != named.end())
            this->proposeControllerChange(server, *next, now);
        else if (!usable.empty())
            this->proposeControllerChange(server, usable.front().id, now);
    }
}

void OwnershipEngine::State::balanceControllers(core::TimePoint now)
{
    if (now < this->nextControllerMove || this->settings.self.leaving
        || this->proposals.anyControllerChangePending())
        return;
    this->nextControllerMove = now + controllerMoveInterval;
    const std::optional<ControllerRecord> move =
            this->placement->chooseControllerMove(this->placementView(now), this->self());
    if (move && this->controls.contains(move->server)
        && this->controls.at(move->server).predecessorExpired(now))
        this->proposals.propose(*move, this->cluster->offset());
}

void OwnershipEngine::State::assignControllers(core::TimePoint now)
{
    const bool missing =
            std::any_of(this->cluster->servers().begin(), this->cluster->servers().end(),
                        [](const auto &entry) { return !entry.second.controller.has_value(); });
    if (!missing || this->settings.self.leaving)
        return;
    for (ControllerRecord &record : this->placement->chooseControllers(this->placementView(now))) {
        if (!this->proposals.controllerChangePending(record.server, core::Epoch())
            && this->isDue("controller/" + record.server.value, now))
            this->proposals.propose(std::move(record), this->cluster->offset());
    }
}

void OwnershipEngine::State::assignSlots(core::TimePoint now)
{
    for (const auto &[name, service] : this->cluster->services()) {
        const bool missing =
                std::any_of(service.slots.begin(), service.slots.end(),
                            [](const SlotOwner &owner) { return owner.server.empty(); });
        if (!missing || this->proposals.initialAssignmentPending(name)
            || this->settings.self.leaving)
            continue;
        const PlacementView view = this->placementView(now);
        const std::string timeoutEntry = "patience/" + name.value;
        if (!this->proposalDueTimes.contains(timeoutEntry))
            this->proposalDueTimes[timeoutEntry] = now + initialAssignmentTimeout;
        const bool allReachable =
                std::none_of(service.document.servers.begin(), service.document.servers.end(),
                             [&](const BackendServer &server) {
                                 return this->cluster->acceptsSlots(server.name)
                                         && view.unreachable.contains(server.name);
                             });
        if (!allReachable && now < this->proposalDueTimes[timeoutEntry])
            continue;
        SlotRecord record;
        record.service = name;
        record.moves = this->placement->assignUnownedSlots(view, service);
        if (!record.moves.empty() && this->isDue("slots/" + name.value, now))
            this->proposals.propose(std::move(record), this->cluster->offset());
    }
}

void OwnershipEngine::State::requestSnapshot(core::TimePoint now)
{
    const core::LogOffset offset = this->cluster->offset();
    if (offset.value < this->cluster->snapshotOffset().value + recordsPerSnapshot)
        return;
    core::TimePoint &next = this->proposalDueTimes["snapshotRequested"];
    if (now < next || !this->isDue("snapshot", now))
        return;
    next = now + snapshotRetryInterval;
    this->actions.emplace_back(WriteSnapshot{offset});
}

} // namespace amaranthdale::decisions
