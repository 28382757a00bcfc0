// Output of results and errors as text or JSON.
#pragma once

#include "amaranthdale/cli/verbs.h"

#include <boost/json/object.hpp>

namespace amaranthdale::cli {

/// Replaces control characters, which could move the cursor of the operator's terminal, by `?`.
/// Line feeds are kept.
std::string printable(std::string text);

/// Writes an error and returns `Failure`.
ExitCode fail(const Output &output, const core::Error &error);

/// Writes a JSON result as one line.
void writeJson(const Output &output, const boost::json::object &result);

} // namespace amaranthdale::cli
