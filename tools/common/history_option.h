// The --history option.
#pragma once

#include "amaranthdale/history/history_file.h"

#include <cxxopts.hpp>

#include <memory>

namespace amaranthdale::tools {

/// Adds `--history FILE`.
void addHistoryOption(cxxopts::Options &options);

/// The sink that the option names, or one that drops all events. Throws std::runtime_error when the
/// file can't be written.
std::unique_ptr<history::EventSink> historyOption(const cxxopts::ParseResult &result);

} // namespace amaranthdale::tools
