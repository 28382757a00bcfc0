// Results and errors in text or JSON.
#pragma once

#include "amaranthdale/cli/verbs.h"

#include <boost/json/object.hpp>

namespace amaranthdale::cli {

/// Text without control characters, which could move the cursor of the operator's terminal. Line
/// ends stay.
std::string printable(std::string text);

/// Writes an error and returns `Failed`.
ExitCode fail(const Output &output, const core::Error &error);

/// Writes a JSON result on one line.
void writeJson(const Output &output, const boost::json::object &result);

} // namespace amaranthdale::cli
