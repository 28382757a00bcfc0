// The operator commands as functions over interfaces.
#pragma once

#include "amaranthdale/cli/cluster_client.h"
#include "amaranthdale/cli/pacer.h"
#include "amaranthdale/logclient/log_service.h"

#include <iosfwd>
#include <optional>

namespace amaranthdale::cli {

/// Exit codes of the program.
enum class ExitCode { Done = 0, Failed = 1, WrongUse = 2 };

/// Where a command writes. With `json`, results and errors are JSON on `results`; else errors go to
/// `errors`.
struct Output
{
    std::ostream &results;
    std::ostream &errors;
    bool json = false;
};

/// Who proposes a change.
struct Proposer
{
    std::string user;
    core::Incarnation run; ///< Drawn at random for each run of the program.
};

/// What a change needs.
struct ChangeContext
{
    ClusterClient &cluster;
    logclient::LogService &log;
    Pacer &pacer;
    Proposer proposer;
    core::Duration waitLimit = std::chrono::seconds(30); ///< For being in force everywhere.
};

/// Checks a service document and lists all its faults.
ExitCode checkDocument(std::string_view text, const Output &output);

/// Shows what a document would change against the state in force.
ExitCode planDocument(std::string_view text, ClusterClient &cluster, const Output &output);

/// Appends a document and waits until every live instance has replayed it. The append takes effect
/// only if the document in force is still the one at `replaces`, by default the one in force when
/// the command reads the state. On a conflict the output names who won.
ExitCode applyDocument(std::string_view text, std::optional<core::LogOffset> replaces,
                       const ChangeContext &context, const Output &output);

/// Takes a data centre out of service (`drained`) or returns it, and waits like `applyDocument`.
/// Fails for a data centre in which no document has a server.
ExitCode setDataCentre(const core::DataCentreName &name, bool drained, const ChangeContext &context,
                       const Output &output);

/// Shows the report of all instances.
ExitCode showReport(ClusterClient &cluster, report::Format format, const Output &output);

/// Shows who owns a key and why.
ExitCode showExplanation(const core::ServiceName &service, std::string_view key,
                         ClusterClient &cluster, const Output &output);

} // namespace amaranthdale::cli
