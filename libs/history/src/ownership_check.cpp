// Promise 1: at most one owner of each slot and hot key.
#include "amaranthdale/history/checks.h"

#include <algorithm>
#include <map>

namespace amaranthdale::history {

namespace {

// A slot or hot key of a service.
struct SlotOrHotKey
{
    core::ServiceName service;
    std::string hotKey; // Empty for a slot.
    core::SlotIndex slot = 0;

    auto operator<=>(const SlotOrHotKey &) const = default;

    std::string describe() const
    {
        const std::string name =
                this->hotKey.empty() ? "slot " + std::to_string(this->slot) : "key " + this->hotKey;
        return this->service.value + " " + name;
    }
};

// An interval in which a server continuously owned a slot or hot key.
struct OwnershipInterval
{
    core::ServerName server;
    WallTime begin;
    WallTime end;
    const GrantEvent *grant = nullptr; // The most recent one.
};

using OwnershipIntervals = std::map<SlotOrHotKey, std::vector<OwnershipInterval>>;

// Returns the times at which each server's grant was replaced by another grant or ended by a
// restart.
std::map<core::ServerName, std::vector<WallTime>> grantEndsByServer(
        const std::vector<Event> &events)
{
    std::map<core::ServerName, std::vector<WallTime>> grantEnds;
    for (const Event &event : events) {
        if (const auto *grant = std::get_if<GrantEvent>(&event))
            grantEnds[grant->server].push_back(grant->at);
        if (const auto *start = std::get_if<StartEvent>(&event))
            grantEnds[start->server].push_back(start->at);
    }
    return grantEnds;
}

void addInterval(std::vector<OwnershipInterval> &intervals, const GrantEvent &grant, WallTime end)
{
    const auto last = std::find_if(
            intervals.rbegin(), intervals.rend(),
            [&grant](const OwnershipInterval &each) { return each.server == grant.server; });
    if (last != intervals.rend() && last->end >= grant.at) {
        last->end = std::max(last->end, end);
        last->grant = &grant;
        return;
    }
    intervals.push_back(OwnershipInterval{grant.server, grant.at, end, &grant});
}

void addGrant(OwnershipIntervals &intervals, const GrantEvent &grant, WallTime end)
{
    for (const SlotRange &range : grant.slots) {
        for (std::uint64_t slot = range.first; slot <= range.last; ++slot)
            addInterval(
                    intervals[SlotOrHotKey{grant.service, {}, static_cast<core::SlotIndex>(slot)}],
                    grant, end);
    }
    for (const std::string &key : grant.hotKeys)
        addInterval(intervals[SlotOrHotKey{grant.service, key, 0}], grant, end);
}

OwnershipIntervals collectIntervals(const std::vector<Event> &events)
{
    const auto grantEnds = grantEndsByServer(events);
    OwnershipIntervals intervals;
    for (const Event &event : events) {
        const auto *grant = std::get_if<GrantEvent>(&event);
        if (!grant)
            continue;
        const std::vector<WallTime> &times = grantEnds.at(grant->server);
        const auto next = std::upper_bound(times.begin(), times.end(), grant->at);
        const WallTime end = next == times.end() ? grant->until : std::min(grant->until, *next);
        if (end > grant->at)
            addGrant(intervals, *grant, end);
    }
    return intervals;
}

void checkOverlap(const SlotOrHotKey &item, const std::vector<OwnershipInterval> &intervals,
                  std::vector<Breach> &breaches)
{
    const OwnershipInterval *latest = nullptr;
    for (const OwnershipInterval &each : intervals) {
        if (latest && each.server != latest->server && each.begin < latest->end)
            breaches.push_back(Breach{1,
                                      item.describe() + " is owned by both " + latest->server.value
                                              + " and " + each.server.value,
                                      {*latest->grant, *each.grant}});
        if (!latest || each.end > latest->end)
            latest = &each;
    }
}

void checkRun(const RunEvent &run, const OwnershipIntervals &intervals,
              std::vector<Breach> &breaches)
{
    if (!run.slot && run.hotKey.empty())
        return;
    const SlotOrHotKey item{run.service, run.hotKey, run.hotKey.empty() ? *run.slot : 0};
    const auto found = intervals.find(item);
    if (found == intervals.end())
        return;
    for (const OwnershipInterval &each : found->second) {
        if (each.server != run.server && each.begin <= run.at && run.at < each.end)
            breaches.push_back(Breach{1,
                                      run.server.value + " started a request for " + item.describe()
                                              + ", which " + each.server.value + " owns",
                                      {*each.grant, run}});
    }
}

class OwnershipCheck : public Check
{
public:
    void run(const std::vector<Event> &events, std::vector<Breach> &breaches) const override
    {
        const OwnershipIntervals intervals = collectIntervals(events);
        for (const auto &[item, list] : intervals)
            checkOverlap(item, list, breaches);
        for (const Event &event : events) {
            if (const auto *run = std::get_if<RunEvent>(&event))
                checkRun(*run, intervals, breaches);
        }
    }
};

} // namespace

std::unique_ptr<Check> makeOwnershipCheck()
{
    return std::make_unique<OwnershipCheck>();
}

} // namespace amaranthdale::history
