// Input of the ownership engine, and sequential execution of its actions.
#include "control_loop.h"

#include "amaranthdale/core/hash.h"
#include "amaranthdale/records/record_codec.h"
#include "heartbeat_codec.h"

#include <algorithm>

namespace amaranthdale::daemon {

namespace {

// Snapshot pieces and no-op records use sequence numbers from here on; lower ones belong to the
// ownership engine.
constexpr std::uint64_t firstSnapshotSequence = std::uint64_t(1) << 62;

// Crash bans and retained request ids expire after minutes, so a coarse interval is sufficient.
constexpr core::Duration maintenanceInterval = std::chrono::seconds(1);
constexpr core::Duration offsetAppendTimeout = std::chrono::seconds(1);

} // namespace

ControlLoop::ControlLoop(ControlContext controlContext)
    : context(std::move(controlContext)), unavailable(this->context.recorder, this->context.self),
      logAge([] { return core::Duration::max(); }), snapshotSequence(firstSnapshotSequence)
{ }

void ControlLoop::start()
{
    this->updateEngine(
            [](decisions::OwnershipEngine &engine, core::TimePoint now) { engine.tick(now); });
}

void ControlLoop::stop()
{
    this->stopped = true;
    std::lock_guard lock(this->timerMutex);
    this->context.clock.cancel(this->timer);
}

void ControlLoop::updateEngine(const EngineUpdate &update)
{
    const core::TimePoint now = this->context.clock.now();
    const core::TimePoint wakeup = this->context.tables.ownership.with([&](OwnershipTable &table) {
        update(table.engine, now);
        for (auto &action : table.engine.takeActions())
            table.actions.push_back(std::move(action));
        return table.engine.nextWakeup();
    });
    this->performActions();
    this->scheduleWakeup(wakeup);
}

void ControlLoop::performActions()
{
    const bool claimed = this->context.tables.ownership.with(
            [](OwnershipTable &table) { return !std::exchange(table.performing, true); });
    if (!claimed)
        return;
    for (;;) {
        const auto action = this->context.tables.ownership.with(
                [](OwnershipTable &table) -> std::optional<decisions::OwnershipAction> {
                    if (table.actions.empty()) {
                        table.performing = false;
                        return std::nullopt;
                    }
                    auto next = std::move(table.actions.front());
                    table.actions.pop_front();
                    return next;
                });
        if (!action)
            return;
        std::visit([this](const auto &each) { this->perform(each); }, *action);
    }
}

void ControlLoop::scheduleWakeup(core::TimePoint wakeup)
{
    if (this->stopped)
        return;
    std::lock_guard lock(this->timerMutex);
    const bool pending =
            this->timerAt > this->context.clock.now() && this->timerAt != core::TimePoint::max();
    if (pending && this->timerAt <= wakeup)
        return;
    this->context.clock.cancel(this->timer);
    this->timerAt = wakeup;
    this->timer = this->context.clock.schedule(wakeup, [this] {
        if (this->stopped)
            return;
        {
            std::lock_guard timerLock(this->timerMutex);
            this->timerAt = core::TimePoint::max();
        }
        this->updateEngine(
                [](decisions::OwnershipEngine &engine, core::TimePoint now) { engine.tick(now); });
        this->observeAllGrants();
        this->runMaintenance();
    });
}

void ControlLoop::runMaintenance()
{
    const core::TimePoint now = this->context.clock.now();
    if (now - this->lastMaintenanceAt.load() < maintenanceInterval)
        return;
    this->lastMaintenanceAt = now;
    this->context.tables.crashFilter->with(
            [now](decisions::CrashFilter &filter) { filter.expire(now); });
    const auto runners =
            this->context.tables.runners.with([](const RunnerMap &map) { return map; });
    const bool blocked = std::any_of(runners.begin(), runners.end(), [](const auto &entry) {
        return entry.second->needsNewOffset();
    });
    if (blocked)
        this->appendNoOpRecord();
}

void ControlLoop::appendNoOpRecord()
{
    // A zero-length ban has no effect. All these records share one fingerprint and so occupy a
    // single entry in the state, and they can't cause another proposal to be rejected. A snapshot
    // would also advance the offset but is far larger.
    decisions::LogRecord record;
    record.id = {this->context.self, this->snapshotSequence++};
    record.basedOn = this->context.tables.state()->offset();
    record.body = decisions::CrashRecord{0, core::Duration::zero()};
    this->context.logService.append(records::encodeRecord(record), offsetAppendTimeout,
                                    [](const core::Outcome<core::LogOffset> &) {
                                        // If it failed, the next maintenance run appends again.
                                    });
}

peer::HeartbeatReply ControlLoop::heartbeatReceived(const peer::Heartbeat &heartbeat)
{
    const core::TimePoint now = this->context.clock.now();
    this->context.tables.membership.with([&](MembershipTable &table) {
        table.reports[heartbeat.sender.name] =
                PeerReport{heartbeat.sender, heartbeat.newestOffset, now};
    });
    mergeCrashes(heartbeat, *this->context.tables.crashFilter, now);
    decisions::HeartbeatReply reply;
    this->updateEngine([&](decisions::OwnershipEngine &engine, core::TimePoint at) {
        reply = engine.heartbeatReceived(fromMessage(heartbeat), at);
    });
    return toMessage(reply, this->context.tables.state()->offset(), this->logAge(),
                     this->context.promise);
}

void ControlLoop::instancesListed(const std::vector<logclient::ListedInstance> &instances)
{
    std::vector<decisions::InstanceView> views;
    for (const logclient::ListedInstance &instance : instances)
        views.push_back({instance.id, instance.dataCentre, instance.leaving});
    this->updateEngine([&](decisions::OwnershipEngine &engine, core::TimePoint now) {
        engine.instancesListed(views, now);
    });
}

void ControlLoop::leave()
{
    this->updateEngine(
            [](decisions::OwnershipEngine &engine, core::TimePoint now) { engine.leave(now); });
}

bool ControlLoop::hasLeft() const
{
    return this->context.tables.ownership.with(
            [](const OwnershipTable &table) { return table.engine.hasLeft(); });
}

void ControlLoop::recordApplied(core::LogOffset offset, const decisions::LogRecord &record,
                                const decisions::ApplyResult &applied)
{
    if (!applied.accepted) {
        this->context.log.write(log::Severity::Info, "record-dropped",
                                {{"offset", std::to_string(offset.value)},
                                 {"proposer", record.id.proposer.name.value},
                                 {"reason", applied.reason}});
    } else if (const auto *slots = std::get_if<decisions::SlotRecord>(&record.body)) {
        if (slots->release == decisions::ReassignmentReason::Initial)
            this->initialAssignments.insert(offset);
        this->reportOwnershipChange(*slots);
    } else if (const auto *crash = std::get_if<decisions::CrashRecord>(&record.body)) {
        const core::TimePoint now = this->context.clock.now();
        this->context.tables.crashFilter->with([&](decisions::CrashFilter &filter) {
            filter.mergeBan({crash->fingerprint, crash->ban}, now);
        });
    } else if (const auto *document = std::get_if<decisions::DocumentRecord>(&record.body)) {
        this->context.recorder.documentApplied(document->document.service,
                                               document->document.objective, offset);
    }
    if (const auto *control = std::get_if<decisions::ControllerRecord>(&record.body);
        control && applied.accepted)
        this->applyControllerRecord(*control, offset);
    if (record.id.proposer == this->context.self && record.id.sequence < firstSnapshotSequence)
        this->ownRecords.push_back(OwnRecord{record.id, offset, applied});
}

void ControlLoop::replayed(const StatePointer &state)
{
    this->context.recorder.offsetReplayed(state->offset());
    this->updateRunners(state);
    const std::vector<OwnRecord> appliedRecords = std::exchange(this->ownRecords, {});
    this->updateEngine([&](decisions::OwnershipEngine &engine, core::TimePoint now) {
        for (const OwnRecord &record : appliedRecords)
            engine.ownRecordApplied(record.id, record.offset, record.applied, now);
        engine.replayed(state, now);
    });
    const auto lastHeard = this->context.tables.membership.with([](const MembershipTable &table) {
        UnavailableSlots::LastHeard times;
        for (const auto &[name, report] : table.reports)
            times[report.id] = report.receivedAt;
        return times;
    });
    this->unavailable.replayed(state, lastHeard, this->context.clock.now());
    this->observeAllGrants();
}

void ControlLoop::observeGrants(const core::ServerName &server)
{
    const core::TimePoint now = this->context.clock.now();
    const auto granted = this->context.tables.ownership.with(
            [&](const OwnershipTable &table) { return table.engine.grantedSlots(server, now); });
    this->unavailable.updateGrantedSlots(server, granted, now);
}

void ControlLoop::observeAllGrants()
{
    for (const core::ServerName &server : this->unavailable.controlled())
        this->observeGrants(server);
}

void ControlLoop::tailReached(core::TimePoint began)
{
    this->updateEngine([began](decisions::OwnershipEngine &engine, core::TimePoint now) {
        engine.logRead(began, now);
    });
}

std::optional<core::Fence> ControlLoop::fenceForServer(const core::ServerName &server) const
{
    const core::TimePoint now = this->context.clock.now();
    return this->context.tables.ownership.with(
            [&](const OwnershipTable &table) { return table.engine.fenceForServer(server, now); });
}

std::optional<core::Fence> ControlLoop::fenceForRequest(const ForwardRequest &request) const
{
    const core::TimePoint now = this->context.clock.now();
    if (!request.ownerOnly)
        return this->fenceForServer(request.server);
    return this->context.tables.ownership.with([&](const OwnershipTable &table) {
        const auto &engine = table.engine;
        if (request.key) {
            const auto hot = engine.fenceForHotKey(request.server, *request.key, now);
            if (hot)
                return hot;
        }
        return engine.fenceForSlot(request.server, request.info.slot, now);
    });
}

void ControlLoop::appendCompleted(const decisions::RecordId &id,
                                  const core::Outcome<core::LogOffset> &offset)
{
    if (!offset)
        this->context.log.write(log::Severity::Warning, "append-failed",
                                {{"sequence", std::to_string(id.sequence)},
                                 {"kind", std::string(core::errorKindName(offset.error().kind))},
                                 {"message", offset.error().message}});
    this->updateEngine([&](decisions::OwnershipEngine &engine, core::TimePoint now) {
        if (offset)
            engine.appendAcknowledged(id, *offset, now);
        else if (offset.error().kind == core::ErrorKind::Unavailable)
            engine.appendFailed(id, now);
        else
            engine.appendOutcomeUnknown(id, now);
    });
}

void ControlLoop::reportOwnershipChange(const decisions::SlotRecord &record)
{
    using report::OwnershipCause;
    const StatePointer state = this->context.tables.state();
    const decisions::ServerState *from = state->findServer(record.from);
    OwnershipCause cause = OwnershipCause::Balance;
    if (record.release == decisions::ReassignmentReason::Initial)
        cause = OwnershipCause::FirstAssignment;
    else if (record.release == decisions::ReassignmentReason::LeaseExpired)
        cause = OwnershipCause::ServerLost;
    else if (record.release == decisions::ReassignmentReason::WaitedOut)
        cause = OwnershipCause::WaitedOut;
    else if (from && (from->removed || from->spec.leaving))
        cause = OwnershipCause::ServerLeaving;
    else if (from && state->isDrained(from->spec.dataCentre))
        cause = OwnershipCause::DataCentreDrain;
    for (const decisions::SlotMove &move : record.moves) {
        const bool onlyHotKeys = move.slots.empty() && cause == OwnershipCause::Balance;
        this->context.recorder.ownershipChanged({record.service, move.to,
                                                 move.slots.size() + move.hotKeys.size(),
                                                 onlyHotKeys ? OwnershipCause::HotKey : cause});
    }
}

} // namespace amaranthdale::daemon
