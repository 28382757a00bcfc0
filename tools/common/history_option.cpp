// The --history option.
#include "common/history_option.h"

#include "amaranthdale/core/outcome.h"

#include <stdexcept>

namespace amaranthdale::tools {

void addHistoryOption(cxxopts::Options &options)
{
    options.add_options()("history", "File to write events to, one JSON object per line",
                          cxxopts::value<std::string>()->default_value(""));
}

std::unique_ptr<history::EventSink> openHistorySink(const cxxopts::ParseResult &result)
{
    const auto path = result["history"].as<std::string>();
    if (path.empty())
        return history::makeNullSink();
    auto sink = core::attempt([&path] { return history::openHistoryFile(path); });
    if (!sink)
        throw std::runtime_error(sink.error().message);
    return std::move(*sink);
}

} // namespace amaranthdale::tools
