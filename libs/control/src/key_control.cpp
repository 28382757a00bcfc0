// Event loop for the granter of a keyed service.
#include "amaranthdale/control/key_control.h"

#include "amaranthdale/core/log_position.h"

#include <algorithm>

namespace amaranthdale::control {

namespace {

// Long-poll timeouts of log reads. The granter polls often, as each read extends its authority. The
// followers' timeout is below the time after which a relay counts as disconnected from the log.
constexpr auto granterPollTimeout = std::chrono::milliseconds(900);
constexpr auto followerPollTimeout = std::chrono::seconds(1);
constexpr auto readRetryDelay = std::chrono::milliseconds(300);
constexpr auto firstRecordRetryDelay = std::chrono::seconds(1);
constexpr auto granterTickInterval = std::chrono::milliseconds(100);
constexpr auto followerTickInterval = std::chrono::milliseconds(250);
constexpr auto stepDownRetryDelay = std::chrono::milliseconds(300);
constexpr auto reportInterval = std::chrono::milliseconds(500);
// Part of the allowance for calls that isn't used: a call is reset some time after its timeout.
constexpr auto callMargin = std::chrono::milliseconds(100);
// A shorter timeout would reset calls that servers answer in the usual time.
constexpr auto minCallTimeout = std::chrono::milliseconds(100);

} // namespace

KeyControl::KeyControl(KeyControlDependencies controlParts, core::ServiceName keyedService,
                       core::InstanceId instance, std::string peerAddress,
                       keyspace::LeaseOptions leaseOptions)
    : parts(controlParts), service(std::move(keyedService)), self(instance), peer(peerAddress),
      maxCallDelay(leaseOptions.maxCallDelay),
      state(tables::LockRank::Ownership,
            State{keyspace::LeaseManager(instance, peerAddress, leaseOptions),
                  keyspace::KeyLoad(),
                  keyspace::TakeoverPolicy(),
                  keyspace::HandoverPolicy(),
                  0,
                  {},
                  {},
                  {},
                  false,
                  false,
                  keyspace::GrantWitness(),
                  keyspace::WitnessSelection(leaseOptions.witnessCount),
                  {},
                  {},
                  false,
                  {},
                  {},
                  {},
                  {},
                  {}})
{ }

void KeyControl::start()
{
    this->readLog(true);
    this->scheduleTick();
}

bool KeyControl::isGranter() const
{
    return this->state.with([](const State &current) { return current.leaseManager.isGranter(); });
}

keyspace::LeaseReport KeyControl::stepDown(std::uint64_t successorEnd)
{
    const core::TimePoint now = this->parts.clock.now();
    auto leases = this->withState(
            [&](State &current) { return current.leaseManager.stepDown(successorEnd, now); });
    this->parts.events.write(log::Severity::Info, "granter-stepped-down",
                             {{"service", this->service.value},
                              {"end", std::to_string(successorEnd)},
                              {"leases", std::to_string(leases.size())}});
    return leases;
}

bool KeyControl::requestTakeover(const core::InstanceId &granter)
{
    const core::TimePoint now = this->parts.clock.now();
    const bool accepted = this->withState([&](State &current) {
        return current.handover.reachesStore(now)
                && current.leaseManager.requestTakeover(granter, now);
    });
    this->parts.events.write(log::Severity::Info, "takeover-requested",
                             {{"service", this->service.value},
                              {"granter", granter.name.value},
                              {"accepted", accepted ? "yes" : "no"}});
    if (accepted)
        this->tick();
    return accepted;
}

bool KeyControl::keepsRole() const
{
    const core::TimePoint now = this->parts.clock.now();
    return this->state.with([now](const State &current) {
        return current.leaseManager.hasAuthority(now) && current.handover.keepsRole(now);
    });
}

void KeyControl::leave()
{
    this->withState([](State &current) { current.handover.leave(); });
    this->requestTakeoverByPeer(this->parts.clock.now());
}

void KeyControl::addKeyCounts(const std::vector<keyspace::KeyCount> &counts)
{
    this->withState([&counts](State &current) { current.load.add(counts); });
}

void KeyControl::readLog(bool waiting)
{
    const auto from = this->state.with([](const State &current) {
        const bool known = current.leaseManager.assignment().has_value()
                && !current.leaseManager.needsLogRead();
        return known ? std::optional(current.leaseManager.logEnd()) : std::nullopt;
    });
    const core::TimePoint readStart = this->parts.clock.uptime();
    core::Duration wait = core::Duration::zero();
    const bool granter = this->isGranter();
    if (waiting)
        wait = granter ? core::Duration(granterPollTimeout) : core::Duration(followerPollTimeout);
    this->parts.assignments.read(
            this->service, from, wait, granter ? ReadSource::Log : ReadSource::AnyInstance,
            [self = this->shared_from_this(), waiting, readStart](core::Outcome<LogState> outcome) {
                self->onRead(waiting, readStart, std::move(outcome));
            });
}

void KeyControl::onRead(bool waiting, core::TimePoint readStart, core::Outcome<LogState> outcome)
{
    const core::TimePoint now = this->parts.clock.now();
    const bool failed = !outcome;
    if (failed != this->logUnavailable.exchange(failed))
        this->parts.events.write(failed ? log::Severity::Warning : log::Severity::Info,
                                 failed ? "assignment-log-lost" : "assignment-log-regained",
                                 {{"service", this->service.value},
                                  {"error", failed ? outcome.error().message : ""}});
    this->withState([&](State &current) {
        if (!waiting)
            current.immediateReadPending = false;
        current.handover.onStoreCall(!failed, now);
        if (failed)
            return;
        // A long poll may return after a later read that has already returned newer state.
        if (outcome->changed && outcome->end < current.leaseManager.logEnd())
            return;
        if (outcome->changed)
            current.leaseManager.onLog(std::move(outcome->newest), outcome->end,
                                       readStart - outcome->age, now);
        else
            current.leaseManager.onLogUnchanged(readStart - outcome->age, now);
    });
    if (!failed && outcome->changed) {
        this->logRecord(outcome->end);
        this->publish();
    }
    this->tick();
    if (!waiting)
        return;
    // Reads of an empty log return immediately, as there is no offset to wait at.
    const bool empty = !failed && outcome->changed && core::logOffset(outcome->end) == 0;
    if (!failed && !empty)
        return this->readLog(true);
    const core::Duration delay =
            empty ? core::Duration(firstRecordRetryDelay) : core::Duration(readRetryDelay);
    this->parts.clock.schedule(this->parts.clock.now() + delay, [weak = this->weak_from_this()] {
        if (const auto control = weak.lock())
            control->readLog(true);
    });
}

void KeyControl::publish()
{
    // Another thread may read a newer record and publish it first.
    const auto [assignment, logEnd] = this->state.with([](const State &current) {
        return std::pair(current.leaseManager.assignment(), current.leaseManager.logEnd());
    });
    if (assignment)
        this->parts.gateway.setAssignment(this->service, *assignment, logEnd);
}

void KeyControl::scheduleTick()
{
    const auto interval = this->isGranter() ? core::Duration(granterTickInterval)
                                            : core::Duration(followerTickInterval);
    this->parts.clock.schedule(this->parts.clock.now() + interval, [weak = this->weak_from_this()] {
        if (const auto control = weak.lock())
            control->onTimer();
    });
}

void KeyControl::onTimer()
{
    this->tick();
    this->reportLoad(this->parts.clock.now());
    this->reportSpeeds(this->parts.clock.now());
    this->observePlacement(this->parts.clock.now());
    this->requestPredecessorStepDown(this->parts.clock.now());
    this->queryGranter(this->parts.clock.now());
    this->requestTakeoverByPeer(this->parts.clock.now());
    this->selectWitnesses(this->parts.clock.now());
    this->requestConfirmations(this->parts.clock.now());
    this->requestAgreements(this->parts.clock.now());
    this->scheduleTick();
}

void KeyControl::tick()
{
    const core::TimePoint now = this->parts.clock.now();
    const auto candidates = this->parts.gateway.candidates(this->service, this->speeds());
    const bool elected = this->parts.election.isElected(this->service);
    const bool candidate = this->parts.election.isCandidate();
    bool read = false;
    bool roleChanged = false;
    bool granter = false;
    const auto commands = this->withState([&](State &current) {
        const auto &record = current.leaseManager.assignment();
        std::optional<core::InstanceId> otherGranter;
        if (record && record->granter != this->self)
            otherGranter = record->granter;
        current.handover.setCandidate(candidate, now);
        current.leaseManager.setElected(current.takeover.permits(elected, otherGranter, now));
        current.leaseManager.setServers(candidates, now);
        if (this->parts.serviceTimes)
            this->followLoad(current);
        auto due = current.leaseManager.tick(now, current.load);
        read = current.leaseManager.needsLogRead() && !current.immediateReadPending
                && current.leaseManager.logEnd() > 0 && now >= current.nextImmediateRead;
        current.immediateReadPending = current.immediateReadPending || read;
        if (read)
            current.nextImmediateRead = now + readRetryDelay;
        granter = current.leaseManager.isGranter();
        roleChanged = granter != current.wasGranter;
        current.wasGranter = granter;
        if (roleChanged) {
            current.nextStepDownRequest = {};
            current.nextAgreementRequest = {};
        }
        return due;
    });
    if (roleChanged)
        this->parts.events.write(
                log::Severity::Info, granter ? "granter-begun" : "granter-ended",
                {{"service", this->service.value}, {"instance", this->self.name.value}});
    if (roleChanged && granter) {
        this->requestPredecessorStepDown(now);
        this->requestAgreements(now);
    }
    this->logFreedKeys();
    if (read)
        this->readLog(false);
    for (const keyspace::Command &command : commands)
        this->execute(command);
}

void KeyControl::execute(const keyspace::Command &command)
{
    if (const auto *grant = std::get_if<keyspace::GrantCommand>(&command))
        return this->sendGrant(*grant);
    if (const auto *release = std::get_if<keyspace::ReleaseCommand>(&command))
        return this->sendRelease(*release);
    this->append(std::get<keyspace::AppendCommand>(command));
}

// Ignores the incarnation: a later process of the owner accepts calls to the earlier one, including
// releases.
std::optional<core::Endpoint> KeyControl::endpointOf(const keyspace::ServerIncarnation &run) const
{
    return this->parts.gateway.withDirectory(
            [&run](const catalog::Directory &servers) -> std::optional<core::Endpoint> {
                const catalog::BackendServer *server = servers.find(run.name);
                if (server == nullptr)
                    return std::nullopt;
                return server->endpoint;
            });
}

void KeyControl::sendGrant(const keyspace::GrantCommand &command)
{
    const auto done = [weak = this->weak_from_this(), command](keyspace::CommandResult result) {
        const auto control = weak.lock();
        if (!control)
            return;
        control->withState([&](State &current) {
            current.leaseManager.onGrant(command.id, result, control->parts.clock.now());
        });
        control->logGrant(command, result);
        if (result != keyspace::CommandResult::Success)
            control->tick();
    };
    const auto endpoint = this->endpointOf(command.ownedRange.owner);
    if (!endpoint)
        return done(keyspace::CommandResult::NotExecuted);
    this->parts.gateway.statistics().count("grants_total");
    // The allowance counts from the creation of the command, not from here.
    const core::Duration delay = this->parts.clock.now() - command.createdAt;
    const core::Duration timeout = this->maxCallDelay - callMargin - delay;
    if (delay > callMargin)
        this->logDelayedGrant(command, delay);
    if (timeout < minCallTimeout)
        return done(keyspace::CommandResult::NotExecuted);
    this->parts.grants.grant(*endpoint, command, timeout, done);
}

void KeyControl::sendRelease(const keyspace::ReleaseCommand &command)
{
    const auto done = [weak = this->weak_from_this(), command](keyspace::CommandResult result,
                                                               std::string handover) {
        const auto control = weak.lock();
        if (!control)
            return;
        control->withState([&](State &current) {
            current.leaseManager.onRelease(command.id, result, std::move(handover),
                                           control->parts.clock.now());
        });
        control->parts.events.write(
                log::Severity::Info, "keys-released",
                {{"service", control->service.value},
                 {"server", command.owner.name.value},
                 {"first", std::to_string(command.keys.first)},
                 {"last", std::to_string(command.keys.last)},
                 {"fence", std::to_string(command.fence)},
                 {"result", result == keyspace::CommandResult::Success ? "done" : "no-answer"}});
        control->tick();
    };
    const auto endpoint = this->endpointOf(command.owner);
    if (!endpoint)
        return done(keyspace::CommandResult::NotExecuted, "");
    this->parts.grants.release(*endpoint, command, done);
}

void KeyControl::append(const keyspace::AppendCommand &command)
{
    this->parts.assignments.append(
            this->service, command,
            [weak = this->weak_from_this(), command](keyspace::AppendResult result) {
                const auto control = weak.lock();
                if (!control)
                    return;
                control->withState([&](State &current) {
                    const core::TimePoint now = control->parts.clock.now();
                    const bool responded = result == keyspace::AppendResult::Success
                            || result == keyspace::AppendResult::Conflict;
                    current.handover.onStoreCall(responded, now);
                    current.leaseManager.onAppend(command.id, result, now);
                });
                const bool done = result == keyspace::AppendResult::Success;
                control->parts.events.write(
                        log::Severity::Info, "assignment-appended",
                        {{"service", control->service.value},
                         {"offset", std::to_string(command.expectedEnd)},
                         {"ranges", std::to_string(command.assignment.ownedRanges.size())},
                         {"result",
                          done                                                 ? "done"
                                  : result == keyspace::AppendResult::Conflict ? "conflict"
                                                                               : "open"}});
                if (done)
                    control->publish();
                control->tick();
            });
}

// Asks the replaced granters to step down. Until they have, the keys of failed owners cannot move
// before their authority expires.
void KeyControl::requestPredecessorStepDown(core::TimePoint now)
{
    const auto requests = this->withState([now](State &current) {
        if (now < current.nextStepDownRequest)
            return std::vector<keyspace::StepDownRequest>();
        current.nextStepDownRequest = now + stepDownRetryDelay;
        return current.leaseManager.predecessors(now);
    });
    for (const keyspace::StepDownRequest &request : requests) {
        this->parts.peers.requestStepDown(
                request, this->service,
                [weak = this->weak_from_this(),
                 request](const std::optional<keyspace::LeaseReport> &leases) {
                    const auto control = weak.lock();
                    if (!control)
                        return;
                    control->withState([&](State &current) {
                        current.leaseManager.onPredecessorEnded(request, leases,
                                                                control->parts.clock.now());
                    });
                    control->parts.events.write(
                            log::Severity::Info, "predecessor-ended",
                            {{"service", control->service.value},
                             {"instance", request.predecessor.instance.name.value},
                             {"end", std::to_string(request.successorEnd)},
                             {"leases", leases ? std::to_string(leases->size()) : "unknown"}});
                    control->tick();
                });
    }
}

// The election prefers instances without regard to the granter, which keeps its role if it works.
void KeyControl::queryGranter(core::TimePoint now)
{
    const auto granter =
            this->withState([now](State &current) -> std::optional<keyspace::Predecessor> {
                const auto &record = current.leaseManager.assignment();
                if (!record || !current.takeover.isQueryDue(now))
                    return std::nullopt;
                return keyspace::Predecessor{record->granter, record->granterPeer};
            });
    if (!granter)
        return;
    this->parts.peers.queryGranter(*granter, this->service,
                                   [weak = this->weak_from_this(),
                                    instance = granter->instance](std::optional<bool> keeps) {
                                       const auto control = weak.lock();
                                       if (!control)
                                           return;
                                       control->withState([&](State &current) {
                                           current.takeover.onStatus(instance, keeps,
                                                                     control->parts.clock.now());
                                       });
                                       control->tick();
                                   });
}

// Asks another instance to take over if this one is the granter and has lost the store. Until the
// other one has, this instance goes on renewing leases.
void KeyControl::requestTakeoverByPeer(core::TimePoint now)
{
    const auto attempt = this->withState([now](State &current) -> std::optional<std::size_t> {
        if (!current.leaseManager.hasAuthority(now) || !current.handover.isRequestDue(now))
            return std::nullopt;
        return current.takeoverRequests++;
    });
    if (!attempt)
        return;
    const auto successors = this->parts.successors.successors();
    if (successors.empty())
        return;
    this->parts.peers.requestTakeover(successors[*attempt % successors.size()], this->service,
                                      this->self);
}

void KeyControl::reportLoad(core::TimePoint now)
{
    const bool due = this->withState([now](State &current) {
        if (now < current.nextReport)
            return false;
        current.nextReport = now + reportInterval;
        current.load.decay(loadDecay);
        return true;
    });
    if (!due)
        return;
    const auto counts = this->parts.gateway.takeKeyCounts(this->service);
    this->addKeyCounts(counts);
    const auto assignment = this->state.with(
            [](const State &current) { return current.leaseManager.assignment(); });
    if (assignment && assignment->granter != this->self && !counts.empty())
        this->parts.peers.report(assignment->granterPeer, this->service, counts);
}

} // namespace amaranthdale::control
