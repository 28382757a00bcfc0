// Commands that only read the state.
#include "amaranthdale/cli/verbs.h"

#include "amaranthdale/records/service_document_codec.h"
#include "output.h"
#include "plan.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <ostream>

namespace amaranthdale::cli {

namespace json = boost::json;

namespace {

json::array namesToJson(const std::vector<core::ServerName> &names)
{
    json::array array;
    for (const core::ServerName &name : names)
        array.push_back(json::string(name.value));
    return array;
}

json::object planToJson(const core::ServiceName &service, const Plan &plan)
{
    json::array losing;
    for (const LosingServer &server : plan.losing)
        losing.push_back(json::object{{"server", json::string(server.server.value)},
                                      {"slots", server.slots},
                                      {"hotKeys", server.hotKeys}});
    json::array fields;
    for (const std::string &field : plan.fields)
        fields.push_back(json::string(field));
    return {{"service", json::string(service.value)},
            {"replaces", plan.replaces.value},
            {"unchanged", plan.unchanged},
            {"refusal", json::string(plan.refusal)},
            {"added", namesToJson(plan.added)},
            {"removed", namesToJson(plan.removed)},
            {"leaving", namesToJson(plan.leaving)},
            {"changed", namesToJson(plan.changed)},
            {"fields", std::move(fields)},
            {"losing", std::move(losing)},
            {"slotsToMove", plan.slotsToMove},
            {"acceptingServers", plan.acceptingServers}};
}

void writeNames(std::ostream &results, const char *title,
                const std::vector<core::ServerName> &names)
{
    if (names.empty())
        return;
    results << title << ":";
    for (const core::ServerName &name : names)
        results << " " << printable(name.value);
    results << "\n";
}

void writePlan(std::ostream &results, const core::ServiceName &service, const Plan &plan)
{
    results << "service: " << printable(service.value) << "\n";
    if (plan.replaces.value == 0)
        results << "replaces: nothing, the service is new\n";
    else
        results << "replaces: version " << plan.replaces.value << "\n";
    if (plan.unchanged)
        results << "the document in force is the same\n";
    writeNames(results, "servers added", plan.added);
    writeNames(results, "servers removed", plan.removed);
    writeNames(results, "servers leaving", plan.leaving);
    writeNames(results, "servers changed", plan.changed);
    if (!plan.fields.empty()) {
        results << "fields changed:";
        for (const std::string &field : plan.fields)
            results << " " << field;
        results << "\n";
    }
    for (const LosingServer &server : plan.losing)
        results << "  " << printable(server.server.value) << " gives up " << server.slots
                << " slots and " << server.hotKeys << " hot keys\n";
    results << "slots to move: " << plan.slotsToMove << "\n";
    if (plan.acceptingServers == 0)
        results << "warning: no server of the service would accept slots\n";
    if (!plan.added.empty())
        results << "placement will move further slots to the added servers\n";
}

} // namespace

ExitCode checkDocument(std::string_view text, const Output &output)
{
    const auto document = records::parseServiceDocument(text);
    if (output.json) {
        json::array faults;
        for (const records::Fault &fault : document ? records::Faults{} : document.faults())
            faults.push_back(json::object{{"path", json::string(fault.path)},
                                          {"message", json::string(fault.message)}});
        writeJson(output, {{"valid", bool(document)}, {"faults", std::move(faults)}});
    } else if (document) {
        output.results << "valid: service " << document->service.value << ", "
                       << document->servers.size() << " servers\n";
    } else {
        output.errors << printable(records::toError(document.faults()).message) << "\n";
    }
    return document ? ExitCode::Success : ExitCode::Failure;
}

ExitCode planDocument(std::string_view text, ClusterClient &cluster, const Output &output)
{
    const auto document = records::parseServiceDocument(text);
    if (!document)
        return fail(output, records::toError(document.faults()));
    const core::Outcome<decisions::ClusterState> state = cluster.fetchState();
    if (!state)
        return fail(output, state.error());

    const Plan plan = makePlan(*state, *document);
    if (output.json)
        writeJson(output, planToJson(document->service, plan));
    else if (plan.refusal.empty())
        writePlan(output.results, document->service, plan);
    else
        output.errors << "error: the document would be rejected: " << printable(plan.refusal)
                      << "\n";
    return plan.refusal.empty() ? ExitCode::Success : ExitCode::Failure;
}

ExitCode showReport(ClusterClient &cluster, report::Format format, const Output &output)
{
    const core::Outcome<report::Report> report = cluster.fetchReport();
    if (!report)
        return fail(output, report.error());
    output.results << report::renderReport(*report, format);
    if (format == report::Format::Json)
        output.results << "\n";
    return ExitCode::Success;
}

ExitCode showExplanation(const core::ServiceName &service, std::string_view key,
                         ClusterClient &cluster, const Output &output)
{
    const core::Outcome<report::Explanation> explanation = cluster.explain(service, key);
    if (!explanation)
        return fail(output, explanation.error());
    if (output.json) {
        output.results << report::encodeExplanation(*explanation) << "\n";
        return ExitCode::Success;
    }
    const auto named = [](const std::string &name) {
        return name.empty() ? std::string("none") : printable(name);
    };
    output.results << "server: " << named(explanation->server.value) << "\n"
                   << "since record: " << explanation->since.value << "\n"
                   << "controller: " << named(explanation->controller.value) << "\n"
                   << "epoch: " << explanation->epoch.value << "\n"
                   << "state as of record: " << explanation->offset.value << "\n"
                   << "why:\n";
    for (const std::string &reason : explanation->reasons)
        output.results << "  " << printable(reason) << "\n";
    return ExitCode::Success;
}

} // namespace amaranthdale::cli
