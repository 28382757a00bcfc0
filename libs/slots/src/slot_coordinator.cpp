// Requests slots from other instances, and passes requests of others to the slot pools of this one.
#include "amaranthdale/slots/slot_coordinator.h"

#include "slot_demand.h"
#include "slot_messages.h"
#include "slot_pool_manager.h"
#include "slot_steps.h"

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>
#include <tuple>

namespace amaranthdale::slots {

namespace {

using balance::Ticket;

class Coordinator : public SlotCoordinator, public std::enable_shared_from_this<Coordinator>
{
public:
    Coordinator(clock::Clock &coordinatorClock, log::EventLog &eventLog,
                gateway::Gateway &ownGateway, membership::Members &knownMembers,
                DatagramChannel &datagramChannel, core::Incarnation incarnation,
                CoordinatorOptions coordinatorOptions)
        : clock(coordinatorClock), events(eventLog), gateway(ownGateway), members(knownMembers),
          channel(datagramChannel), options(coordinatorOptions), lastTicket(incarnation.value << 24)
    { }

    void start() override
    {
        this->pools = std::make_shared<SlotPoolManager>(
                this->clock, this->events, this->gateway, this->options,
                SlotPoolManager::Callbacks{
                        [weak = this->weak_from_this()](const Requester &requester, auto decision) {
                            if (const auto self = weak.lock())
                                self->sendDecision(requester, std::move(decision));
                        },
                        [weak = this->weak_from_this()](const Requester &requester,
                                                        NoDecision reason) {
                            if (const auto self = weak.lock())
                                self->sendNoDecision(requester, reason);
                        },
                        [weak = this->weak_from_this()](const Requester &requester) {
                            if (const auto self = weak.lock())
                                self->sendQueued(requester);
                        },
                        [this](const PoolKey &key) { return this->isAssigned(key); },
                        [this] { return this->members.dataCentres().size(); }});
        this->channel.start([weak = this->weak_from_this()](const core::Endpoint &from,
                                                            std::string_view bytes) {
            if (const auto self = weak.lock())
                self->onDatagram(from, bytes);
        });
    }

    void stop() override { this->pools->stop(); }

    Ticket request(const core::ServiceName &service, const balance::Demand &demand,
                   const std::optional<core::ServerName> &server, Handler handler) override
    {
        const core::TimePoint now = this->clock.now();
        Ticket ticket = 0;
        bool decideLocally = false;
        {
            std::lock_guard lock(this->mutex);
            ticket = ++this->lastTicket;
            decideLocally = now < this->localDecisionUntil;
        }
        if (decideLocally) {
            this->defer([ticket, handler = std::move(handler)] { handler(ticket, std::nullopt); });
            return ticket;
        }
        {
            std::lock_guard lock(this->mutex);
            PendingRequest &pending = this->pendingRequests[ticket];
            pending.handler = std::move(handler);
            pending.service = service;
            pending.demand = demand;
            pending.steps = planSteps(service, server, demand, this->members.self().dataCentre,
                                      this->members.dataCentres(), ticket);
            pending.mayQueueElsewhere = !server && !demand.hedgePool;
            pending.queueDeadline = demand.deadline - this->options.queueDeadlineMargin;
        }
        this->tryNextStep(ticket, std::nullopt);
        return ticket;
    }

    void release(Ticket ticket, balance::AttemptResult result, core::Duration elapsed,
                 const std::optional<balance::LoadReport> &report) override
    {
        std::optional<PendingRequest> pending;
        {
            std::lock_guard lock(this->mutex);
            const auto found = this->pendingRequests.find(ticket);
            if (found == this->pendingRequests.end())
                return;
            pending = std::move(found->second);
            this->pendingRequests.erase(found);
        }
        SlotRelease message{result, elapsed, report};
        if (!pending->assignee)
            return; // No slot has been requested yet.
        if (this->isSelf(*pending->assignee))
            return this->pools->handleRelease(Requester{std::nullopt, ticket}, message);
        this->channel.send(pending->assignee->peer,
                           encodeSlotMessage({ticket, std::move(message)}));
    }

private:
    // A slot request of this instance, kept until the slot is released.
    struct PendingRequest
    {
        Handler handler; // Null after it was called.
        core::ServiceName service;
        balance::Demand demand;
        std::vector<Step> steps;                    // Remaining steps; the last one is tried first.
        std::optional<membership::Member> assignee; // Of the current step.
        unsigned step = 0;                          // Number of the current step.
        bool mayQueueElsewhere = false; // In other data centres, if its own has no servers.
        bool queued = false;
        core::TimePoint queueDeadline{}; // After it, a queued request is decided locally.
    };

    struct CachedAssignee
    {
        std::optional<membership::Member> member;
        core::TimePoint until{};
    };

    // Time at which a step is checked for a response.
    struct ResponseCheck
    {
        core::TimePoint until{};
        Ticket ticket = 0;
        unsigned step = 0;
    };

    bool isSelf(const membership::Member &member) const
    {
        return member.name == this->members.self().name;
    }

    // Tries the next pool. If none is left, `last` is the decision.
    void tryNextStep(Ticket ticket, std::optional<balance::SlotDecision> last)
    {
        const core::TimePoint now = this->clock.now();
        std::optional<membership::Member> assignee;
        SlotRequest message;
        Handler handler;
        {
            std::lock_guard lock(this->mutex);
            const auto found = this->pendingRequests.find(ticket);
            if (found == this->pendingRequests.end())
                return;
            PendingRequest &pending = found->second;
            while (!pending.steps.empty() && !assignee) {
                const Step step = std::move(pending.steps.back());
                pending.steps.pop_back();
                assignee = this->findAssignee(step.pool, now);
                message = this->makeMessage(step, pending.demand, now);
            }
            pending.assignee = assignee;
            pending.queued = false;
            ++pending.step;
            if (!assignee)
                handler = std::move(pending.handler);
            if (!assignee)
                this->pendingRequests.erase(found);
        }
        if (!assignee)
            return this->defer([handler, ticket, last] { handler(ticket, last); });
        if (this->isSelf(*assignee))
            return this->pools->handleRequest(Requester{std::nullopt, ticket}, message);
        this->channel.send(assignee->peer, encodeSlotMessage({ticket, std::move(message)}));
        this->addResponseCheck(ticket, now + this->options.responseTimeout);
    }

    // Runs `function` from a timer, since this code may be running inside `request`.
    void defer(std::function<void()> function)
    {
        this->clock.schedule(this->clock.now(), std::move(function));
    }

    SlotRequest makeMessage(const Step &step, const balance::Demand &demand,
                            core::TimePoint now) const
    {
        SlotRequest message = makeSlotRequest(demand, now);
        message.service = step.pool.service;
        message.server = step.pool.server;
        message.poolDataCentre = step.pool.dataCentre;
        message.mayWait = step.mayWait;
        message.requesterDataCentre = this->members.self().dataCentre;
        return message;
    }

    // Called with the lock held.
    std::optional<membership::Member> findAssignee(const PoolKey &key, core::TimePoint now)
    {
        CachedAssignee &cached = this->assigneeCache[key];
        if (now >= cached.until) {
            cached.member = this->members.assignee(
                    key.assignmentKey(), key.server ? std::nullopt : std::optional(key.dataCentre),
                    now);
            cached.until = now + this->options.assigneeCacheTime;
        }
        return cached.member;
    }

    // Schedules a check at `until` whether the current step was decided. All checks share one
    // timer.
    void addResponseCheck(Ticket ticket, core::TimePoint until)
    {
        bool start = false;
        {
            std::lock_guard lock(this->mutex);
            const auto found = this->pendingRequests.find(ticket);
            if (found == this->pendingRequests.end())
                return;
            this->responseChecks.push_back(ResponseCheck{until, ticket, found->second.step});
            start = !std::exchange(this->checkTimerPending, true);
        }
        if (start)
            this->scheduleCheckTimer(until);
    }

    void scheduleCheckTimer(core::TimePoint until)
    {
        this->clock.schedule(until, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock())
                self->onCheckTimer();
        });
    }

    // All steps have the same timeout, so the entries are in order of due time.
    void onCheckTimer()
    {
        const core::TimePoint now = this->clock.now();
        std::vector<ResponseCheck> due;
        core::TimePoint next{};
        {
            std::lock_guard lock(this->mutex);
            while (!this->responseChecks.empty() && this->responseChecks.front().until <= now) {
                due.push_back(this->responseChecks.front());
                this->responseChecks.pop_front();
            }
            this->checkTimerPending = !this->responseChecks.empty();
            if (this->checkTimerPending)
                next = this->responseChecks.front().until;
        }
        if (next != core::TimePoint{})
            this->scheduleCheckTimer(next);
        for (const ResponseCheck &entry : due)
            this->checkResponse(entry, now);
    }

    // Decides the request locally if it got no response, or was queued too long. Repeated timeouts
    // make this instance avoid the other one.
    void checkResponse(const ResponseCheck &entry, core::TimePoint now)
    {
        std::optional<membership::Member> assignee;
        bool unresponsive = false;
        {
            std::lock_guard lock(this->mutex);
            const auto found = this->pendingRequests.find(entry.ticket);
            if (found == this->pendingRequests.end() || !found->second.handler
                || found->second.step != entry.step)
                return;
            if (found->second.queued && now < found->second.queueDeadline) {
                this->responseChecks.push_back(ResponseCheck{now + this->options.responseTimeout,
                                                             entry.ticket, entry.step});
                if (!std::exchange(this->checkTimerPending, true))
                    this->scheduleCheckTimer(now + this->options.responseTimeout);
                return;
            }
            assignee = found->second.assignee;
            if (!found->second.queued)
                unresponsive = ++this->timeoutsByInstance[assignee->name]
                        >= this->options.maxInstanceTimeouts;
            if (unresponsive) {
                this->timeoutsByInstance.erase(assignee->name);
                this->assigneeCache.clear();
            }
            if (!found->second.queued
                && ++this->consecutiveTimeouts >= this->options.maxConsecutiveTimeouts)
                this->localDecisionUntil = now + this->options.localDecisionTime;
            found->second.steps.clear(); // Further steps would take too long.
        }
        this->channel.send(assignee->peer, encodeSlotMessage({entry.ticket, SlotRelease{}}));
        if (unresponsive) {
            this->members.suspect(membership::InstanceRole::Slots, assignee->name, now);
            this->gateway.statistics().count("slot_allocators_avoided_total",
                                             "reason=\"unanswered\"");
            this->events.write(log::Severity::Warning, "slot-requests-unanswered",
                               {{"instance", assignee->name.value}});
        }
        this->tryNextStep(entry.ticket, std::nullopt);
    }

    void onDatagram(const core::Endpoint &from, std::string_view bytes)
    {
        const auto message = decodeSlotMessage(bytes);
        if (!message) {
            this->gateway.statistics().count("slot_messages_malformed_total");
            return;
        }
        const Ticket ticket = message->ticket;
        if (const auto *request = std::get_if<SlotRequest>(&message->content))
            return this->pools->handleRequest(Requester{from, ticket}, *request);
        if (const auto *release = std::get_if<SlotRelease>(&message->content))
            return this->pools->handleRelease(Requester{from, ticket}, *release);
        this->recordResponse(ticket);
        if (std::holds_alternative<SlotQueued>(message->content))
            return this->onQueued(ticket);
        if (const auto *granted = std::get_if<SlotGranted>(&message->content))
            return this->onDecision(from, ticket, balance::SlotDecision(granted->server));
        if (const auto *refused = std::get_if<SlotRefused>(&message->content))
            return this->onDecision(from, ticket,
                                    balance::Refuse{refused->retryAfter, refused->reason});
        if (std::holds_alternative<SlotPoolUnavailable>(message->content))
            this->avoidAssignee(from, ticket);
        else
            this->planOtherQueues(from, ticket);
        this->onDecision(from, ticket, std::nullopt);
    }

    // The last pool to ask has no server for the request, or lost them while it waited. Adds the
    // queues of the other data centres: each instance that selects a server by itself instead would
    // exceed the slots there.
    void planOtherQueues(const std::optional<core::Endpoint> &from, Ticket ticket)
    {
        std::lock_guard lock(this->mutex);
        const auto found = this->pendingRequests.find(ticket);
        if (found == this->pendingRequests.end() || !this->isExpected(found->second, from))
            return;
        PendingRequest &pending = found->second;
        if (!pending.steps.empty() || !std::exchange(pending.mayQueueElsewhere, false))
            return;
        for (const core::DataCentreName &dataCentre : this->members.dataCentres()) {
            if (dataCentre != this->members.self().dataCentre)
                pending.steps.push_back(
                        Step{PoolKey{pending.service, std::nullopt, dataCentre}, true});
        }
    }

    // False for a late response to an earlier step. `from` is unset for this instance itself.
    bool isExpected(const PendingRequest &pending, const std::optional<core::Endpoint> &from) const
    {
        return pending.handler && pending.assignee
                && from.value_or(this->members.self().peer) == pending.assignee->peer;
    }

    void recordResponse(Ticket ticket)
    {
        std::lock_guard lock(this->mutex);
        const auto found = this->pendingRequests.find(ticket);
        this->consecutiveTimeouts = 0;
        if (found != this->pendingRequests.end() && found->second.assignee)
            this->timeoutsByInstance.erase(found->second.assignee->name);
    }

    void onQueued(Ticket ticket)
    {
        std::lock_guard lock(this->mutex);
        const auto found = this->pendingRequests.find(ticket);
        if (found != this->pendingRequests.end())
            found->second.queued = true;
    }

    void onDecision(const std::optional<core::Endpoint> &from, Ticket ticket,
                    std::optional<balance::SlotDecision> decision)
    {
        const bool granted = decision && std::holds_alternative<core::ServerName>(*decision);
        Handler handler;
        bool expected = false;
        {
            std::lock_guard lock(this->mutex);
            const auto found = this->pendingRequests.find(ticket);
            expected =
                    found != this->pendingRequests.end() && this->isExpected(found->second, from);
            if (expected && granted)
                handler = std::exchange(found->second.handler, nullptr);
        }
        if (expected && !granted)
            return this->tryNextStep(ticket, std::move(decision));
        if (expected && from)
            return handler(ticket, std::move(decision));
        if (expected)
            return this->defer([handler, ticket, decision] { handler(ticket, decision); });
        // The request has been cancelled or decided meanwhile.
        if (granted && from)
            this->channel.send(*from, encodeSlotMessage({ticket, SlotRelease{}}));
    }

    // Avoids an instance that is stopping.
    void avoidAssignee(const core::Endpoint &from, Ticket ticket)
    {
        std::lock_guard lock(this->mutex);
        const auto found = this->pendingRequests.find(ticket);
        if (found == this->pendingRequests.end() || !found->second.assignee
            || found->second.assignee->peer != from)
            return;
        const membership::Member &assignee = *found->second.assignee;
        this->members.suspect(membership::InstanceRole::Slots, assignee.name, this->clock.now());
        this->assigneeCache.clear();
        this->gateway.statistics().count("slot_allocators_avoided_total", "reason=\"unavailable\"");
        this->events.write(
                log::Severity::Info, "slot-allocator-unavailable",
                {{"instance", assignee.name.value}, {"service", found->second.service.value}});
    }

    bool isAssigned(const PoolKey &key) const
    {
        return this->members.isAssigned(key.assignmentKey(),
                                        key.server ? std::nullopt : std::optional(key.dataCentre),
                                        this->clock.now());
    }

    void sendDecision(const Requester &requester, balance::SlotDecision decision)
    {
        if (!requester.endpoint)
            return this->onDecision(std::nullopt, requester.ticket, std::move(decision));
        SlotMessage message{requester.ticket, {}};
        if (const auto *server = std::get_if<core::ServerName>(&decision))
            message.content = SlotGranted{*server};
        else if (const auto *refusal = std::get_if<balance::Refuse>(&decision))
            message.content = SlotRefused{refusal->retryAfter, refusal->reason};
        this->channel.send(*requester.endpoint, encodeSlotMessage(message));
    }

    void sendNoDecision(const Requester &requester, NoDecision reason)
    {
        if (!requester.endpoint) {
            if (reason == NoDecision::NoServers)
                this->planOtherQueues(std::nullopt, requester.ticket);
            return this->onDecision(std::nullopt, requester.ticket, std::nullopt);
        }
        SlotMessage message{requester.ticket, SlotPoolEmpty{}};
        if (reason == NoDecision::Stopping)
            message.content = SlotPoolUnavailable{};
        this->channel.send(*requester.endpoint, encodeSlotMessage(message));
    }

    void sendQueued(const Requester &requester)
    {
        if (requester.endpoint)
            this->channel.send(*requester.endpoint,
                               encodeSlotMessage({requester.ticket, SlotQueued{}}));
    }

    clock::Clock &clock;
    log::EventLog &events;
    gateway::Gateway &gateway;
    membership::Members &members;
    DatagramChannel &channel;
    const CoordinatorOptions options;

    std::shared_ptr<SlotPoolManager> pools;

    // Guards the members below. The member table is read under it, but no message is sent and no
    // callback invoked.
    std::mutex mutex;
    Ticket lastTicket;
    std::map<Ticket, PendingRequest> pendingRequests;
    std::deque<ResponseCheck> responseChecks; // Invariant: in order of `until`.
    bool checkTimerPending = false;           // A timer for the first entry is pending.
    std::map<core::InstanceName, unsigned> timeoutsByInstance; // Consecutive timeouts.
    unsigned consecutiveTimeouts = 0; // Consecutive timeouts over all instances.
    core::TimePoint localDecisionUntil{};
    std::map<PoolKey, CachedAssignee> assigneeCache;
};

} // namespace

std::shared_ptr<SlotCoordinator> makeSlotCoordinator(clock::Clock &clock, log::EventLog &events,
                                                     gateway::Gateway &gateway,
                                                     membership::Members &members,
                                                     DatagramChannel &channel,
                                                     core::Incarnation incarnation,
                                                     CoordinatorOptions options)
{
    return std::make_shared<Coordinator>(clock, events, gateway, members, channel, incarnation,
                                         options);
}

} // namespace amaranthdale::slots
