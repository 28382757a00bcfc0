// Operator commands, independent of the command line and transport.
#pragma once

#include "amaranthdale/cli/blocking_clock.h"
#include "amaranthdale/cli/cluster_client.h"
#include "amaranthdale/logclient/log_service.h"

#include <iosfwd>
#include <optional>

namespace amaranthdale::cli {

/// Exit codes of `amaranthdalectl`.
enum class ExitCode { Success = 0, Failure = 1, UsageError = 2 };

/// Output streams of a command. With `json`, both results and errors are written to `results` as
/// JSON; otherwise errors are written to `errors` as text.
struct Output
{
    std::ostream &results;
    std::ostream &errors;
    bool json = false;
};

/// Author of a change, as stored in the log record.
struct Proposer
{
    std::string user;
    core::Incarnation run; ///< Random for each run of the program.
};

/// Dependencies and parameters of a command that changes the state.
struct ChangeContext
{
    ClusterClient &cluster;
    logclient::LogService &log;
    BlockingClock &pacer;
    Proposer proposer;
    core::Duration waitLimit = std::chrono::seconds(30); ///< For each wait in turn.
};

/// Validates a service document and lists all errors in it.
ExitCode checkDocument(std::string_view text, const Output &output);

/// Shows the changes that a document would make to the state in force.
ExitCode planDocument(std::string_view text, ClusterClient &cluster, const Output &output);

/// Appends a document and waits until every live instance has replayed it. The record takes effect
/// only if the document in force is still the version `replaces`, by default the one in force when
/// the command reads the state. On a conflict, the output names the author of the newer version.
ExitCode applyDocument(std::string_view text, std::optional<core::LogOffset> replaces,
                       const ChangeContext &context, const Output &output);

/// Drains a data centre (`drained`) or returns it to service, and waits like `applyDocument`. Fails
/// with NotFound if no document has a server in the data centre and no record mentions it.
ExitCode setDataCentre(const core::DataCentreName &name, bool drained, const ChangeContext &context,
                       const Output &output);

/// Shows the report of all instances.
ExitCode showReport(ClusterClient &cluster, report::Format format, const Output &output);

/// Shows the owner of a key and the reasons for it.
ExitCode showExplanation(const core::ServiceName &service, std::string_view key,
                         ClusterClient &cluster, const Output &output);

} // namespace amaranthdale::cli
