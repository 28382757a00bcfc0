// Test stand-in for a backend server.
#include "backend_standin/backend_handler.h"
#include "common/history_option.h"
#include "common/program.h"

#include <cstdlib>

using namespace amaranthdale;

namespace {

void addOptions(cxxopts::Options &options)
{
    const auto text = [](const char *preset) {
        return cxxopts::value<std::string>()->default_value(preset);
    };
    const auto count = [](const char *preset) {
        return cxxopts::value<unsigned>()->default_value(preset);
    };
    options.add_options()("name", "Name of this backend server", text("server-1"))(
            "service", "Service of this backend server",
            text("stockroom"))("no-fence-check", "Run requests with any fence, slot and lease")(
            "request-slots", "Maximum number of concurrent requests", count("4"))(
            "cold-slots", "Concurrent requests sustained just after a start",
            count("1"))("warm-up", "Time until all request slots are sustained", text("5s"))(
            "collapse", "Duration of the slowdown after overload while cold",
            text("2s"))("service-time", "Mean service time",
                        text("5ms"))("jitter", "Relative variation of service times",
                                     cxxopts::value<double>()->default_value("0.2"))(
            "seed", "Seed of the jitter", cxxopts::value<std::uint64_t>()->default_value("1"))(
            "response-bytes", "Minimum size of an echo response",
            cxxopts::value<std::size_t>()->default_value("0"));
    tools::addHistoryOption(options);
}

tools::BackendSettings parseBackendSettings(const cxxopts::ParseResult &result)
{
    tools::BackendSettings settings;
    settings.name = core::ServerName(result["name"].as<std::string>());
    settings.service = core::ServiceName(result["service"].as<std::string>());
    settings.checksFence = result.count("no-fence-check") == 0;
    settings.requestSlots = result["request-slots"].as<unsigned>();
    settings.coldSlots = result["cold-slots"].as<unsigned>();
    settings.warmUp = tools::durationOption(result, "warm-up");
    settings.collapse = tools::durationOption(result, "collapse");
    settings.serviceTime = tools::durationOption(result, "service-time");
    settings.jitter = result["jitter"].as<double>();
    settings.seed = result["seed"].as<std::uint64_t>();
    settings.responseBytes = result["response-bytes"].as<std::size_t>();
    if (settings.coldSlots == 0 || settings.coldSlots > settings.requestSlots)
        throw tools::UsageError("--cold-slots must be from 1 to --request-slots");
    if (settings.jitter < 0 || settings.jitter >= 1)
        throw tools::UsageError("--jitter must be at least 0 and below 1");
    return settings;
}

// Ends the process like a crash: no destructors run and connections break.
void crashProcess()
{
    std::_Exit(tools::exitFailure);
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("backend-standin",
                             "Test stand-in for a backend server; PUT /control sets faults");
    addOptions(options);
    std::unique_ptr<history::EventSink> sink;
    return tools::runServer(argc, argv, std::move(options),
                            [&sink](const cxxopts::ParseResult &result, clock::Clock &clock) {
                                sink = tools::openHistorySink(result);
                                return std::make_unique<tools::BackendHandler>(
                                        parseBackendSettings(result), clock, *sink, crashProcess);
                            });
}
