// What a document would change.
#include "plan.h"

#include <map>

namespace amaranthdale::cli {

namespace {

using decisions::BackendServer;
using decisions::ServiceDocument;

using ServersByName = std::map<core::ServerName, BackendServer>;

ServersByName byName(const ServiceDocument &document)
{
    ServersByName servers;
    for (const BackendServer &server : document.servers)
        servers.emplace(server.name, server);
    return servers;
}

void compareServers(Plan &plan, const ServersByName &present, const ServersByName &planned)
{
    for (const auto &[name, server] : planned) {
        const auto found = present.find(name);
        if (found == present.end()) {
            plan.added.push_back(name);
            continue;
        }
        if (server.leaving && !found->second.leaving)
            plan.leaving.push_back(name);
        BackendServer rest = server;
        rest.leaving = found->second.leaving;
        const bool returns = found->second.leaving && !server.leaving;
        if (returns || rest != found->second)
            plan.changed.push_back(name);
    }
    for (const auto &[name, server] : present) {
        if (!planned.contains(name))
            plan.removed.push_back(name);
    }
}

void compareFields(Plan &plan, const ServiceDocument &present, const ServiceDocument &planned)
{
    const auto note = [&plan](bool same, const char *field) {
        if (!same)
            plan.fields.emplace_back(field);
    };
    note(present.key == planned.key, "key");
    note(present.brand == planned.brand, "brand");
    note(present.brands == planned.brands, "brands");
    note(present.hashSlots == planned.hashSlots, "hashSlots");
    note(present.hashSeed == planned.hashSeed, "hashSeed");
    note(present.requestTimeout == planned.requestTimeout, "requestTimeout");
    note(present.idempotencyWindow == planned.idempotencyWindow, "idempotencyWindow");
    note(present.idempotentMethods == planned.idempotentMethods, "idempotentMethods");
    note(present.maxBodyBytes == planned.maxBodyBytes, "maxBodyBytes");
    note(present.objective == planned.objective, "objective");
}

// Replays the document on a copy of the state, so that plan and instances follow the same rules.
void addOutcome(Plan &plan, decisions::ClusterState trial, const ServiceDocument &document)
{
    const core::LogOffset basedOn = trial.offset();
    const decisions::LogRecord record{{}, basedOn, decisions::DocumentRecord{document}};
    const decisions::Applied applied = trial.apply(core::LogOffset(basedOn.value + 1), record);
    if (!applied.accepted) {
        plan.refusal = applied.reason;
        return;
    }
    for (const BackendServer &server : document.servers)
        plan.acceptingServers += trial.acceptsSlots(server.name) ? 1 : 0;

    std::map<core::ServerName, LosingServer> losing;
    const auto loser = [&](const decisions::SlotOwner &owner) -> LosingServer * {
        if (owner.server.empty() || trial.acceptsSlots(owner.server))
            return nullptr;
        ++plan.slotsToMove;
        return &losing.try_emplace(owner.server, LosingServer{owner.server}).first->second;
    };
    const decisions::ServiceState &service = *trial.findService(document.service);
    for (const decisions::SlotOwner &owner : service.slots) {
        if (LosingServer *server = loser(owner))
            ++server->slots;
    }
    for (const auto &[key, owner] : service.hotKeys) {
        if (LosingServer *server = loser(owner))
            ++server->hotKeys;
    }
    for (const auto &[name, server] : losing)
        plan.losing.push_back(server);
}

} // namespace

Plan makePlan(const decisions::ClusterState &state, const ServiceDocument &document)
{
    Plan plan;
    ServiceDocument present;
    if (const decisions::ServiceState *service = state.findService(document.service)) {
        plan.replaces = service->version;
        present = service->document;
        plan.unchanged = present == document;
        compareFields(plan, present, document);
    }
    compareServers(plan, byName(present), byName(document));
    addOutcome(plan, state, document);
    return plan;
}

} // namespace amaranthdale::cli
