// Promises 4 and 8: no new work for drained data centres and leaving backend servers.
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

// Why a server gets no new work, since when and by which record.
struct Closure
{
    unsigned promise = 0;
    WallTime since;
    AppendEvent record;
};

// 0 when the server is open for new work.
unsigned promiseThatCloses(const ClusterState &state, const ServerState &server)
{
    if (server.removed || server.spec.leaving)
        return 8;
    return state.isDrained(server.spec.dataCentre) ? 4 : 0;
}

// Replays the log and follows which servers are closed.
class ClosureTable
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

    const Closure *find(const core::ServerName &server) const
    {
        const auto found = this->closures.find(server);
        return found == this->closures.end() ? nullptr : &found->second;
    }

private:
    void update(const AppendEvent &event)
    {
        for (const auto &[name, server] : this->state.servers()) {
            this->known.insert(name);
            const unsigned promise = promiseThatCloses(this->state, server);
            if (promise == 0)
                this->closures.erase(name);
            else
                this->closures.try_emplace(name, Closure{promise, event.at, event});
        }
        // The state forgets a removed server that owns nothing; it stays closed all the same.
        for (const core::ServerName &name : this->known) {
            if (!this->state.findServer(name))
                this->closures.try_emplace(name, Closure{8, event.at, event});
        }
    }

    ClusterState state;
    std::set<core::ServerName> known; // All servers that a document ever declared.
    std::map<core::ServerName, Closure> closures;
};

class DrainCheck : public Check
{
public:
    explicit DrainCheck(core::Duration allowed) : grace(allowed) { }

    void run(const std::vector<Event> &events, std::vector<Breach> &breaches) const override
    {
        ClosureTable table;
        for (const Event &event : events) {
            if (const auto *append = std::get_if<AppendEvent>(&event))
                table.replay(*append);
            if (const auto *start = std::get_if<RunEvent>(&event))
                this->check(*start, table.find(start->server), breaches);
        }
    }

private:
    void check(const RunEvent &run, const Closure *closure, std::vector<Breach> &breaches) const
    {
        if (!closure || run.at - closure->since <= this->grace)
            return;
        const auto late =
                std::chrono::duration_cast<std::chrono::milliseconds>(run.at - closure->since);
        const std::string reason =
                closure->promise == 4 ? "its data centre was drained" : "it began to leave";
        breaches.push_back(Breach{closure->promise,
                                  run.server.value + " starts a request "
                                          + std::to_string(late.count()) + " ms after " + reason,
                                  {closure->record, run}});
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
