// Moves of slots away from servers that this instance controls.
#include "ownership_state.h"

#include <algorithm>

namespace amaranthdale::decisions {

namespace {

// Rate limit of rebalancing: per server, one batch of slots per interval.
constexpr std::size_t maxRebalanceSlots = 16;
constexpr core::Duration rebalanceInterval = std::chrono::milliseconds(250);

// The search for moves scans all slots of a service, and a short delay does no harm.
constexpr core::Duration moveSearchInterval = std::chrono::milliseconds(100);

// A draining server moves this many slots per batch, or a quarter of its slots if that is more. It
// is empty within seconds, while most of its slots stay in service.
constexpr std::size_t minDrainBatch = 16;

// A key with at least this share of its server's requests is moved on its own.
constexpr double hotKeyMoveShare = 0.2;

// Truncates the moves to `maxSlots` slots in total.
std::vector<SlotMove> truncateMoves(std::vector<SlotMove> moves, std::size_t maxSlots)
{
    for (SlotMove &move : moves) {
        const std::size_t kept = std::min(maxSlots, move.slots.size());
        move.slots.resize(kept);
        maxSlots -= kept;
    }
    std::erase_if(moves,
                  [](const SlotMove &move) { return move.slots.empty() && move.hotKeys.empty(); });
    return moves;
}

} // namespace

void OwnershipEngine::State::pollMoves(core::TimePoint now)
{
    for (const auto &[name, control] : this->controls) {
        if (control.isReleased(now)) {
            this->releaseLostServer(name, control, now);
            continue;
        }
        const bool possible =
                this->logIsReachable(now) && control.isReachable(now) && control.hasAuthority(now);
        if (!possible)
            this->cancelMove(name);
        else if (this->moves.contains(name))
            this->advanceMove(name, control, now);
        else if (control.predecessorExpired(now) && !this->proposals.hasPendingMoveFrom(name)
                 && now >= this->nextMove[name])
            this->startMove(name, now);
    }
}

// The server certainly serves nothing any more, so one record reassigns all its slots.
void OwnershipEngine::State::releaseLostServer(const core::ServerName &name,
                                               const ServerControl &control, core::TimePoint now)
{
    this->moves.erase(name);
    KeySet keys = this->owned[name];
    keys.remove(this->proposals.keysInPendingMoves(name));
    if (keys.empty() || !this->logIsReachable(now))
        return;
    const ServerState *server = this->cluster->findServer(name);
    const ServiceState *service = this->cluster->findService(server->service);
    SlotRecord record;
    record.service = server->service;
    record.from = name;
    record.fromEpoch = control.epoch();
    record.release = control.hasAcceptedGrant() ? ReassignmentReason::LeaseExpired
                                                : ReassignmentReason::WaitedOut;
    record.moves = this->placement->evacuateServer(this->placementView(now), *service, name);
    const KeySet moved = keysOf(record);
    KeySet pending = moved;
    pending.remove(keys);
    // Slots of a move that is still pending are left to it. If the plan includes any of them, all
    // slots wait for the outcome of that move.
    if (!moved.empty() && pending.empty())
        this->proposals.propose(record, this->cluster->offset());
}

// Cancels a move whose record hasn't been proposed, and admits requests for its slots again.
void OwnershipEngine::State::cancelMove(const core::ServerName &name)
{
    const auto move = this->moves.find(name);
    if (move == this->moves.end())
        return;
    const KeySet keys = keysOf(move->second.record);
    this->actions.emplace_back(ResumeAdmission{name, keys.slotList(), keys.hotKeyList()});
    this->moves.erase(move);
}

void OwnershipEngine::State::advanceMove(const core::ServerName &name, const ServerControl &control,
                                         core::TimePoint)
{
    PlannedMove &move = this->moves.at(name);
    if (!move.idle)
        return;
    if (move.revokeSequence == 0)
        move.revokeSequence = control.nextSequence();
    if (control.acceptedSequence() < move.revokeSequence)
        return;
    move.record.fromEpoch = control.epoch();
    this->proposals.propose(move.record, this->cluster->offset());
    this->moves.erase(name);
}

void OwnershipEngine::State::startMove(const core::ServerName &name, core::TimePoint now)
{
    std::vector<SlotMove> chosen = this->chooseMoves(name, now);
    if (chosen.empty()) {
        this->nextMove[name] = now + moveSearchInterval;
        return;
    }
    const ServerState *server = this->cluster->findServer(name);
    PlannedMove move;
    move.record.service = server->service;
    move.record.from = name;
    move.record.release = ReassignmentReason::Acknowledged;
    move.record.moves = std::move(chosen);
    move.deadline = now + this->requestTimeoutOf(*server);
    const KeySet keys = keysOf(move.record);
    this->actions.emplace_back(
            PauseAdmission{name, keys.slotList(), keys.hotKeyList(), move.deadline});
    this->moves.emplace(name, std::move(move));
    if (this->cluster->acceptsSlots(name))
        this->nextMove[name] = now + rebalanceInterval;
}

std::vector<SlotMove> OwnershipEngine::State::chooseMoves(const core::ServerName &name,
                                                          core::TimePoint now)
{
    const KeySet &held = this->owned[name];
    if (held.empty())
        return {};
    const PlacementView view = this->placementView(now);
    const ServerState *server = this->cluster->findServer(name);
    const ServiceState &service = *this->cluster->findService(server->service);
    if (!this->cluster->acceptsSlots(name)) {
        const std::size_t batch = std::max(minDrainBatch, (held.slots.size() + 3) / 4);
        return truncateMoves(this->placement->evacuateServer(view, service, name), batch);
    }
    std::vector<SlotMove> chosen =
            this->placement->rebalance(view, service, name, maxRebalanceSlots);
    return chosen.empty() ? this->chooseHotKeyMove(name, view) : chosen;
}

std::vector<SlotMove> OwnershipEngine::State::chooseHotKeyMove(const core::ServerName &name,
                                                               const PlacementView &view)
{
    const auto found = this->hotKeys.find(name);
    if (found == this->hotKeys.end())
        return {};
    const HotKey hot = found->second;
    this->hotKeys.erase(found);
    const ServerState *server = this->cluster->findServer(name);
    const ServiceState &service = *this->cluster->findService(server->service);
    if (hot.share < hotKeyMoveShare || service.ownerOf(hot.key).server != name)
        return {};
    const std::optional<core::ServerName> target =
            this->placement->chooseHotKeyOwner(view, service, name);
    if (!target)
        return {};
    return {SlotMove{*target, {}, {hot.key}}};
}

} // namespace amaranthdale::decisions
