// Promise 1: at most one owner of each slot and hot key.
#include "amaranthdale/history/checks.h"

#include <algorithm>
#include <map>

namespace amaranthdale::history {

namespace {

// A slot, or a hot key, of one service.
struct Entity
{
    core::ServiceName service;
    std::string hotKey; // Empty for a slot.
    core::SlotIndex slot = 0;

    auto operator<=>(const Entity &) const = default;

    std::string text() const
    {
        const std::string name =
                this->hotKey.empty() ? "slot " + std::to_string(this->slot) : "key " + this->hotKey;
        return this->service.value + " " + name;
    }
};

// A time during which a server held an entity by uninterrupted grants.
struct Tenure
{
    core::ServerName server;
    WallTime begin;
    WallTime end;
    const GrantEvent *grant = nullptr; // The last one.
};

using Tenures = std::map<Entity, std::vector<Tenure>>;

// Moments at which each server's grant ended early: by a further grant or a start.
std::map<core::ServerName, std::vector<WallTime>> changesByServer(const std::vector<Event> &events)
{
    std::map<core::ServerName, std::vector<WallTime>> changes;
    for (const Event &event : events) {
        if (const auto *grant = std::get_if<GrantEvent>(&event))
            changes[grant->server].push_back(grant->at);
        if (const auto *start = std::get_if<StartEvent>(&event))
            changes[start->server].push_back(start->at);
    }
    return changes;
}

void addTenure(std::vector<Tenure> &tenures, const GrantEvent &grant, WallTime end)
{
    const auto last = std::find_if(tenures.rbegin(), tenures.rend(), [&grant](const Tenure &each) {
        return each.server == grant.server;
    });
    if (last != tenures.rend() && last->end >= grant.at) {
        last->end = std::max(last->end, end);
        last->grant = &grant;
        return;
    }
    tenures.push_back(Tenure{grant.server, grant.at, end, &grant});
}

void addGrant(Tenures &tenures, const GrantEvent &grant, WallTime end)
{
    for (const SlotRange &range : grant.slots) {
        for (std::uint64_t slot = range.first; slot <= range.last; ++slot)
            addTenure(tenures[Entity{grant.service, {}, static_cast<core::SlotIndex>(slot)}], grant,
                      end);
    }
    for (const std::string &key : grant.hotKeys)
        addTenure(tenures[Entity{grant.service, key, 0}], grant, end);
}

Tenures collectTenures(const std::vector<Event> &events)
{
    const auto changes = changesByServer(events);
    Tenures tenures;
    for (const Event &event : events) {
        const auto *grant = std::get_if<GrantEvent>(&event);
        if (!grant)
            continue;
        const std::vector<WallTime> &times = changes.at(grant->server);
        const auto next = std::upper_bound(times.begin(), times.end(), grant->at);
        const WallTime end = next == times.end() ? grant->until : std::min(grant->until, *next);
        if (end > grant->at)
            addGrant(tenures, *grant, end);
    }
    return tenures;
}

void checkOverlap(const Entity &entity, const std::vector<Tenure> &tenures,
                  std::vector<Breach> &breaches)
{
    const Tenure *latest = nullptr;
    for (const Tenure &each : tenures) {
        if (latest && each.server != latest->server && each.begin < latest->end)
            breaches.push_back(Breach{1,
                                      entity.text() + " is held by " + latest->server.value
                                              + " and by " + each.server.value,
                                      {*latest->grant, *each.grant}});
        if (!latest || each.end > latest->end)
            latest = &each;
    }
}

void checkRun(const RunEvent &run, const Tenures &tenures, std::vector<Breach> &breaches)
{
    if (!run.slot && run.hotKey.empty())
        return;
    const Entity entity{run.service, run.hotKey, run.hotKey.empty() ? *run.slot : 0};
    const auto found = tenures.find(entity);
    if (found == tenures.end())
        return;
    for (const Tenure &each : found->second) {
        if (each.server != run.server && each.begin <= run.at && run.at < each.end)
            breaches.push_back(Breach{1,
                                      run.server.value + " starts a request for " + entity.text()
                                              + ", which " + each.server.value + " holds",
                                      {*each.grant, run}});
    }
}

class OwnershipCheck : public Check
{
public:
    void run(const std::vector<Event> &events, std::vector<Breach> &breaches) const override
    {
        const Tenures tenures = collectTenures(events);
        for (const auto &[entity, list] : tenures)
            checkOverlap(entity, list, breaches);
        for (const Event &event : events) {
            if (const auto *run = std::get_if<RunEvent>(&event))
                checkRun(*run, tenures, breaches);
        }
    }
};

} // namespace

std::unique_ptr<Check> makeOwnershipCheck()
{
    return std::make_unique<OwnershipCheck>();
}

} // namespace amaranthdale::history
