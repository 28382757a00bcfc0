// The --history option.
#pragma once

#include "amaranthdale/history/history_file.h"

#include <cxxopts.hpp>

#include <memory>

namespace amaranthdale::tools {

/// Adds `--history FILE`.
void addHistoryOption(cxxopts::Options &options);

/// Sink for the file in `--history`, or one that discards all events if the option is not given.
/// Throws std::runtime_error if the file can't be opened.
std::unique_ptr<history::EventSink> openHistorySink(const cxxopts::ParseResult &result);

} // namespace amaranthdale::tools
