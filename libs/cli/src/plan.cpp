// Difference between a service document and the one in force.
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

void compareServers(Plan &plan, const ServersByName &current, const ServersByName &planned)
{
    for (const auto &[name, server] : planned) {
        const auto found = current.find(name);
        if (found == current.end()) {
            plan.added.push_back(name);
            continue;
        }
        if (server.leaving && !found->second.leaving)
            plan.leaving.push_back(name);
        BackendServer comparable = server;
        comparable.leaving = found->second.leaving;
        const bool noLongerLeaving = found->second.leaving && !server.leaving;
        if (noLongerLeaving || comparable != found->second)
            plan.changed.push_back(name);
    }
    for (const auto &[name, server] : current) {
        if (!planned.contains(name))
            plan.removed.push_back(name);
    }
}

void compareFields(Plan &plan, const ServiceDocument &current, const ServiceDocument &planned)
{
    const auto addUnlessEqual = [&plan](bool equal, const char *field) {
        if (!equal)
            plan.fields.emplace_back(field);
    };
    addUnlessEqual(current.key == planned.key, "key");
    addUnlessEqual(current.brand == planned.brand, "brand");
    addUnlessEqual(current.brands == planned.brands, "brands");
    addUnlessEqual(current.hashSlots == planned.hashSlots, "hashSlots");
    addUnlessEqual(current.hashSeed == planned.hashSeed, "hashSeed");
    addUnlessEqual(current.requestTimeout == planned.requestTimeout, "requestTimeout");
    addUnlessEqual(current.idempotencyWindow == planned.idempotencyWindow, "idempotencyWindow");
    addUnlessEqual(current.idempotentMethods == planned.idempotentMethods, "idempotentMethods");
    addUnlessEqual(current.maxBodyBytes == planned.maxBodyBytes, "maxBodyBytes");
    addUnlessEqual(current.objective == planned.objective, "objective");
}

// Replays the document on a copy of the state, so that the plan follows the equal rules as
// instances.
void addReplayResult(Plan &plan, decisions::ClusterState stateCopy, const ServiceDocument &document)
{
    const core::LogOffset basedOn = stateCopy.offset();
    const decisions::LogRecord record{{}, basedOn, decisions::DocumentRecord{document}};
    const decisions::ApplyResult applied =
            stateCopy.apply(core::LogOffset(basedOn.value + 1), record);
    if (!applied.accepted) {
        plan.refusal = applied.reason;
        return;
    }
    for (const BackendServer &server : document.servers)
        plan.acceptingServers += stateCopy.acceptsSlots(server.name) ? 1 : 0;

    std::map<core::ServerName, LosingServer> losing;
    const auto losingServer = [&](const decisions::SlotOwner &owner) -> LosingServer * {
        if (owner.server.empty() || stateCopy.acceptsSlots(owner.server))
            return nullptr;
        ++plan.slotsToMove;
        return &losing.try_emplace(owner.server, LosingServer{owner.server}).first->second;
    };
    const decisions::ServiceState &service = *stateCopy.findService(document.service);
    for (const decisions::SlotOwner &owner : service.slots) {
        if (LosingServer *server = losingServer(owner))
            ++server->slots;
    }
    for (const auto &[key, owner] : service.hotKeys) {
        if (LosingServer *server = losingServer(owner))
            ++server->hotKeys;
    }
    for (const auto &[name, server] : losing)
        plan.losing.push_back(server);
}

} // namespace

Plan makePlan(const decisions::ClusterState &state, const ServiceDocument &document)
{
    Plan plan;
    ServiceDocument current;
    if (const decisions::ServiceState *service = state.findService(document.service)) {
        plan.replaces = service->version;
        current = service->document;
        plan.unchanged = current == document;
        compareFields(plan, current, document);
    }
    compareServers(plan, byName(current), byName(document));
    addReplayResult(plan, state, document);
    return plan;
}

} // namespace amaranthdale::cli
