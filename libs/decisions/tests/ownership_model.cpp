// Simulated processes, message delivery, log and faults.
#include "ownership_model.h"

#include <algorithm>

namespace amaranthdale::decisions::model {

namespace {

constexpr milliseconds latency(1);
constexpr milliseconds stepTime(1);
constexpr milliseconds requestTimeout(400);
constexpr milliseconds answerTimeout(100);
constexpr unsigned dataCentres = 3;

core::DataCentreName dataCentreName(unsigned index)
{
    return core::DataCentreName("dc" + std::to_string(index % dataCentres));
}

} // namespace

Model::Model(ModelSettings initialSettings)
    : settings(std::move(initialSettings)), random(this->settings.seed)
{
    ServiceDocument document;
    document.service = core::ServiceName("stockroom");
    document.hashSlots = this->settings.slots;
    document.requestTimeout = requestTimeout;
    for (unsigned index = 0; index < this->settings.servers; ++index) {
        auto server = std::make_unique<ModelServer>();
        server->name = "s" + std::to_string(index);
        server->dataCentre = dataCentreName(index);
        server->checksFence = this->settings.checksFence;
        server->clockOffset = std::chrono::seconds(this->random() % 1000);
        BackendServer spec;
        spec.name = core::ServerName(server->name);
        spec.dataCentre = server->dataCentre;
        spec.checksFence = server->checksFence;
        document.servers.push_back(spec);
        this->servers.push_back(std::move(server));
    }
    for (unsigned index = 0; index < this->settings.instances; ++index) {
        auto instance = std::make_unique<ModelInstance>();
        instance->name = "i" + std::to_string(index);
        instance->dataCentre = dataCentreName(index);
        this->instances.push_back(std::move(instance));
        this->start(*this->instances.back());
    }
    this->append(DocumentRecord{document});
}

void Model::start(ModelInstance &instance)
{
    instance.alive = true;
    instance.frozen = false;
    instance.backlog.clear();
    instance.incarnation = ++this->lastIncarnation;
    instance.readInFlight = false;
    instance.state = std::make_shared<ClusterState>();
    OwnershipSettings own;
    own.self = InstanceView{instance.id(), instance.dataCentre, false};
    own.seed = this->random();
    const OwnershipTimings timings;
    std::unique_ptr<AuthorityPolicy> policy = std::make_unique<NamedSuccessorAuthority>(timings);
    if (this->settings.policy)
        policy = this->settings.policy(timings);
    instance.engine = std::make_unique<OwnershipEngine>(
            own, std::move(policy), std::make_unique<RendezvousPlacement>(), this->now());
}

void Model::kill(Process &process)
{
    process.alive = false;
    process.backlog.clear();
}

void Model::resume(Process &process)
{
    process.frozen = false;
    std::deque<Task> waiting = std::exchange(process.backlog, {});
    for (const Task &task : waiting) {
        if (process.alive)
            task();
    }
}

void Model::restartInstance(ModelInstance &instance)
{
    this->start(instance);
}

void Model::restartServer(ModelServer &server)
{
    server.alive = true;
    server.frozen = false;
    server.backlog.clear();
    server.incarnation = ++this->lastIncarnation;
    server.clockOffset = std::chrono::seconds(this->random() % 1000);
    server.fence = core::Fence();
    server.expiresAt = core::Duration::zero();
    server.slots.clear();
}

void Model::isolate(const std::set<std::string> &side)
{
    std::vector<std::string> names{"log", "list"};
    for (const auto &instance : this->instances)
        names.push_back(instance->name);
    for (const auto &server : this->servers)
        names.push_back(server->name);
    for (const std::string &a : names) {
        for (const std::string &b : names) {
            if (side.contains(a) != side.contains(b))
                this->cut(a, b);
        }
    }
}

bool Model::isLinked(const std::string &from, const std::string &to) const
{
    return !this->cutLinks.contains({from, to});
}

void Model::deliver(Process &to, std::uint64_t incarnation, Task task)
{
    if (!to.alive || to.incarnation != incarnation)
        return;
    if (to.frozen)
        to.backlog.push_back(std::move(task));
    else
        task();
}

void Model::send(Process &from, Process *to, const std::string &toName, Task task)
{
    if (!this->isLinked(from.name, toName))
        return;
    const std::uint64_t incarnation = to ? to->incarnation : 0;
    this->clock.schedule(this->now() + latency, [this, to, incarnation, task = std::move(task)] {
        if (to)
            this->deliver(*to, incarnation, task);
        else
            task();
    });
}

void Model::run(core::Duration time)
{
    const core::TimePoint end = this->now() + time;
    while (this->now() < end)
        this->step();
}

bool Model::runUntilServed(core::Duration limit)
{
    const core::TimePoint end = this->now() + limit;
    const auto allServed = [this] {
        const std::vector<SlotView> views = this->observe();
        return std::all_of(views.begin(), views.end(),
                           [](const SlotView &view) { return view.served; });
    };
    while (this->now() < end && !allServed())
        this->step();
    return allServed();
}

void Model::step()
{
    this->clock.advance(stepTime);
    ++this->steps;
    if (this->steps % 500 == 1 && !this->listFrozen) {
        this->instanceList.clear();
        for (const auto &instance : this->instances) {
            if (instance->alive)
                this->instanceList.push_back({instance->id(), instance->dataCentre, false});
        }
    }
    for (const auto &instance : this->instances) {
        if (!instance->isRunning())
            continue;
        if (this->steps % 10 == 0)
            this->readLog(*instance);
        if (this->steps % 500 == 2)
            this->fetchList(*instance);
        if (this->now() >= instance->engine->nextWakeup())
            instance->engine->tick(this->now());
        this->perform(*instance);
        if (this->steps % 5 == 0)
            this->sendRequests(*instance);
    }
    const std::vector<SlotView> views = this->observe();
    this->check(views);
    this->measure(views);
}

void Model::perform(ModelInstance &instance)
{
    for (const OwnershipAction &action : instance.engine->takeActions())
        this->perform(instance, action);
}

void Model::perform(ModelInstance &instance, const OwnershipAction &action)
{
    if (const auto *probe = std::get_if<ProbeServer>(&action))
        this->probe(instance, probe->server, nullptr);
    else if (const auto *grant = std::get_if<SendGrant>(&action))
        this->probe(instance, grant->server, grant);
    else if (const auto *append = std::get_if<AppendRecord>(&action))
        this->appendFrom(instance, append->record);
    else if (const auto *stop = std::get_if<PauseAdmission>(&action))
        this->clock.schedule(
                this->now() + milliseconds(3),
                [this, &instance, incarnation = instance.incarnation, server = stop->server] {
                    this->deliver(instance, incarnation, [this, &instance, server] {
                        instance.engine->slotsIdle(server, this->now());
                    });
                });
    else if (const auto *sendHeartbeat = std::get_if<SendHeartbeat>(&action)) {
        ModelInstance *peer = this->findInstance(sendHeartbeat->to);
        if (!peer)
            return;
        this->send(
                instance, peer, peer->name,
                [this, &instance, peer, incarnation = instance.incarnation,
                 heartbeat = sendHeartbeat->heartbeat, sentAt = this->now()] {
                    const HeartbeatReply reply =
                            peer->engine->heartbeatReceived(heartbeat, this->now());
                    if (instance.incarnation != incarnation)
                        return;
                    this->send(*peer, &instance, instance.name, [this, &instance, reply, sentAt] {
                        instance.engine->heartbeatReplyReceived(reply, sentAt, this->now());
                    });
                });
    }
}

void Model::probe(ModelInstance &instance, const core::ServerName &name, const SendGrant *grant)
{
    ModelServer *server = this->findServer(name);
    const core::TimePoint sentAt = this->now();
    const auto answered = std::make_shared<bool>(false);
    const std::shared_ptr<SendGrant> copy = grant ? std::make_shared<SendGrant>(*grant) : nullptr;
    this->send(
            instance, server, server->name,
            [this, &instance, server, copy, sentAt, answered, incarnation = instance.incarnation] {
                ServerReply answer = this->respondTo(*server, copy.get());
                answer.sentAt = sentAt;
                if (instance.incarnation != incarnation)
                    return;
                this->send(*server, &instance, instance.name, [this, &instance, answer, answered] {
                    if (!std::exchange(*answered, true))
                        instance.engine->serverReplyReceived(answer, this->now());
                });
            });
    this->clock.schedule(
            sentAt + answerTimeout,
            [this, &instance, name, answered, incarnation = instance.incarnation] {
                this->deliver(instance, incarnation, [this, &instance, name, answered] {
                    if (std::exchange(*answered, true))
                        return;
                    ServerReply noAnswer;
                    noAnswer.server = name;
                    instance.engine->serverReplyReceived(noAnswer, this->now());
                });
            });
}

ServerReply Model::respondTo(ModelServer &server, const SendGrant *grant)
{
    ServerReply answer;
    answer.server = core::ServerName(server.name);
    answer.kind = ServerReply::Kind::Accepted;
    if (grant) {
        answer.fence = grant->fence;
        const bool other = grant->incarnation.value != server.incarnation;
        if (server.checksFence && other)
            answer.kind = ServerReply::Kind::IncarnationMismatch;
        else if (server.checksFence && grant->fence < server.fence)
            answer.kind = ServerReply::Kind::HigherEpoch;
        if (answer.kind == ServerReply::Kind::Accepted) {
            server.fence = grant->fence;
            server.expiresAt = grant->expiresAt;
            server.slots = {grant->slots.begin(), grant->slots.end()};
        }
    }
    answer.incarnation = core::Incarnation(server.incarnation);
    answer.epoch = server.checksFence ? server.fence.epoch : core::Epoch();
    answer.serverNow = this->clockOfServer(server);
    return answer;
}

void Model::appendFrom(ModelInstance &instance, const LogRecord &record)
{
    const RecordId id = record.id;
    const auto report = [this, &instance, incarnation = instance.incarnation](milliseconds after,
                                                                              Task task) {
        this->clock.schedule(this->now() + after,
                             [this, &instance, incarnation, task = std::move(task)] {
                                 this->deliver(instance, incarnation, task);
                             });
    };
    const Task open = [this, &instance, id] {
        instance.engine->appendOutcomeUnknown(id, this->now());
    };
    if (this->logDown || !this->isLinked(instance.name, "log")) {
        // Half of the failed appends report a certain failure, the others look like a time-out.
        if (this->random() % 2 == 0)
            report(latency,
                   [this, &instance, id] { instance.engine->appendFailed(id, this->now()); });
        else
            report(milliseconds(200), open);
        return;
    }
    const bool lost = std::uniform_real_distribution<>(0, 1)(this->random) < this->responseLossRate
            || !this->isLinked("log", instance.name);
    const core::Duration delay = this->appendDelay;
    this->clock.schedule(
            this->now() + latency + delay,
            [this, &instance, record, id, lost, delay, incarnation = instance.incarnation] {
                core::LogOffset offset;
                this->appendToLog(record, &offset);
                if (lost || delay > core::Duration::zero())
                    return;
                this->acknowledged.insert(id);
                this->clock.schedule(
                        this->now() + latency, [this, &instance, id, offset, incarnation] {
                            this->deliver(instance, incarnation, [this, &instance, id, offset] {
                                instance.engine->appendAcknowledged(id, offset, this->now());
                            });
                        });
            });
    if (lost || delay > core::Duration::zero())
        report(milliseconds(200), open);
}

void Model::appendToLog(const LogRecord &record, core::LogOffset *offset)
{
    this->records.push_back(record);
    *offset = core::LogOffset(this->records.size());
    if (!this->reference.apply(*offset, record).accepted)
        ++this->dropped;
}

void Model::append(RecordBody body)
{
    const core::InstanceId user{core::InstanceName("operator:test"), core::Incarnation()};
    core::LogOffset offset;
    this->appendToLog(LogRecord{RecordId{user, ++this->operatorRecords}, this->reference.offset(),
                                std::move(body)},
                      &offset);
}

void Model::readLog(ModelInstance &instance)
{
    if (this->logDown || instance.readInFlight || !this->isLinked(instance.name, "log"))
        return;
    instance.readInFlight = true;
    this->clock.schedule(
            this->now() + latency,
            [this, &instance, began = this->now(), incarnation = instance.incarnation] {
                const std::size_t tail = this->records.size();
                const bool lost = this->logDown || !this->isLinked("log", instance.name);
                this->clock.schedule(this->now() + latency, [=, this, &instance] {
                    this->deliver(instance, incarnation, [=, this, &instance] {
                        instance.readInFlight = false;
                        if (!lost)
                            this->replayUpTo(instance, tail, began);
                    });
                });
            });
}

void Model::replayUpTo(ModelInstance &instance, std::size_t tail, core::TimePoint began)
{
    if (instance.state->offset().value < tail) {
        instance.state = std::make_shared<ClusterState>(*instance.state);
        for (std::size_t next = instance.state->offset().value; next < tail; ++next) {
            const LogRecord &record = this->records[next];
            const core::LogOffset offset(next + 1);
            const ApplyResult applied = instance.state->apply(offset, record);
            if (record.id.proposer == instance.id())
                instance.engine->ownRecordApplied(record.id, offset, applied, this->now());
        }
        instance.engine->replayed(instance.state, this->now());
    }
    instance.engine->logRead(began, this->now());
}

void Model::fetchList(ModelInstance &instance)
{
    if (!this->isLinked(instance.name, "list"))
        return;
    instance.engine->instancesListed(this->instanceList, this->now());
}

} // namespace amaranthdale::decisions::model
