// Slots for the attempts of a request, which another instance may allocate.
#include "active_request.h"

namespace amaranthdale::gateway {

namespace {

// Slot requests for a request without a key before a server is selected locally.
constexpr unsigned maxServerPicks = 2;

// An idle allocator grants a slot within about 2 ms. A later grant has waited in a queue, or this
// instance's own link is busy.
constexpr auto maxImmediateGrant = std::chrono::milliseconds(20);

} // namespace

bool ActiveRequest::isOwnerPaused()
{
    return this->demand.owner && !this->gateway.balancers.with([this](auto &all) {
        return this->gateway.balancerFor(all, this->service)
                .accepts(*this->demand.owner, this->gateway.clock.now());
    });
}

// True if the owner that the request waited for may serve it no longer.
bool ActiveRequest::hasLostOwner()
{
    return this->demand.owner
            && this->gateway.findOwner(this->service, *this->request.key) != this->demand.owner;
}

// Selects a server for a request without a key to a keyed service, whose slots are allocated for
// each server separately.
std::optional<core::ServerName> ActiveRequest::pickServer()
{
    if (++this->serverPicks > maxServerPicks)
        return std::nullopt;
    return this->gateway.balancers.with([&](auto &all) {
        return this->gateway.balancerFor(all, this->service)
                .pick(this->demand, this->gateway.clock.now());
    });
}

void ActiveRequest::requestSlot(const std::optional<core::ServerName> &target)
{
    this->beginWaiting();
    const unsigned requestGeneration = ++this->generation;
    balance::Demand allocatorDemand = this->demand;
    allocatorDemand.organisation = this->caller.organisation;
    this->gateway.balancers.with([&](auto &all) {
        const auto paused =
                this->gateway.balancerFor(all, this->service).paused(this->gateway.clock.now());
        allocatorDemand.tried.insert(allocatorDemand.tried.end(), paused.begin(), paused.end());
    });
    const balance::Ticket ticket = this->gateway.slotAllocator->request(
            this->service, allocatorDemand, target,
            [self = this->shared_from_this(), requestGeneration, target,
             requestedAt = this->gateway.clock.now()](balance::Ticket answered, auto decision) {
                if (self->gateway.clock.now() - requestedAt > maxImmediateGrant)
                    self->reportShortage();
                self->onSlotDecision(requestGeneration, answered, target, std::move(decision));
            });
    bool alreadyFinished = false;
    {
        std::lock_guard lock(this->mutex);
        alreadyFinished = this->finished;
        // The handler may have run on another thread already and started the next step.
        if (!alreadyFinished && this->generation == requestGeneration)
            this->slotTicket = ticket;
    }
    if (alreadyFinished)
        this->gateway.slotAllocator->release(ticket, balance::AttemptResult::Cancelled, {}, {});
}

void ActiveRequest::onSlotDecision(unsigned requestGeneration, balance::Ticket ticket,
                                   const std::optional<core::ServerName> &target,
                                   std::optional<balance::SlotDecision> decision)
{
    bool isCurrent = false;
    {
        std::lock_guard lock(this->mutex);
        isCurrent = !this->finished && this->generation == requestGeneration;
        if (isCurrent)
            this->slotTicket = ticket;
    }
    if (!isCurrent)
        return this->gateway.slotAllocator->release(ticket, balance::AttemptResult::Cancelled, {},
                                                    {});
    if (!decision) {
        this->releaseSlot(balance::AttemptResult::Cancelled, {});
        return this->hasLostOwner() ? this->startAttempt() : this->chooseLocally();
    }
    if (const auto *granted = std::get_if<core::ServerName>(&*decision))
        return this->useSlot(*granted);
    this->releaseSlot(balance::AttemptResult::Cancelled, {});
    const auto &refusal = std::get<balance::Refuse>(*decision);
    this->reportShortage();
    // Another server may have a free slot for a request without a key.
    if (target && !this->demand.owner && this->serverPicks < maxServerPicks) {
        this->demand.tried.push_back(*target);
        return this->startAttempt();
    }
    this->refuse(refusal.retryAfter, refusal.reason);
}

// Sends the request to the server that granted a slot, if this instance also considers it usable.
void ActiveRequest::useSlot(const core::ServerName &name)
{
    const auto usable =
            this->gateway.usableServer(this->service, name, this->demand.owner.has_value());
    const bool accepts = this->gateway.balancers.with([&](auto &all) {
        return this->gateway.balancerFor(all, this->service)
                .accepts(name, this->gateway.clock.now());
    });
    if (!usable || !accepts) {
        this->releaseSlot(balance::AttemptResult::Cancelled, {});
        this->demand.tried.push_back(name);
        return this->chooseLocally();
    }
    this->gateway.balancers.with(
            [&](auto &all) { this->gateway.balancerFor(all, this->service).onSent(name); });
    this->send(*usable);
}

void ActiveRequest::releaseSlot(balance::AttemptResult result, core::Duration elapsed)
{
    std::optional<balance::Ticket> releasedTicket;
    {
        std::lock_guard lock(this->mutex);
        releasedTicket = std::exchange(this->slotTicket, std::nullopt);
    }
    if (releasedTicket)
        this->gateway.slotAllocator->release(*releasedTicket, result, elapsed, this->loadReport);
}

} // namespace amaranthdale::gateway
