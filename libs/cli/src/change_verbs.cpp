// Commands that change the state in force.
#include "amaranthdale/records/service_document_codec.h"
#include "change.h"
#include "output.h"

#include <algorithm>
#include <ostream>

namespace amaranthdale::cli {

using core::Error;
using core::ErrorKind;

namespace {

decisions::LogRecord makeRecord(const ChangeContext &context, core::LogOffset basedOn,
                                decisions::RecordBody body)
{
    const core::InstanceId proposer{core::InstanceName("operator:" + context.proposer.user),
                                    context.proposer.run};
    return decisions::LogRecord{{proposer, 1}, basedOn, std::move(body)};
}

ExitCode reportAlreadyInForce(const Output &output, core::LogOffset version)
{
    if (output.json)
        writeJson(output, {{"offset", version.value}, {"alreadyInForce", true}});
    else
        output.results << "already in force since record " << version.value << "\n";
    return ExitCode::Success;
}

bool hasServerIn(const decisions::ClusterState &state, const core::DataCentreName &name)
{
    return std::any_of(state.servers().begin(), state.servers().end(),
                       [&name](const auto &entry) { return entry.second.spec.dataCentre == name; });
}

} // namespace

ExitCode applyDocument(std::string_view text, std::optional<core::LogOffset> replaces,
                       const ChangeContext &context, const Output &output)
{
    const auto document = records::parseServiceDocument(text);
    if (!document)
        return fail(output, records::toError(document.faults()));
    core::Outcome<decisions::ClusterState> state = context.cluster.fetchState();
    if (!state)
        return fail(output, state.error());
    const decisions::ServiceState *current = state->findService(document->service);
    if (current && current->document == *document)
        return reportAlreadyInForce(output, current->version);
    if (replaces && *replaces > state->offset())
        return fail(output,
                    Error{ErrorKind::InvalidArgument,
                          "--replaces is above the newest record "
                                  + std::to_string(state->offset().value)
                                  + "; give the version that plan shows"});

    const core::LogOffset basedOn = replaces.value_or(state->offset());
    const decisions::LogRecord record =
            makeRecord(context, basedOn, decisions::DocumentRecord{*document});
    return appendAndWait(Change{std::move(*state), record}, context, output);
}

ExitCode setDataCentre(const core::DataCentreName &name, bool drained, const ChangeContext &context,
                       const Output &output)
{
    core::Outcome<decisions::ClusterState> state = context.cluster.fetchState();
    if (!state)
        return fail(output, state.error());
    const auto known = state->dataCentres().find(name);
    const bool recorded = known != state->dataCentres().end();
    if (!hasServerIn(*state, name) && !recorded)
        return fail(output,
                    Error{ErrorKind::NotFound,
                          "no document in force has a server in data "
                          "centre "
                                  + name.value + "; check the name"});
    if (state->isDrained(name) == drained)
        return reportAlreadyInForce(output, recorded ? known->second.changedAt : core::LogOffset());

    const decisions::LogRecord record =
            makeRecord(context, state->offset(), decisions::DataCentreRecord{name, drained});
    return appendAndWait(Change{std::move(*state), record}, context, output);
}

} // namespace amaranthdale::cli
