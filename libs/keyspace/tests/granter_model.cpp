// The world of the granter tests.
#include "granter_model.h"

#include <algorithm>

namespace amaranthdale::keyspace::model {

namespace {

constexpr milliseconds stepLength(10);
constexpr std::size_t instanceCount = 3;
constexpr std::size_t serverCount = 4;

// A server's clock may run 2% slow, so its holds last longer than they should.
core::Duration slow(core::Duration hold)
{
    return hold + hold / 50;
}

} // namespace

std::vector<Key> probedKeys()
{
    std::vector<Key> keys;
    for (Key key = 0; key < keyCount; key += 997)
        keys.push_back(key);
    return keys;
}

World::World(std::uint32_t seed, Faults injectedFaults, GranterLimits granterLimits)
    : random(seed), faults(injectedFaults), limits(granterLimits)
{
    for (std::size_t index = 0; index < serverCount; ++index) {
        Server server;
        server.name = core::ServerName("server-" + std::to_string(index));
        this->servers.push_back(server);
        this->listed.push_back(true);
    }
    this->instances.resize(instanceCount);
    for (std::size_t index = 0; index < instanceCount; ++index)
        this->instances[index].granter = std::make_unique<Granter>(
                core::InstanceId{core::InstanceName("i" + std::to_string(index)),
                                 core::Incarnation(1)},
                "", this->limits);
    // A skewed load makes ranges move all the time.
    for (Key key = 0; key < 2000; ++key)
        this->load.add(key, 1);
}

int World::dice(int least, int most)
{
    return boost::random::uniform_int_distribution<int>(least, most)(this->random);
}

bool World::chance(int perThousand)
{
    return this->dice(0, 999) < perThousand;
}

void World::later(core::Duration delay, std::function<void()> action)
{
    this->events.push_back(Event{this->time + delay, std::move(action)});
}

void World::run(core::Duration length)
{
    const core::TimePoint end = this->time + length;
    while (this->time < end)
        this->step();
}

void World::step()
{
    this->time += stepLength;
    std::vector<Event> due;
    for (auto event = this->events.begin(); event != this->events.end();) {
        if (event->at > this->time) {
            ++event;
            continue;
        }
        due.push_back(std::move(*event));
        event = this->events.erase(event);
    }
    std::stable_sort(due.begin(), due.end(),
                     [](const Event &a, const Event &b) { return a.at < b.at; });
    for (const Event &event : due)
        event.action();
    this->injectFaults();
    for (std::size_t index = 0; index < this->instances.size(); ++index)
        this->act(index);
    this->check();
}

void World::injectFaults()
{
    if (this->faults.reelections && this->chance(3))
        this->elected = static_cast<std::size_t>(this->dice(0, instanceCount - 1));
    const auto instance = static_cast<std::size_t>(this->dice(0, instanceCount - 1));
    const auto server = static_cast<std::size_t>(this->dice(0, serverCount - 1));
    if (this->faults.cuts && this->chance(2))
        this->instances[instance].cutUntil = this->time + milliseconds(this->dice(500, 12000));
    if (this->faults.cuts && this->chance(2))
        this->instances[instance].serverCut[server] =
                this->time + milliseconds(this->dice(500, 30000));
    if (this->faults.suspensions && this->chance(2))
        this->instances[instance].suspendedUntil = this->time + milliseconds(this->dice(500, 9000));
    if (this->faults.membership && this->chance(3))
        this->servers[server].draining = !this->servers[server].draining;
    if (this->faults.restarts && this->chance(2) && this->servers[server].incarnation != 0)
        this->restartServer(server);
}

// The server is down for a while, and the registry learns of its new run late.
void World::restartServer(std::size_t index)
{
    Server &server = this->servers[index];
    const std::uint64_t next = server.incarnation + 1;
    server.incarnation = 0;
    server.grants.clear();
    server.seen.clear();
    const milliseconds down(this->dice(1500, 5000));
    this->later(down, [this, index, next] { this->servers[index].incarnation = next; });
    this->later(down + milliseconds(1200),
                [this, index, next] { this->servers[index].listedIncarnation = next; });
}

void World::killServer(std::size_t index, core::Duration notice)
{
    this->servers[index].grants.clear();
    this->servers[index].incarnation = 0;
    this->later(notice, [this, index] { this->listed[index] = false; });
}

void World::killInstance(std::size_t index, core::Duration notice)
{
    this->instances[index].alive = false;
    this->later(notice, [this, index] { this->elected = (index + 1) % instanceCount; });
}

void World::cutLog(std::size_t instance, core::Duration length)
{
    this->instances[instance].cutUntil = this->time + length;
}

void World::cutServer(std::size_t instance, std::size_t server, core::Duration length)
{
    this->instances[instance].serverCut[server] = this->time + length;
}

void World::act(std::size_t index)
{
    Instance &instance = this->instances[index];
    if (!instance.alive || this->time < instance.suspendedUntil)
        return;
    if (this->time >= instance.nextRead || instance.granter->needsLog())
        this->readLog(index);
    std::vector<Candidate> usable;
    for (std::size_t server = 0; server < this->servers.size(); ++server) {
        const Server &state = this->servers[server];
        if (!this->listed[server])
            continue;
        const ServerRun run{state.name, state.listedIncarnation};
        if (!state.draining)
            usable.push_back(Candidate{run, 1, false});
    }
    instance.granter->setElected(index == this->elected);
    instance.granter->setServers(usable, this->time);
    for (const Order &order : instance.granter->tick(this->time, this->load))
        this->carryOut(index, order);
    if (this->chance(30))
        this->askPredecessor(index);
}

// Peers reach each other unless one of them stands still or is cut off.
void World::askPredecessor(std::size_t index)
{
    const auto predecessor = this->instances[index].granter->predecessor();
    if (!predecessor)
        return;
    for (std::size_t other = 0; other < this->instances.size(); ++other) {
        const Instance &peer = this->instances[other];
        const bool asked = "i" + std::to_string(other) == predecessor->instance.name.value;
        if (!asked || !peer.alive || this->time < peer.suspendedUntil || this->time < peer.cutUntil)
            continue;
        this->instances[other].granter->stepDown();
        this->answer(index, this->instances[index].incarnation, milliseconds(20),
                     [this](Granter &granter) { granter.onPredecessorEnded(this->time); });
    }
}

void World::readLog(std::size_t index)
{
    Instance &instance = this->instances[index];
    instance.nextRead = this->time + milliseconds(500);
    if (this->time < instance.cutUntil)
        return;
    std::optional<Assignment> newest;
    if (!this->log.empty())
        newest = this->log.back();
    instance.granter->onLog(std::move(newest), this->log.size(), this->time, this->time);
}

void World::carryOut(std::size_t index, const Order &order)
{
    if (const auto *given = std::get_if<GrantOrder>(&order))
        return this->grant(index, *given);
    if (const auto *taken = std::get_if<ReleaseOrder>(&order))
        return this->release(index, *taken);
    this->append(index, std::get<AppendOrder>(order));
}

std::size_t World::findServer(const core::ServerName &name) const
{
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
        if (this->servers[index].name == name)
            return index;
    }
    return this->servers.size();
}

void World::answer(std::size_t index, std::uint64_t run, core::Duration delay,
                   std::function<void(Granter &)> action)
{
    this->later(delay, [this, index, run, action = std::move(action)]() mutable {
        Instance &instance = this->instances[index];
        if (!instance.alive || instance.incarnation != run)
            return;
        if (this->time < instance.suspendedUntil)
            return this->answer(index, run, instance.suspendedUntil - this->time, action);
        action(*instance.granter);
    });
}

OrderResult World::applyGrant(std::size_t server, const GrantOrder &order, core::TimePoint arrival)
{
    Server &state = this->servers[server];
    for (const auto &[key, fence] : state.seen) {
        if (order.holding.keys.contains(key) && fence > order.holding.fence)
            return OrderResult::Fenced;
    }
    for (const Key key : probedKeys()) {
        if (order.holding.keys.contains(key))
            state.seen[key] = order.holding.fence;
    }
    // A renewal never shortens a grant, as a strict reading of the platform's pages allows.
    core::TimePoint until = arrival + slow(order.hold);
    for (const Server::Grant &grant : state.grants) {
        if (grant.keys == order.holding.keys)
            until = std::max(until, grant.until);
    }
    std::erase_if(state.grants,
                  [&](const Server::Grant &grant) { return grant.keys == order.holding.keys; });
    state.grants.push_back({order.holding.keys, order.holding.fence, until});
    return OrderResult::Done;
}

void World::grant(std::size_t index, const GrantOrder &order)
{
    Instance &instance = this->instances[index];
    const std::uint64_t run = instance.incarnation;
    const std::size_t server = this->findServer(order.holding.owner.name);
    const auto reply = [this, index, run, id = order.id](core::Duration delay, OrderResult result) {
        this->answer(index, run, delay, [this, id, result](Granter &granter) {
            granter.onGrant(id, result, this->time);
        });
    };
    if (this->time < instance.serverCut[server])
        return reply(milliseconds(250), OrderResult::NotSent);
    if (this->servers[server].incarnation == 0)
        return reply(milliseconds(10), OrderResult::NotSent);
    const core::TimePoint arrival = this->time + milliseconds(this->dice(1, 40));
    const std::uint64_t targetRun = this->servers[server].incarnation;
    const bool lost = this->faults.lostAnswers && this->chance(300);
    const core::Duration applied = lost ? milliseconds(this->dice(2000, 12000)) : milliseconds(10);
    this->later(applied, [this, server, order, arrival, targetRun, lost, reply] {
        if (this->servers[server].incarnation != targetRun)
            return lost ? void() : reply(milliseconds(0), OrderResult::NoAnswer);
        const OrderResult result = this->applyGrant(server, order, arrival);
        if (!lost)
            reply(milliseconds(10), result);
    });
    if (lost)
        reply(milliseconds(500), OrderResult::NoAnswer);
}

void World::release(std::size_t index, const ReleaseOrder &order)
{
    Instance &instance = this->instances[index];
    const std::uint64_t run = instance.incarnation;
    const std::size_t server = this->findServer(order.owner.name);
    const auto reply = [this, index, run, id = order.id](core::Duration delay, OrderResult result) {
        this->answer(index, run, delay, [this, id, result](Granter &granter) {
            granter.onRelease(id, result, "handover", this->time);
        });
    };
    if (this->time < instance.serverCut[server] || this->servers[server].incarnation == 0)
        return reply(milliseconds(250), OrderResult::NotSent);
    const bool lost = this->faults.lostAnswers && this->chance(300);
    this->later(lost ? milliseconds(this->dice(2000, 12000)) : milliseconds(20), [=, this] {
        std::vector<Server::Grant> rest;
        for (Server::Grant grant : this->servers[server].grants) {
            const KeyRange keys = grant.keys;
            if (keys.last < order.keys.first || order.keys.last < keys.first
                || grant.fence > order.fence) {
                rest.push_back(grant);
                continue;
            }
            if (keys.first < order.keys.first) {
                grant.keys = {keys.first, order.keys.first - 1};
                rest.push_back(grant);
            }
            if (order.keys.last < keys.last) {
                grant.keys = {order.keys.last + 1, keys.last};
                rest.push_back(grant);
            }
        }
        this->servers[server].grants = std::move(rest);
        if (!lost)
            reply(milliseconds(10), OrderResult::Done);
    });
    if (lost)
        reply(milliseconds(2500), OrderResult::NoAnswer);
}

void World::append(std::size_t index, const AppendOrder &order)
{
    Instance &instance = this->instances[index];
    const std::uint64_t run = instance.incarnation;
    const auto reply = [this, index, run, id = order.id](core::Duration delay,
                                                         AppendResult result) {
        this->answer(index, run, delay, [this, id, result](Granter &granter) {
            granter.onAppend(id, result, this->time);
        });
    };
    if (this->time < instance.cutUntil)
        return reply(milliseconds(300), AppendResult::Refused);
    const bool lost = this->faults.lostAnswers && this->chance(300);
    const bool slowAnswer = this->faults.lostAnswers && this->chance(200);
    this->later(lost ? milliseconds(this->dice(20, 6000)) : milliseconds(10), [=, this] {
        const bool holds = order.expectedEnd == this->log.size();
        if (holds)
            this->log.push_back(order.assignment);
        if (!lost)
            reply(slowAnswer ? milliseconds(this->dice(100, 1400)) : milliseconds(10),
                  holds ? AppendResult::Done : AppendResult::Conflict);
    });
    if (lost)
        reply(milliseconds(1500), AppendResult::Unknown);
}

std::size_t World::heldKeys() const
{
    std::size_t held = 0;
    for (const Key key : probedKeys()) {
        held += std::any_of(this->servers.begin(), this->servers.end(), [&](const Server &server) {
            return std::any_of(server.grants.begin(), server.grants.end(),
                               [&](const Server::Grant &grant) {
                                   return grant.keys.contains(key) && this->time < grant.until;
                               });
        });
    }
    return held;
}

void World::check()
{
    for (const Key key : probedKeys()) {
        std::vector<std::pair<ServerRun, std::uint64_t>> owners;
        for (const Server &server : this->servers) {
            const Server::Grant *held = nullptr;
            for (const Server::Grant &grant : server.grants) {
                const bool live = grant.keys.contains(key) && this->time < grant.until;
                if (live && (held == nullptr || grant.fence > held->fence))
                    held = &grant;
            }
            if (held != nullptr)
                owners.push_back({{server.name, server.incarnation}, held->fence});
        }
        if (owners.size() > 1)
            this->found.push_back("key " + std::to_string(key)
                                  + " has two owners: " + owners[0].first.name.value + " and "
                                  + owners[1].first.name.value);
        if (owners.empty())
            continue;
        auto &last = this->lastOwner[key];
        if (last.first != owners[0].first && owners[0].second <= last.second)
            this->found.push_back("key " + std::to_string(key) + " went to "
                                  + owners[0].first.name.value + " with fence "
                                  + std::to_string(owners[0].second) + " after "
                                  + std::to_string(last.second));
        last = owners[0];
    }
}

} // namespace amaranthdale::keyspace::model
