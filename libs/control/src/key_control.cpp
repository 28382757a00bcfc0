// Event loop of a keyed service's granter.
#include "amaranthdale/control/key_control.h"

#include <algorithm>

namespace amaranthdale::control {

namespace {

// The granter reads often, as each read extends its authority. Others wait for news; the wait stays
// below the time after which a relay counts as cut off from the log.
constexpr auto granterWait = std::chrono::milliseconds(900);
constexpr auto followerWait = std::chrono::seconds(1);
constexpr auto readRetry = std::chrono::milliseconds(300);
constexpr auto firstRecordRetry = std::chrono::seconds(1);
constexpr auto granterTick = std::chrono::milliseconds(100);
constexpr auto followerTick = std::chrono::milliseconds(250);
constexpr auto stepDownRepeat = std::chrono::milliseconds(300);
constexpr auto reportInterval = std::chrono::milliseconds(500);

// Counts halve in about 1.5 s, so that a new hot range outweighs the past within seconds.
constexpr float decayPerReport = 0.8F;

} // namespace

KeyControl::KeyControl(KeyControlParts controlParts, core::ServiceName keyedService,
                       core::InstanceId instance, std::string peerAddress,
                       keyspace::GranterLimits granterLimits)
    : parts(controlParts), service(std::move(keyedService)), self(instance), peer(peerAddress),
      state(tables::LockRank::Ownership,
            State{keyspace::Granter(instance, peerAddress, granterLimits),
                  keyspace::KeyLoad(),
                  {},
                  {},
                  {},
                  false,
                  false})
{ }

void KeyControl::start()
{
    this->readLog(true);
    this->scheduleTick();
}

bool KeyControl::isGranter() const
{
    return this->state.with([](const State &current) { return current.granter.isGranter(); });
}

void KeyControl::stepDown()
{
    this->state.with([](State &current) { current.granter.stepDown(); });
    this->parts.events.write(log::Severity::Info, "granter-stepped-down",
                             {{"service", this->service.value}});
}

void KeyControl::addCounts(const std::vector<keyspace::KeyCount> &counts)
{
    this->state.with([&counts](State &current) { current.load.add(counts); });
}

void KeyControl::readLog(bool waiting)
{
    const auto from = this->state.with([](const State &current) {
        const bool known = current.granter.assignment().has_value() && !current.granter.needsLog();
        return known ? std::optional(current.granter.logEnd()) : std::nullopt;
    });
    const core::TimePoint began = this->parts.clock.uptime();
    core::Duration wait = core::Duration::zero();
    const bool granter = this->isGranter();
    if (waiting)
        wait = granter ? core::Duration(granterWait) : core::Duration(followerWait);
    this->parts.assignments.read(
            this->service, from, wait, granter ? ReadFrom::Log : ReadFrom::Anyone,
            [self = this->shared_from_this(), waiting, began](core::Outcome<LogState> outcome) {
                self->onRead(waiting, began, std::move(outcome));
            });
}

void KeyControl::onRead(bool waiting, core::TimePoint began, core::Outcome<LogState> outcome)
{
    const core::TimePoint now = this->parts.clock.uptime();
    const bool failed = !outcome;
    if (failed != this->readFailing.exchange(failed))
        this->parts.events.write(failed ? log::Severity::Warning : log::Severity::Info,
                                 failed ? "assignment-log-lost" : "assignment-log-regained",
                                 {{"service", this->service.value},
                                  {"error", failed ? outcome.error().message : ""}});
    this->state.with([&](State &current) {
        if (!waiting)
            current.oneShotRead = false;
        if (failed)
            return;
        // A long read may end after a later one has told more.
        if (outcome->changed && outcome->end < current.granter.logEnd())
            return;
        if (outcome->changed)
            current.granter.onLog(std::move(outcome->newest), outcome->end, began - outcome->age,
                                  now);
        else
            current.granter.onLogUnchanged(began - outcome->age, now);
    });
    if (!failed && outcome->changed)
        this->publish();
    this->tick();
    if (!waiting)
        return;
    // The read for the first record has nothing to wait on.
    const bool empty = !failed && outcome->changed && outcome->end == 0;
    if (!failed && !empty)
        return this->readLog(true);
    const core::Duration delay =
            empty ? core::Duration(firstRecordRetry) : core::Duration(readRetry);
    this->parts.clock.schedule(this->parts.clock.now() + delay, [weak = this->weak_from_this()] {
        if (const auto control = weak.lock())
            control->readLog(true);
    });
}

void KeyControl::publish()
{
    const auto assignment =
            this->state.with([](const State &current) { return current.granter.assignment(); });
    if (assignment)
        this->parts.gateway.setAssignment(this->service, *assignment);
}

void KeyControl::scheduleTick()
{
    const auto interval =
            this->isGranter() ? core::Duration(granterTick) : core::Duration(followerTick);
    this->parts.clock.schedule(this->parts.clock.now() + interval, [weak = this->weak_from_this()] {
        if (const auto control = weak.lock())
            control->onTimer();
    });
}

void KeyControl::onTimer()
{
    this->tick();
    this->reportLoad(this->parts.clock.now());
    this->askPredecessor(this->parts.clock.now());
    this->scheduleTick();
}

void KeyControl::tick()
{
    const core::TimePoint now = this->parts.clock.uptime();
    const auto candidates = this->parts.gateway.candidates(this->service);
    const bool elected = this->parts.election.isElected(this->service);
    bool read = false;
    bool became = false;
    bool granter = false;
    const auto orders = this->state.with([&](State &current) {
        current.granter.setElected(elected);
        current.granter.setServers(candidates, now);
        auto due = current.granter.tick(now, current.load);
        read = current.granter.needsLog() && !current.oneShotRead && current.granter.logEnd() > 0
                && now >= current.nextOneShot;
        current.oneShotRead = current.oneShotRead || read;
        if (read)
            current.nextOneShot = now + readRetry;
        granter = current.granter.isGranter();
        became = granter != current.wasGranter;
        current.wasGranter = granter;
        return due;
    });
    if (became)
        this->parts.events.write(
                log::Severity::Info, granter ? "granter-begun" : "granter-ended",
                {{"service", this->service.value}, {"instance", this->self.name.value}});
    if (read)
        this->readLog(false);
    for (const keyspace::Order &order : orders)
        this->carryOut(order);
}

void KeyControl::carryOut(const keyspace::Order &order)
{
    if (const auto *grant = std::get_if<keyspace::GrantOrder>(&order))
        return this->sendGrant(*grant);
    if (const auto *release = std::get_if<keyspace::ReleaseOrder>(&order))
        return this->sendRelease(*release);
    this->append(std::get<keyspace::AppendOrder>(order));
}

// A later run of the owner takes calls that are meant for it, releases among them.
std::optional<core::Endpoint> KeyControl::endpointOf(const keyspace::ServerRun &run) const
{
    return this->parts.gateway.withDirectory(
            [&run](const catalog::Directory &servers) -> std::optional<core::Endpoint> {
                const catalog::BackendServer *server = servers.find(run.name);
                if (server == nullptr)
                    return std::nullopt;
                return server->endpoint;
            });
}

void KeyControl::sendGrant(const keyspace::GrantOrder &order)
{
    const auto done = [weak = this->weak_from_this(), id = order.id](keyspace::OrderResult result) {
        const auto control = weak.lock();
        if (!control)
            return;
        control->state.with([&](State &current) {
            current.granter.onGrant(id, result, control->parts.clock.uptime());
        });
        if (result != keyspace::OrderResult::Done)
            control->tick();
    };
    const auto endpoint = this->endpointOf(order.holding.owner);
    if (!endpoint)
        return done(keyspace::OrderResult::NotSent);
    this->parts.gateway.statistics().count("grants_total");
    this->parts.grants.grant(*endpoint, order, done);
}

void KeyControl::sendRelease(const keyspace::ReleaseOrder &order)
{
    const auto done = [weak = this->weak_from_this(), order](keyspace::OrderResult result,
                                                             std::string handover) {
        const auto control = weak.lock();
        if (!control)
            return;
        control->state.with([&](State &current) {
            current.granter.onRelease(order.id, result, std::move(handover),
                                      control->parts.clock.uptime());
        });
        control->parts.events.write(
                log::Severity::Info, "keys-released",
                {{"service", control->service.value},
                 {"server", order.owner.name.value},
                 {"first", std::to_string(order.keys.first)},
                 {"last", std::to_string(order.keys.last)},
                 {"fence", std::to_string(order.fence)},
                 {"result", result == keyspace::OrderResult::Done ? "done" : "no-answer"}});
        control->tick();
    };
    const auto endpoint = this->endpointOf(order.owner);
    if (!endpoint)
        return done(keyspace::OrderResult::NotSent, "");
    this->parts.grants.release(*endpoint, order, done);
}

void KeyControl::append(const keyspace::AppendOrder &order)
{
    this->parts.assignments.append(
            this->service, order,
            [weak = this->weak_from_this(), order](keyspace::AppendResult result) {
                const auto control = weak.lock();
                if (!control)
                    return;
                control->state.with([&](State &current) {
                    current.granter.onAppend(order.id, result, control->parts.clock.uptime());
                });
                const bool done = result == keyspace::AppendResult::Done;
                control->parts.events.write(
                        log::Severity::Info, "assignment-appended",
                        {{"service", control->service.value},
                         {"offset", std::to_string(order.expectedEnd)},
                         {"ranges", std::to_string(order.assignment.holdings.size())},
                         {"result",
                          done                                                 ? "done"
                                  : result == keyspace::AppendResult::Conflict ? "conflict"
                                                                               : "open"}});
                if (done)
                    control->publish();
                control->tick();
            });
}

// Until the replaced granter is known to have ended, the keys of lost owners wait for its rights to
// run out.
void KeyControl::askPredecessor(core::TimePoint now)
{
    const auto predecessor =
            this->state.with([now](State &current) -> std::optional<keyspace::Predecessor> {
                if (now < current.nextStepDownRequest)
                    return std::nullopt;
                current.nextStepDownRequest = now + stepDownRepeat;
                return current.granter.predecessor();
            });
    if (!predecessor)
        return;
    this->parts.peers.requestStepDown(*predecessor, this->service, [weak = this->weak_from_this()] {
        const auto control = weak.lock();
        if (!control)
            return;
        control->state.with([&](State &current) {
            current.granter.onPredecessorEnded(control->parts.clock.uptime());
        });
    });
}

void KeyControl::reportLoad(core::TimePoint now)
{
    const bool due = this->state.with([now](State &current) {
        if (now < current.nextReport)
            return false;
        current.nextReport = now + reportInterval;
        current.load.decay(decayPerReport);
        return true;
    });
    if (!due)
        return;
    const auto counts = this->parts.gateway.takeKeyCounts(this->service);
    this->addCounts(counts);
    const auto assignment =
            this->state.with([](const State &current) { return current.granter.assignment(); });
    if (assignment && assignment->granter != this->self && !counts.empty())
        this->parts.peers.report(assignment->granterPeer, this->service, counts);
}

} // namespace amaranthdale::control
