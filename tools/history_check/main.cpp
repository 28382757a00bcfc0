// Checks the history files of a test run against the promises in docs/design.md.
#include "amaranthdale/core/outcome.h"
#include "amaranthdale/history/checks.h"
#include "amaranthdale/history/history_file.h"
#include "common/program.h"

#include <iostream>
#include <map>

using namespace amaranthdale;

namespace {

std::vector<history::Event> readHistoryFiles(const std::vector<std::string> &paths)
{
    std::vector<history::Event> events;
    for (const std::string &path : paths) {
        auto part = core::attempt([&path] { return history::readHistoryFile(path); });
        if (!part)
            throw std::runtime_error(part.error().message);
        events.insert(events.end(), part->begin(), part->end());
    }
    return events;
}

void printBreach(const history::Breach &breach)
{
    std::cout << "breach promise=" << breach.promise << ' ' << breach.message << '\n';
    for (const history::Event &event : breach.events)
        std::cout << "    " << history::encodeEvent(event) << '\n';
}

void printSummary(const std::vector<history::Event> &events,
                  const std::vector<history::Breach> &breaches)
{
    std::map<unsigned, std::size_t> counts;
    for (const history::Breach &breach : breaches)
        ++counts[breach.promise];
    std::cout << "events=" << events.size() << " breaches=" << breaches.size();
    for (const auto &[promise, count] : counts)
        std::cout << " promise" << promise << '=' << count;
    std::cout << '\n';
}

int checkFiles(const cxxopts::ParseResult &result)
{
    if (!result.count("files"))
        throw tools::UsageError("no history file given; at least one is required");
    const auto events = readHistoryFiles(result["files"].as<std::vector<std::string>>());
    const auto breaches = history::checkHistory(events);
    const std::size_t printedCount = std::min(result["most"].as<std::size_t>(), breaches.size());
    for (std::size_t index = 0; index < printedCount; ++index)
        printBreach(breaches[index]);
    printSummary(events, breaches);
    return breaches.empty() ? tools::exitSuccess : tools::exitFailure;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("history-check",
                             "Reports breaches of the promises found in history files");
    options.add_options()("files", "History files", cxxopts::value<std::vector<std::string>>())(
            "most", "Maximum number of breaches to print in full",
            cxxopts::value<std::size_t>()->default_value("20"));
    options.parse_positional({"files"});
    options.positional_help("FILE...");
    return tools::runProgram(argc, argv, std::move(options), checkFiles);
}
