// Asks other instances for slots, and passes their requests on to the pools of this one.
#include "amaranthdale/slots/slot_coordinator.h"

#include "slot_giver.h"
#include "slot_messages.h"

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
                CoordinatorLimits coordinatorLimits)
        : clock(coordinatorClock), events(eventLog), gateway(ownGateway), members(knownMembers),
          channel(datagramChannel), limits(coordinatorLimits), lastTicket(incarnation.value << 24)
    { }

    void start() override
    {
        this->giver = std::make_shared<SlotGiver>(
                this->clock, this->gateway, this->limits.tick,
                SlotGiver::Reports{
                        [weak = this->weak_from_this()](const Asker &asker, auto decision) {
                            if (const auto self = weak.lock())
                                self->tell(asker, std::move(decision));
                        },
                        [weak = this->weak_from_this()](const Asker &asker) {
                            if (const auto self = weak.lock())
                                self->tellQueued(asker);
                        }});
        this->channel.start([weak = this->weak_from_this()](const core::Endpoint &from,
                                                            std::string_view bytes) {
            if (const auto self = weak.lock())
                self->onDatagram(from, bytes);
        });
    }

    void stop() override { this->giver->stop(); }

    Ticket request(const core::ServiceName &service, const balance::Demand &demand,
                   const std::optional<core::ServerName> &server, Handler handler) override
    {
        const core::TimePoint now = this->clock.now();
        Ticket ticket = 0;
        bool alone = false;
        {
            std::lock_guard lock(this->mutex);
            ticket = ++this->lastTicket;
            alone = now < this->aloneUntil;
        }
        if (alone) {
            this->defer([ticket, handler = std::move(handler)] { handler(ticket, std::nullopt); });
            return ticket;
        }
        {
            std::lock_guard lock(this->mutex);
            Ask &ask = this->asks[ticket];
            ask.handler = std::move(handler);
            ask.service = service;
            ask.demand = demand;
            ask.steps = this->planSteps(service, server);
            ask.giveUpAt = demand.deadline - this->limits.queueMargin;
        }
        this->nextStep(ticket, std::nullopt);
        return ticket;
    }

    void release(Ticket ticket, balance::AttemptResult result, core::Duration elapsed,
                 const std::optional<balance::LoadReport> &report) override
    {
        std::optional<Ask> ask;
        {
            std::lock_guard lock(this->mutex);
            const auto found = this->asks.find(ticket);
            if (found == this->asks.end())
                return;
            ask = std::move(found->second);
            this->asks.erase(found);
        }
        SlotRelease message{result, elapsed, report};
        if (!ask->assignee)
            return; // No slot was asked for yet.
        if (this->isSelf(*ask->assignee))
            return this->giver->takeBack(Asker{std::nullopt, ticket}, message);
        this->channel.send(ask->assignee->peer, encodeSlotMessage({ticket, std::move(message)}));
    }

private:
    // A pool to ask, and whether to wait there.
    struct Step
    {
        PoolKey pool;
        bool mayWait = false;
    };

    // A request of this instance for a slot, until the slot is given back.
    struct Ask
    {
        Handler handler; // Null once it was called.
        core::ServiceName service;
        balance::Demand demand;
        std::vector<Step> steps;                    // Still to be tried, the last one first.
        std::optional<membership::Member> assignee; // Of the step in progress.
        unsigned step = 0;                          // Number of the step in progress.
        bool queued = false;
        core::TimePoint giveUpAt{}; // End of the wait where it is queued.
    };

    struct Assignee
    {
        std::optional<membership::Member> member;
        core::TimePoint until{};
    };

    // A step whose decision is awaited.
    struct Watched
    {
        core::TimePoint until{};
        Ticket ticket = 0;
        unsigned step = 0;
    };

    bool isSelf(const membership::Member &member) const
    {
        return member.name == this->members.self().name;
    }

    // A server that owns keys has one pool. Otherwise: a free slot nearby, a free slot elsewhere,
    // then a wait nearby.
    std::vector<Step> planSteps(const core::ServiceName &service,
                                const std::optional<core::ServerName> &server)
    {
        if (server)
            return {Step{PoolKey{service, server, {}}, true}};
        const core::DataCentreName &own = this->members.self().dataCentre;
        std::vector<core::DataCentreName> others = this->members.dataCentres();
        std::erase(others, own);
        std::vector<Step> steps{Step{PoolKey{service, std::nullopt, own}, true}};
        for (std::size_t index = 0; index < others.size(); ++index) {
            const auto &other = others[(index + this->lastTicket) % others.size()];
            steps.push_back(Step{PoolKey{service, std::nullopt, other}, false});
        }
        if (!others.empty())
            steps.push_back(Step{PoolKey{service, std::nullopt, own}, false});
        return steps;
    }

    // Goes on to the next pool; without one, `last` is the decision.
    void nextStep(Ticket ticket, std::optional<balance::SlotDecision> last)
    {
        const core::TimePoint now = this->clock.now();
        std::optional<membership::Member> assignee;
        SlotRequest message;
        Handler handler;
        {
            std::lock_guard lock(this->mutex);
            const auto found = this->asks.find(ticket);
            if (found == this->asks.end())
                return;
            Ask &ask = found->second;
            while (!ask.steps.empty() && !assignee) {
                const Step step = std::move(ask.steps.back());
                ask.steps.pop_back();
                assignee = this->assigneeOf(step.pool, now);
                message = this->describe(step, ask.demand, now);
            }
            ask.assignee = assignee;
            ask.queued = false;
            ++ask.step;
            if (!assignee)
                handler = std::move(ask.handler);
            if (!assignee)
                this->asks.erase(found);
        }
        if (!assignee)
            return this->defer([handler, ticket, last] { handler(ticket, last); });
        if (this->isSelf(*assignee))
            return this->giver->serve(Asker{std::nullopt, ticket}, message);
        this->channel.send(assignee->peer, encodeSlotMessage({ticket, std::move(message)}));
        this->watch(ticket, now + this->limits.answerTimeout);
    }

    // Runs `function` off the stack of the caller, who may be inside `request`.
    void defer(std::function<void()> function)
    {
        this->clock.schedule(this->clock.now(), std::move(function));
    }

    SlotRequest describe(const Step &step, const balance::Demand &demand, core::TimePoint now) const
    {
        SlotRequest message;
        message.service = step.pool.service;
        message.server = step.pool.server;
        message.pool = step.pool.dataCentre;
        message.mayWait = step.mayWait;
        message.from = this->members.self().dataCentre;
        message.route = demand.route;
        message.kind = demand.kind;
        message.priority = demand.priority;
        message.targetLatency = demand.arrived + demand.targetLatency - now;
        message.left = demand.deadline - now;
        message.tried = demand.tried;
        return message;
    }

    // Called with the lock held.
    std::optional<membership::Member> assigneeOf(const PoolKey &key, core::TimePoint now)
    {
        Assignee &known = this->assignees[key];
        if (now >= known.until) {
            known.member = this->members.assignee(
                    key.task(), key.server ? std::nullopt : std::optional(key.dataCentre), now);
            known.until = now + this->limits.assigneeLife;
        }
        return known.member;
    }

    // Looks after `until` whether the step in progress was decided. One timer serves all.
    void watch(Ticket ticket, core::TimePoint until)
    {
        bool start = false;
        {
            std::lock_guard lock(this->mutex);
            const auto found = this->asks.find(ticket);
            if (found == this->asks.end())
                return;
            this->watched.push_back(Watched{until, ticket, found->second.step});
            start = !std::exchange(this->watching, true);
        }
        if (start)
            this->scheduleWatch(until);
    }

    void scheduleWatch(core::TimePoint until)
    {
        this->clock.schedule(until, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock())
                self->onWatch();
        });
    }

    // The steps are watched for the same time, so the first one is due first.
    void onWatch()
    {
        const core::TimePoint now = this->clock.now();
        std::vector<Watched> due;
        core::TimePoint next{};
        {
            std::lock_guard lock(this->mutex);
            while (!this->watched.empty() && this->watched.front().until <= now) {
                due.push_back(this->watched.front());
                this->watched.pop_front();
            }
            this->watching = !this->watched.empty();
            if (this->watching)
                next = this->watched.front().until;
        }
        if (next != core::TimePoint{})
            this->scheduleWatch(next);
        for (const Watched &entry : due)
            this->onSilence(entry, now);
    }

    // No decision in time: the request is decided alone, and the instance is asked no more after
    // some such cases in a row.
    void onSilence(const Watched &entry, core::TimePoint now)
    {
        std::optional<membership::Member> assignee;
        bool suspicious = false;
        {
            std::lock_guard lock(this->mutex);
            const auto found = this->asks.find(entry.ticket);
            if (found == this->asks.end() || !found->second.handler
                || found->second.step != entry.step)
                return;
            if (found->second.queued && now < found->second.giveUpAt) {
                this->watched.push_back(
                        Watched{now + this->limits.answerTimeout, entry.ticket, entry.step});
                if (!std::exchange(this->watching, true))
                    this->scheduleWatch(now + this->limits.answerTimeout);
                return;
            }
            assignee = found->second.assignee;
            if (!found->second.queued)
                suspicious = ++this->unanswered[assignee->name] >= this->limits.mostUnanswered;
            if (suspicious) {
                this->unanswered.erase(assignee->name);
                this->assignees.clear();
            }
            if (!found->second.queued && ++this->silent >= this->limits.mostSilent)
                this->aloneUntil = now + this->limits.aloneTime;
            found->second.steps.clear(); // The caller has waited long enough.
        }
        this->channel.send(assignee->peer, encodeSlotMessage({entry.ticket, SlotRelease{}}));
        if (suspicious) {
            this->members.suspect(membership::Duty::Slots, assignee->name, now);
            this->events.write(log::Severity::Warning, "slot-requests-unanswered",
                               {{"instance", assignee->name.value}});
        }
        this->nextStep(entry.ticket, std::nullopt);
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
            return this->giver->serve(Asker{from, ticket}, *request);
        if (const auto *release = std::get_if<SlotRelease>(&message->content))
            return this->giver->takeBack(Asker{from, ticket}, *release);
        this->noteAnswer(ticket);
        if (std::holds_alternative<SlotQueued>(message->content))
            return this->onQueued(ticket);
        if (const auto *granted = std::get_if<SlotGranted>(&message->content))
            return this->onDecision(from, ticket, balance::SlotDecision(granted->server));
        if (const auto *refused = std::get_if<SlotRefused>(&message->content))
            return this->onDecision(from, ticket,
                                    balance::Refuse{refused->retryAfter, refused->reason});
        this->onDecision(from, ticket, std::nullopt);
    }

    void noteAnswer(Ticket ticket)
    {
        std::lock_guard lock(this->mutex);
        const auto found = this->asks.find(ticket);
        this->silent = 0;
        if (found != this->asks.end() && found->second.assignee)
            this->unanswered.erase(found->second.assignee->name);
    }

    void onQueued(Ticket ticket)
    {
        std::lock_guard lock(this->mutex);
        const auto found = this->asks.find(ticket);
        if (found != this->asks.end())
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
            const auto found = this->asks.find(ticket);
            // The answer of an earlier step may come late.
            expected = found != this->asks.end() && found->second.handler && found->second.assignee
                    && from.value_or(this->members.self().peer) == found->second.assignee->peer;
            if (expected && granted)
                handler = std::exchange(found->second.handler, nullptr);
        }
        if (expected && !decision && from)
            this->avoid(ticket);
        if (expected && !granted)
            return this->nextStep(ticket, std::move(decision));
        if (expected && from)
            return handler(ticket, std::move(decision));
        if (expected)
            return this->defer([handler, ticket, decision] { handler(ticket, decision); });
        // The request was given up meanwhile.
        if (granted && from)
            this->channel.send(*from, encodeSlotMessage({ticket, SlotRelease{}}));
    }

    // The instance that was asked hands out no such slots: it stops, or knows other servers.
    void avoid(Ticket ticket)
    {
        std::lock_guard lock(this->mutex);
        const auto found = this->asks.find(ticket);
        if (found == this->asks.end() || !found->second.assignee)
            return;
        this->members.suspect(membership::Duty::Slots, found->second.assignee->name,
                              this->clock.now());
        this->assignees.clear();
    }

    // A decision for `asker`; nothing: it has to decide alone.
    void tell(const Asker &asker, std::optional<balance::SlotDecision> decision)
    {
        if (!asker.endpoint)
            return this->onDecision(std::nullopt, asker.ticket, std::move(decision));
        SlotMessage message{asker.ticket, SlotUnknown{}};
        if (decision) {
            if (const auto *server = std::get_if<core::ServerName>(&*decision))
                message.content = SlotGranted{*server};
            else if (const auto *refusal = std::get_if<balance::Refuse>(&*decision))
                message.content = SlotRefused{refusal->retryAfter, refusal->reason};
        }
        this->channel.send(*asker.endpoint, encodeSlotMessage(message));
    }

    void tellQueued(const Asker &asker)
    {
        if (asker.endpoint)
            this->channel.send(*asker.endpoint, encodeSlotMessage({asker.ticket, SlotQueued{}}));
    }

    clock::Clock &clock;
    log::EventLog &events;
    gateway::Gateway &gateway;
    membership::Members &members;
    DatagramChannel &channel;
    const CoordinatorLimits limits;

    std::shared_ptr<SlotGiver> giver;

    // Guards what follows. The table of members is read under it; nothing is sent or called back.
    std::mutex mutex;
    Ticket lastTicket;
    std::map<Ticket, Ask> asks;
    std::deque<Watched> watched;                       // Invariant: in order of `until`.
    bool watching = false;                             // The timer for the first one runs.
    std::map<core::InstanceName, unsigned> unanswered; // Steps in a row.
    unsigned silent = 0; // Unanswered steps in a row, whoever was asked.
    core::TimePoint aloneUntil{};
    std::map<PoolKey, Assignee> assignees;
};

} // namespace

std::shared_ptr<SlotCoordinator> makeSlotCoordinator(clock::Clock &clock, log::EventLog &events,
                                                     gateway::Gateway &gateway,
                                                     membership::Members &members,
                                                     DatagramChannel &channel,
                                                     core::Incarnation incarnation,
                                                     CoordinatorLimits limits)
{
    return std::make_shared<Coordinator>(clock, events, gateway, members, channel, incarnation,
                                         limits);
}

} // namespace amaranthdale::slots
