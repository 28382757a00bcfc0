// Both sides of the exchange of slots.
#include "amaranthdale/slots/slot_coordinator.h"

#include "slot_messages.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <tuple>

namespace amaranthdale::slots {

namespace {

using balance::Ticket;

// Releases follow the end of a request within this time, or are lost.
constexpr auto lostMargin = std::chrono::seconds(2);
constexpr Ticket purgeInterval = 256; // Requests between two searches for lost releases.

// The servers whose slots are handed out together: those of a service in one data centre, or one
// that owns keys.
struct PoolKey
{
    core::ServiceName service;
    std::optional<core::ServerName> server;
    core::DataCentreName dataCentre; // Empty where a server is named.

    auto operator<=>(const PoolKey &) const = default;

    std::string task() const
    {
        return this->service.value + '/'
                + (this->server ? this->server->value : this->dataCentre.value);
    }
};

// Who asked for a slot. No endpoint: this instance itself.
struct Asker
{
    std::optional<core::Endpoint> endpoint;
    Ticket ticket = 0;

    auto operator<=>(const Asker &) const = default;
};

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
        this->channel.start([weak = this->weak_from_this()](const core::Endpoint &from,
                                                            std::string_view bytes) {
            if (const auto self = weak.lock())
                self->onDatagram(from, bytes);
        });
    }

    void stop() override { this->stopped = true; }

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
            return this->takeBack(Asker{std::nullopt, ticket}, message);
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

    struct Pool
    {
        explicit Pool(std::uint64_t seed) : slots(seed) { }

        balance::SlotPool slots;
        std::uint64_t directoryVersion = 0; // Of the servers in `slots`; 0: none.
        bool ticking = false;
    };

    struct Origin
    {
        Asker asker;
        PoolKey pool;
        core::TimePoint expiresAt{}; // Its release was lost if it is still here then.
    };

    using Verdicts = std::vector<std::pair<Asker, balance::SlotDecision>>;

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
            return this->serve(Asker{std::nullopt, ticket}, message);
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
            return this->serve(Asker{from, ticket}, *request);
        if (const auto *release = std::get_if<SlotRelease>(&message->content))
            return this->takeBack(Asker{from, ticket}, *release);
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

    // The pool of `key` with the servers of the directory in force, or null when there are none.
    // Called with the lock held.
    Pool *poolOf(const PoolKey &key, core::TimePoint now)
    {
        const auto [entry, added] = this->pools.try_emplace(key, ++this->lastSeed);
        Pool &pool = entry->second;
        const std::uint64_t version = this->gateway.directoryVersion();
        if (added || pool.directoryVersion != version) {
            const auto service = this->gateway.serviceOf(key.service);
            catalog::BackendServers servers;
            if (service) {
                pool.slots.setService(*service);
                servers = this->gateway.usableServers(key.service);
            }
            std::erase_if(servers, [&key](const catalog::BackendServer &server) {
                return key.server ? server.name != *key.server
                                  : server.dataCentre != key.dataCentre;
            });
            pool.slots.setServers(servers, now);
            pool.directoryVersion = version;
            if (servers.empty()) {
                this->pools.erase(entry);
                return nullptr;
            }
        }
        return &pool;
    }

    // Hands out a slot or lets the request wait.
    void serve(const Asker &asker, const SlotRequest &request)
    {
        const core::TimePoint now = this->clock.now();
        const PoolKey key{request.service, request.server, request.pool};
        Verdicts verdicts;
        bool known = false;
        bool queued = false;
        {
            std::lock_guard lock(this->mutex);
            Pool *pool = this->stopped ? nullptr : this->poolOf(key, now);
            known = pool != nullptr;
            if (known) {
                const Ticket inPool = ++this->lastTicket;
                this->origins[inPool] = Origin{asker, key, now + request.left + lostMargin};
                if (inPool % purgeInterval == 0)
                    this->purge(now);
                this->tickets[asker] = inPool;
                pool->slots.request(inPool, demandOf(request, now), request.from, request.mayWait,
                                    now);
                verdicts = this->dispatch(*pool, key, now);
                queued = this->tickets.contains(asker)
                        && std::none_of(verdicts.begin(), verdicts.end(), [&](const auto &verdict) {
                               return verdict.first == asker;
                           });
            }
        }
        if (!known)
            this->tell(asker, std::nullopt);
        if (queued && asker.endpoint)
            this->channel.send(*asker.endpoint, encodeSlotMessage({asker.ticket, SlotQueued{}}));
        this->tellAll(std::move(verdicts));
    }

    // Drops slots whose release was lost. Called with the lock held.
    void purge(core::TimePoint now)
    {
        std::erase_if(this->origins, [this, now](const auto &entry) {
            if (now < entry.second.expiresAt)
                return false;
            this->tickets.erase(entry.second.asker);
            return true;
        });
    }

    static balance::Demand demandOf(const SlotRequest &request, core::TimePoint now)
    {
        balance::Demand demand;
        demand.route = request.route;
        demand.kind = request.kind;
        demand.priority = request.priority;
        demand.targetLatency = request.targetLatency;
        demand.arrived = now;
        demand.deadline = now + request.left;
        demand.owner = request.server;
        demand.tried = request.tried;
        return demand;
    }

    void takeBack(const Asker &asker, const SlotRelease &release)
    {
        const core::TimePoint now = this->clock.now();
        Verdicts verdicts;
        {
            std::lock_guard lock(this->mutex);
            const auto ticket = this->tickets.find(asker);
            if (ticket == this->tickets.end())
                return;
            const auto origin = this->origins.find(ticket->second);
            const PoolKey key = origin->second.pool;
            const auto pool = this->pools.find(key);
            if (pool != this->pools.end()) {
                pool->second.slots.release(ticket->second, release.result, release.elapsed,
                                           release.report, now);
                verdicts = this->dispatch(pool->second, key, now);
            }
            this->origins.erase(origin);
            this->tickets.erase(asker);
        }
        this->tellAll(std::move(verdicts));
    }

    // Called with the lock held. Keeps the origin of granted slots, for their release.
    Verdicts dispatch(Pool &pool, const PoolKey &key, core::TimePoint now)
    {
        Verdicts verdicts;
        for (balance::SlotVerdict &verdict : pool.slots.dispatch(now)) {
            const auto origin = this->origins.find(verdict.ticket);
            if (origin == this->origins.end())
                continue;
            const Asker asker = origin->second.asker;
            if (std::holds_alternative<balance::Refuse>(verdict.decision)) {
                this->origins.erase(origin);
                this->tickets.erase(asker);
            }
            verdicts.emplace_back(asker, std::move(verdict.decision));
        }
        if (pool.slots.waiting() > 0 && !pool.ticking) {
            pool.ticking = true;
            this->clock.schedule(now + this->limits.tick, [weak = this->weak_from_this(), key] {
                if (const auto self = weak.lock())
                    self->onTick(key);
            });
        }
        return verdicts;
    }

    void onTick(const PoolKey &key)
    {
        const core::TimePoint now = this->clock.now();
        Verdicts verdicts;
        {
            std::lock_guard lock(this->mutex);
            const auto found = this->pools.find(key);
            if (found == this->pools.end())
                return;
            found->second.ticking = false;
            verdicts = this->dispatch(found->second, key, now);
        }
        this->tellAll(std::move(verdicts));
    }

    void tellAll(Verdicts verdicts)
    {
        for (auto &[asker, decision] : verdicts)
            this->tell(asker, std::move(decision));
    }

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

    clock::Clock &clock;
    log::EventLog &events;
    gateway::Gateway &gateway;
    membership::Members &members;
    DatagramChannel &channel;
    const CoordinatorLimits limits;
    std::atomic<bool> stopped{false};

    // Guards what follows. Tables of the gateway are read under it; nothing is sent or called back.
    std::mutex mutex;
    Ticket lastTicket;
    std::uint64_t lastSeed = 0;
    std::map<Ticket, Ask> asks;
    std::deque<Watched> watched;                       // Invariant: in order of `until`.
    bool watching = false;                             // The timer for the first one runs.
    std::map<core::InstanceName, unsigned> unanswered; // Steps in a row.
    unsigned silent = 0; // Unanswered steps in a row, whoever was asked.
    core::TimePoint aloneUntil{};
    std::map<PoolKey, Assignee> assignees;
    std::map<PoolKey, Pool> pools;
    std::map<Ticket, Origin> origins; // By ticket in the pool.
    std::map<Asker, Ticket> tickets;  // Ticket in the pool by asker.
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
