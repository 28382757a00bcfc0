// Creation and update of the runners and ledgers of the servers that this instance controls.
#include "control_loop.h"

#include "amaranthdale/core/hash.h"

namespace amaranthdale::daemon {

namespace {

decisions::ServerDispatcher makeDispatcher(const decisions::ServerState &server,
                                           const decisions::ServiceDocument &document,
                                           decisions::ServerDispatcher::SharedCrashFilter filter,
                                           core::TimePoint now)
{
    decisions::DispatcherOptions options;
    options.server = server.spec.name;
    options.brands = document.brands;
    options.ledger.callerWindow = document.idempotencyWindow;
    const decisions::LimitBounds bounds{server.spec.coldSlots, server.spec.requestSlots};
    return decisions::ServerDispatcher(std::move(options),
                                       std::make_unique<decisions::AdaptiveLimit>(bounds, now),
                                       std::move(filter));
}

} // namespace

void ControlLoop::applyControllerRecord(const decisions::ControllerRecord &record,
                                        core::LogOffset offset)
{
    if (record.controller != this->context.self) {
        this->controlled.erase(record.server);
        return;
    }
    if (!this->controlled.contains(record.server))
        this->reacquired.insert(record.server);
    this->controlled[record.server] = core::Epoch(offset.value);
}

void ControlLoop::updateRunners(const StatePointer &clusterState)
{
    for (const auto &[name, server] : clusterState->servers()) {
        if (server.controller && server.controller->instance == this->context.self)
            this->updateRunner(*clusterState, name, server);
    }
    this->resumeAfterHotKeyMoves(*clusterState);
    this->dropRunners(*clusterState);
}

void ControlLoop::updateRunner(const decisions::ClusterState &clusterState,
                               const core::ServerName &name, const decisions::ServerState &server)
{
    const decisions::ServiceState *service = clusterState.findService(server.service);
    if (!service)
        return;
    auto runner = this->context.tables.runner(name);
    if (!runner) {
        const RunnerContext runnerContext{this->context.clock, this->context.backends, *this};
        runner = std::make_shared<ServerRunner>(runnerContext, name, server.spec.endpoint,
                                                makeDispatcher(server, service->document,
                                                               this->context.tables.crashFilter,
                                                               this->context.clock.now()));
        this->startedSlots.erase(name);
        this->context.tables.runners.with([&](RunnerMap &map) { map[name] = runner; });
        this->context.log.write(log::Severity::Info, "control-begun",
                                {{"server", name.value},
                                 {"epoch", std::to_string(server.controller->epoch.value)}});
    }
    // Ledgers from an earlier period of control lack the requests that another instance ran since
    // then.
    const core::Epoch epoch = server.controller->epoch;
    const bool continuous = this->reacquired.erase(name) == 0 && this->controlled[name] == epoch;
    if (!continuous) {
        runner->clearLedgers();
        this->startedSlots.erase(name);
    }
    this->controlled[name] = epoch;
    runner->setEndpoint(server.spec.endpoint);
    runner->updateDispatcher([&](decisions::ServerDispatcher &dispatcher, core::TimePoint now) {
        dispatcher.replayed(clusterState.offset(), now);
        return decisions::Actions();
    });
    this->updateSlots(*runner, *service, name, server.controller->epoch);
}

void ControlLoop::updateSlots(ServerRunner &runner, const decisions::ServiceState &service,
                              const core::ServerName &name, core::Epoch epoch)
{
    StartedSlots owned;
    const auto add = [&](core::SlotIndex slot, core::LogOffset changedAt) {
        owned[slot] = std::max(changedAt, core::LogOffset(epoch.value));
    };
    for (core::SlotIndex slot = 0; slot < service.slots.size(); ++slot) {
        if (service.slots[slot].server == name)
            add(slot, service.slots[slot].changedAt);
    }
    for (const auto &[key, owner] : service.hotKeys) {
        const core::SlotIndex slot =
                core::slotForKey(key, service.document.hashSeed, service.document.hashSlots);
        if (owner.server == name && !owned.contains(slot))
            add(slot, owner.changedAt);
    }

    StartedSlots &started = this->startedSlots[name];
    for (const auto &[slot, since] : started) {
        if (!owned.contains(slot))
            runner.retireSlot(slot);
    }
    runner.updateDispatcher([&](decisions::ServerDispatcher &dispatcher, core::TimePoint now) {
        for (const auto &[slot, since] : owned) {
            const auto present = started.find(slot);
            if (present == started.end())
                dispatcher.startSlot(slot, since, this->initialAssignments.contains(since), now);
            else
                owned[slot] = present->second; // The existing ledger remains valid.
        }
        return decisions::Actions();
    });
    started = std::move(owned);
}

void ControlLoop::resumeAfterHotKeyMoves(const decisions::ClusterState &clusterState)
{
    std::vector<std::pair<core::ServerName, std::string>> moved;
    {
        std::lock_guard lock(this->hotKeyMutex);
        for (auto &entry : this->movingHotKeys) {
            const core::ServerName &server = entry.first;
            std::set<std::string> &keys = entry.second;
            const decisions::ServerState *known = clusterState.findServer(server);
            const decisions::ServiceState *service =
                    known ? clusterState.findService(known->service) : nullptr;
            if (!service)
                continue;
            std::erase_if(keys, [&](const std::string &key) {
                const bool hasMoved = service->ownerOf(key).server != server;
                if (hasMoved)
                    moved.emplace_back(server, key);
                return hasMoved;
            });
        }
    }
    for (const auto &[server, key] : moved) {
        const auto runner = this->context.tables.runner(server);
        const auto slots = this->slotsIncludingHotKeys(server, {}, {key});
        if (!runner || slots.empty())
            continue;
        runner->updateDispatcher([&](decisions::ServerDispatcher &dispatcher, core::TimePoint) {
            dispatcher.resumeSlot(slots.front());
            return decisions::Actions();
        });
    }
}

void ControlLoop::dropRunners(const decisions::ClusterState &clusterState)
{
    std::vector<std::pair<core::ServerName, std::shared_ptr<ServerRunner>>> released;
    this->context.tables.runners.with([&](RunnerMap &map) {
        for (const auto &[name, runner] : map) {
            const decisions::ServerState *server = clusterState.findServer(name);
            const bool isController = server && server->controller
                    && server->controller->instance == this->context.self;
            if (!isController)
                released.emplace_back(name, runner);
        }
    });
    for (const auto &[name, runner] : released) {
        runner->updateDispatcher([](decisions::ServerDispatcher &dispatcher, core::TimePoint now) {
            return dispatcher.authorityLost(now);
        });
        this->context.recorder.removeLoad(name);
        // The runner is kept because the next controller fetches its ledger. It is reused when this
        // instance controls the server again, and destroyed with the instance.
        this->startedSlots.erase(name);
    }
}

} // namespace amaranthdale::daemon
