// Pauses, ledgers and periodic ticks of a runner.
#include "server_runner.h"

#include <algorithm>

namespace amaranthdale::daemon {

namespace {

using decisions::Actions;
using decisions::ServerDispatcher;

constexpr core::Duration tickInterval = std::chrono::milliseconds(5);

// The next controller fetches the ledger within a second of its record.
constexpr core::Duration retiredLedgerRetention = std::chrono::seconds(30);

} // namespace

void ServerRunner::pauseSlots(std::vector<core::SlotIndex> slots, core::TimePoint deadline,
                              std::function<void()> onIdle)
{
    const core::TimePoint now = this->context.clock.now();
    const Actions actions = this->state.with([&](State &lockedState) {
        Actions decided;
        for (core::SlotIndex slot : slots) {
            Actions more = lockedState.dispatcher.pauseSlot(slot, now);
            std::move(more.begin(), more.end(), std::back_inserter(decided));
        }
        lockedState.pauses.push_back(Pause{std::move(slots), deadline, std::move(onIdle)});
        return decided;
    });
    this->perform(actions);
    this->completePauses();
    this->scheduleTick();
}

decisions::DispatcherLoad ServerRunner::load() const
{
    const core::TimePoint now = this->context.clock.now();
    return this->state.with(
            [now](const State &lockedState) { return lockedState.dispatcher.load(now); });
}

decisions::LimitReason ServerRunner::limitReason() const
{
    const core::TimePoint now = this->context.clock.now();
    return this->state.with(
            [now](const State &lockedState) { return lockedState.dispatcher.limitReason(now); });
}

bool ServerRunner::idle() const
{
    return this->state.with(
            [](const State &lockedState) { return lockedState.pendingRequests.empty(); });
}

bool ServerRunner::needsNewOffset() const
{
    const core::TimePoint now = this->context.clock.now();
    return this->state.with(
            [now](const State &lockedState) { return lockedState.dispatcher.needsNewOffset(now); });
}

core::Endpoint ServerRunner::endpoint() const
{
    return this->state.with([](const State &lockedState) { return lockedState.endpoint; });
}

void ServerRunner::setEndpoint(const core::Endpoint &address)
{
    this->state.with([&](State &lockedState) { lockedState.endpoint = address; });
}

void ServerRunner::retireSlot(core::SlotIndex slot)
{
    const core::TimePoint now = this->context.clock.now();
    this->perform(this->state.with([&](State &lockedState) {
        std::erase_if(lockedState.retired, [now](const auto &entry) {
            return now - entry.second.retiredAt > retiredLedgerRetention;
        });
        if (lockedState.dispatcher.ownsSlot(slot))
            lockedState.retired[slot] =
                    RetiredLedger{lockedState.dispatcher.exportSlot(slot, now), now};
        return lockedState.dispatcher.dropSlot(slot, now);
    }));
}

void ServerRunner::clearLedgers()
{
    this->updateDispatcher([](ServerDispatcher &dispatcher, core::TimePoint now) {
        return dispatcher.dropAllSlots(now);
    });
    this->state.with([](State &lockedState) { lockedState.retired.clear(); });
}

void ServerRunner::exportSlots(const std::vector<core::SlotIndex> &slots,
                               std::vector<decisions::SlotLedger> &ledgers) const
{
    const core::TimePoint now = this->context.clock.now();
    this->state.with([&](const State &lockedState) {
        for (core::SlotIndex slot : slots) {
            const auto retired = lockedState.retired.find(slot);
            if (lockedState.dispatcher.ownsSlot(slot))
                ledgers.push_back(lockedState.dispatcher.exportSlot(slot, now));
            else if (retired != lockedState.retired.end())
                ledgers.push_back(retired->second.ledger);
        }
    });
}

void ServerRunner::cancelInFlight()
{
    const auto exchanges = this->state.with([](State &lockedState) {
        std::vector<std::shared_ptr<core::Exchange>> found;
        for (auto &[ticket, pending] : lockedState.pendingRequests) {
            if (pending.exchange)
                found.push_back(pending.exchange);
        }
        return found;
    });
    for (const auto &exchange : exchanges)
        exchange->cancel();
}

void ServerRunner::scheduleTick()
{
    const bool start = this->state.with([](State &lockedState) {
        const bool needed = !lockedState.ticking
                && (!lockedState.dispatcher.idle() || !lockedState.pauses.empty());
        lockedState.ticking = lockedState.ticking || needed;
        return needed;
    });
    if (!start)
        return;
    this->context.clock.schedule(this->context.clock.now() + tickInterval,
                                 [weak = this->weak_from_this()] {
                                     if (const auto self = weak.lock())
                                         self->tick();
                                 });
}

void ServerRunner::tick()
{
    this->state.with([](State &lockedState) { lockedState.ticking = false; });
    this->updateDispatcher(
            [](ServerDispatcher &dispatcher, core::TimePoint now) { return dispatcher.tick(now); });
    this->completePauses();
    this->scheduleTick();
}

void ServerRunner::collectSent(const State &lockedState, const std::vector<core::SlotIndex> &slots,
                               std::vector<Cancellation> &found)
{
    for (const auto &[ticket, pending] : lockedState.pendingRequests) {
        const decisions::RequestInfo &info = pending.request.info;
        const bool hasPausedSlot =
                !info.anyServer && std::find(slots.begin(), slots.end(), info.slot) != slots.end();
        if (hasPausedSlot && pending.exchange)
            found.push_back({info.id, pending.exchange});
    }
}

void ServerRunner::completePauses()
{
    const core::TimePoint now = this->context.clock.now();
    std::vector<std::function<void()>> ended;
    std::vector<Cancellation> overdue;
    this->state.with([&](State &lockedState) {
        std::erase_if(lockedState.pauses, [&](Pause &pause) {
            const bool busy =
                    std::any_of(pause.slots.begin(), pause.slots.end(), [&](core::SlotIndex slot) {
                        return lockedState.dispatcher.slotInFlight(slot) > 0;
                    });
            if (busy && now < pause.deadline)
                return false;
            if (busy)
                collectSent(lockedState, pause.slots, overdue);
            ended.push_back(std::move(pause.onIdle));
            return true;
        });
    });
    for (const Cancellation &each : overdue) {
        each.exchange->cancel();
        this->cancelOnServer(each.id);
    }
    for (const auto &onIdle : ended)
        onIdle();
}

} // namespace amaranthdale::daemon
