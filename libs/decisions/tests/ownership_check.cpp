// Invariant checks and measurements that the model runs at every step.
#include "ownership_model.h"

#include <algorithm>

namespace amaranthdale::decisions::model {

namespace {

constexpr milliseconds latency(1);
constexpr milliseconds requestTimeout(400);

} // namespace

ModelInstance *Model::findInstance(const core::InstanceId &id)
{
    for (const auto &instance : this->instances) {
        if (instance->id() == id)
            return instance.get();
    }
    return nullptr;
}

ModelServer *Model::findServer(const core::ServerName &name)
{
    for (const auto &server : this->servers) {
        if (server->name == name.value)
            return server.get();
    }
    return nullptr;
}

ModelServer &Model::serverOfSlot(core::SlotIndex slot)
{
    return *this->findServer(this->referenceState().services().begin()->second.slots[slot].server);
}

ModelInstance &Model::controllerOf(const ModelServer &server)
{
    const ServerState *state = this->referenceState().findServer(core::ServerName(server.name));
    return *this->findInstance(state->controller->instance);
}

ModelInstance &Model::successorOf(const ModelServer &server, std::size_t index)
{
    const ServerState *state = this->referenceState().findServer(core::ServerName(server.name));
    return *this->findInstance(state->controller->successors.at(index));
}

core::Duration Model::clockOfServer(const ModelServer &server) const
{
    return this->now().time_since_epoch() + server.clockOffset;
}

// True if the server would run a request for the slot, including one that is still in its socket
// buffers.
bool Model::wouldRun(const ModelServer &server, core::SlotIndex slot) const
{
    if (!server.alive)
        return false;
    if (server.checksFence)
        return server.slots.contains(slot) && this->clockOfServer(server) < server.expiresAt;
    const core::ServerName name(server.name);
    return std::any_of(this->instances.begin(), this->instances.end(), [&](const auto &instance) {
        return instance->isRunning() && instance->engine->fenceForSlot(name, slot, this->now());
    });
}

// The servers that hold each slot now, and whether the slot is served.
std::vector<SlotView> Model::observe() const
{
    std::vector<SlotView> views(this->settings.slots);
    for (const auto &server : this->servers) {
        if (!server->alive)
            continue;
        const bool leased = this->clockOfServer(*server) < server->expiresAt;
        if (server->checksFence && leased) {
            for (core::SlotIndex slot : server->slots)
                views[slot].holders.insert(server.get());
        }
        for (const auto &instance : this->instances) {
            if (instance->isRunning())
                this->observe(*server, *instance, views);
        }
    }
    return views;
}

void Model::observe(const ModelServer &server, const ModelInstance &instance,
                    std::vector<SlotView> &views) const
{
    const core::ServerName name(server.name);
    const std::optional<core::Fence> fence = instance.engine->fenceForServer(name, this->now());
    if (!fence)
        return;
    const bool answers = server.isRunning() && this->isLinked(instance.name, server.name)
            && (!server.checksFence || fence->epoch == server.fence.epoch);
    for (core::SlotIndex slot : instance.engine->grantedSlots(name, this->now())) {
        if (!server.checksFence)
            views[slot].holders.insert(&server);
        views[slot].served |= answers && views[slot].holders.contains(&server);
    }
}

// Sends one request per granted slot. The server runs it unless it rejects the fence or slot, or
// reads the request after its deadline.
void Model::sendRequests(ModelInstance &instance)
{
    for (const auto &server : this->servers) {
        const core::ServerName name(server->name);
        const std::optional<core::Fence> fence = instance.engine->fenceForServer(name, this->now());
        for (core::SlotIndex slot : instance.engine->grantedSlots(name, this->now())) {
            ModelServer *target = server.get();
            const core::TimePoint deadline = this->now() + requestTimeout;
            this->send(instance, target, target->name, [this, target, slot, fence, deadline] {
                const bool refused = target->checksFence
                        && (fence->epoch != target->fence.epoch || !this->wouldRun(*target, slot));
                if (refused || this->now() > deadline)
                    return;
                for (const auto &other : this->servers) {
                    if (other.get() != target && this->wouldRun(*other, slot))
                        this->recordBreach("request for slot " + std::to_string(slot) + " ran on "
                                           + target->name + " while " + other->name + " owns it");
                }
            });
        }
    }
}

void Model::check(const std::vector<SlotView> &views)
{
    for (core::SlotIndex slot = 0; slot < views.size(); ++slot) {
        if (views[slot].holders.size() < 2)
            continue;
        std::string names;
        for (const ModelServer *holder : views[slot].holders)
            names += " " + holder->name;
        this->recordBreach("slot " + std::to_string(slot) + " has several owners:" + names);
    }
    for (const auto &server : this->servers) {
        if (server->checksFence)
            continue;
        const core::ServerName name(server->name);
        const auto controllers = std::count_if(
                this->instances.begin(), this->instances.end(), [&](const auto &instance) {
                    return instance->isRunning()
                            && instance->engine->fenceForServer(name, this->now());
                });
        if (controllers > 1)
            this->recordBreach("two instances may send to " + server->name
                               + ", which doesn't check fences");
    }
}

void Model::recordBreach(std::string text)
{
    const auto at = std::chrono::duration_cast<milliseconds>(this->now().time_since_epoch());
    if (this->recordedBreaches.size() < 5)
        this->recordedBreaches.push_back(std::to_string(at.count()) + " ms: " + std::move(text));
}

void Model::startMeasuring()
{
    this->longestUnserved = core::Duration::zero();
    this->totalUnserved = core::Duration::zero();
    this->slotsEverUnserved.clear();
    this->unservedSince.clear();
}

void Model::measure(const std::vector<SlotView> &views)
{
    for (core::SlotIndex slot = 0; slot < this->settings.slots; ++slot) {
        if (views[slot].served) {
            this->unservedSince.erase(slot);
            continue;
        }
        const auto since = this->unservedSince.try_emplace(slot, this->now()).first->second;
        this->slotsEverUnserved.insert(slot);
        this->totalUnserved += latency; // The duration of one step.
        this->longestUnserved =
                std::max(this->longestUnserved, core::Duration(this->now() - since) + latency);
    }
}

bool Model::statesAgree() const
{
    for (const auto &instance : this->instances) {
        if (instance->isRunning() && *instance->state != this->reference)
            return false;
    }
    return std::all_of(this->acknowledged.begin(), this->acknowledged.end(),
                       [this](const RecordId &id) {
                           return std::any_of(this->records.begin(), this->records.end(),
                                              [&](const LogRecord &each) { return each.id == id; });
                       });
}

} // namespace amaranthdale::decisions::model
