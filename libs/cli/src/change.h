// Appends a record to the log and waits until it is in force on every live instance.
#pragma once

#include "amaranthdale/cli/verbs.h"

namespace amaranthdale::cli {

/// A record to append, and the state that it is based on.
struct Change
{
    decisions::ClusterState state; ///< Replayed up to `state.offset()`, at least `record.basedOn`.
    decisions::LogRecord record;
};

/// Appends the record, replays the log to determine whether it took effect, and waits until every
/// live instance has replayed it. Writes the result to `output`.
ExitCode appendAndWait(Change change, const ChangeContext &context, const Output &output);

} // namespace amaranthdale::cli
