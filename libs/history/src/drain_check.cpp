// Promises 4 and 8: no new requests to drained data centres and leaving backend servers.
#include "amaranthdale/history/checks.h"

#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/records/record_codec.h"

#include <algorithm>
#include <map>
#include <set>

namespace amaranthdale::history {

namespace {

using decisions::ClusterState;
using decisions::ServerState;

// The record after which a server must receive no new requests, and the promise that requires it.
struct Exclusion
{
    unsigned promise = 0;
    WallTime since;
    AppendEvent record;
};

// Returns the promise that forbids new requests to the server, or 0 if it may receive them.
unsigned excludingPromise(const ClusterState &state, const ServerState &server)
{
    if (server.removed || server.spec.leaving)
        return 8;
    return state.isDrained(server.spec.dataCentre) ? 4 : 0;
}

// Replays the log and tracks the servers that must receive no new requests.
class ExclusionTracker
{
public:
    void replay(const AppendEvent &event)
    {
        if (event.offset <= this->state.offset())
            return;
        const auto record = records::decodeRecord(event.body);
        if (!record)
            return this->state.skip(event.offset);
        this->state.apply(event.offset, *record);
        this->update(event);
    }

    const Exclusion *find(const core::ServerName &server) const
    {
        const auto found = this->exclusions.find(server);
        return found == this->exclusions.end() ? nullptr : &found->second;
    }

private:
    void update(const AppendEvent &event)
    {
        for (const auto &[name, server] : this->state.servers()) {
            this->declared.insert(name);
            const unsigned promise = excludingPromise(this->state, server);
            if (promise == 0)
                this->exclusions.erase(name);
            else
                this->exclusions.try_emplace(name, Exclusion{promise, event.at, event});
        }
        // The state drops a removed server once it owns no slots; new requests to it stay
        // forbidden.
        for (const core::ServerName &name : this->declared) {
            if (!this->state.findServer(name))
                this->exclusions.try_emplace(name, Exclusion{8, event.at, event});
        }
    }

    ClusterState state;
    std::set<core::ServerName> declared; // All servers that any document declared.
    std::map<core::ServerName, Exclusion> exclusions;
};

class DrainCheck : public Check
{
public:
    explicit DrainCheck(core::Duration allowedDelay) : grace(allowedDelay) { }

    void run(const std::vector<Event> &events, std::vector<Breach> &breaches) const override
    {
        ExclusionTracker tracker;
        for (const Event &event : events) {
            if (const auto *append = std::get_if<AppendEvent>(&event))
                tracker.replay(*append);
            if (const auto *start = std::get_if<RunEvent>(&event))
                this->check(*start, tracker.find(start->server), breaches);
        }
    }

private:
    void check(const RunEvent &run, const Exclusion *exclusion, std::vector<Breach> &breaches) const
    {
        if (!exclusion || run.at - exclusion->since <= this->grace)
            return;
        const auto delay =
                std::chrono::duration_cast<std::chrono::milliseconds>(run.at - exclusion->since);
        const std::string reason = exclusion->promise == 4 ? "its data centre was drained"
                                                           : "it was marked as leaving or removed";
        breaches.push_back(Breach{exclusion->promise,
                                  run.server.value + " started a request "
                                          + std::to_string(delay.count()) + " ms after " + reason,
                                  {exclusion->record, run}});
    }

    const core::Duration grace;
};

} // namespace

std::unique_ptr<Check> makeDrainCheck(core::Duration grace)
{
    return std::make_unique<DrainCheck>(grace);
}

std::vector<Breach> checkHistory(std::vector<Event> events)
{
    std::stable_sort(events.begin(), events.end(),
                     [](const Event &a, const Event &b) { return timeOf(a) < timeOf(b); });
    std::vector<std::unique_ptr<Check>> checks;
    checks.push_back(makeOwnershipCheck());
    checks.push_back(makeRunCheck());
    checks.push_back(makeResponseCheck());
    checks.push_back(makeColdLimitCheck());
    checks.push_back(makeDrainCheck());
    std::vector<Breach> breaches;
    for (const auto &check : checks)
        check->run(events, breaches);
    return breaches;
}

} // namespace amaranthdale::history
