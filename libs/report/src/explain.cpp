// Explains the owner of a key from the replayed state.
#include "amaranthdale/report/operator_views.h"

#include "amaranthdale/core/hash.h"

namespace amaranthdale::report {

namespace {

std::string ownerReason(const Explanation &explanation, core::SlotIndex hashSlots)
{
    if (explanation.hotKey)
        return "the key is a hot key with its own owner, which overrides slot "
                + std::to_string(explanation.slot);
    return "the key hashes to slot " + std::to_string(explanation.slot) + " of "
            + std::to_string(hashSlots);
}

void addServer(Explanation &explanation, const decisions::ServerState &server, bool drained)
{
    explanation.dataCentre = server.spec.dataCentre;
    if (server.removed)
        explanation.reasons.emplace_back(
                "the document no longer lists the server; its slots are being reassigned");
    if (server.spec.leaving)
        explanation.reasons.emplace_back("the server is leaving; its slots are being reassigned");
    if (drained)
        explanation.reasons.push_back("data centre " + server.spec.dataCentre.value
                                      + " is out of service; its slots are being reassigned");
    if (!server.controller) {
        explanation.reasons.emplace_back("the server has no controller yet; requests for its keys "
                                         "are refused until it has one");
        return;
    }
    explanation.controller = server.controller->instance.name;
    explanation.epoch = server.controller->epoch;
    for (const core::InstanceId &successor : server.controller->successors)
        explanation.successors.push_back(successor.name);
    explanation.reasons.push_back("instance " + explanation.controller.value
                                  + " has controlled the server since record "
                                  + std::to_string(explanation.epoch.value));
}

} // namespace

core::Result<Explanation> explainKey(const decisions::ClusterState &state,
                                     const core::ServiceName &service, std::string_view key)
{
    const decisions::ServiceState *found = state.findService(service);
    if (!found)
        return core::fail(core::ErrorKind::NotFound,
                          "no document of service " + service.value + " is in force; publish one");

    Explanation explanation;
    explanation.offset = state.offset();
    explanation.service = service;
    explanation.slot = core::slotForKey(key, found->document.hashSeed, found->document.hashSlots);
    explanation.hotKey = found->hotKeys.contains(key);
    const decisions::SlotOwner &owner = found->ownerOf(key);
    explanation.server = owner.server;
    explanation.since = owner.changedAt;
    if (!found->document.keyed())
        explanation.reasons.emplace_back("the service has no keys: a non-idempotent request is "
                                         "routed by its id, an idempotent one to any server");
    explanation.reasons.push_back(ownerReason(explanation, found->document.hashSlots));
    if (owner.server.empty()) {
        explanation.reasons.emplace_back("the key has no owner yet; requests for it are refused "
                                         "until a record assigns one");
        return explanation;
    }
    explanation.reasons.push_back("record " + std::to_string(owner.changedAt.value)
                                  + " assigned it to server " + owner.server.value);
    if (const decisions::ServerState *server = state.findServer(owner.server))
        addServer(explanation, *server, state.isDrained(server->spec.dataCentre));
    return explanation;
}

} // namespace amaranthdale::report
