// Appends a record and follows it until it is in force everywhere.
#pragma once

#include "amaranthdale/cli/verbs.h"

namespace amaranthdale::cli {

/// A record on its way, with the state on which it was decided.
struct Change
{
    decisions::ClusterState state; ///< Replayed up to `state.offset()`, at least `record.basedOn`.
    decisions::LogRecord record;
};

/// Appends the record, replays the log to see whether it took effect, and waits until every live
/// instance has replayed it. Writes what happened.
ExitCode carryOut(Change change, const ChangeContext &context, const Output &output);

} // namespace amaranthdale::cli
