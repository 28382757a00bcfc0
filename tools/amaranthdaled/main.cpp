// Daemon that runs one instance: command line, settings, worker threads and signals.
#include "amaranthdale/clock/clock.h"
#include "amaranthdale/daemon/instance.h"
#include "amaranthdale/daemon/settings.h"
#include "amaranthdale/log/event_log.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <vector>

namespace {

namespace asio = boost::asio;
using namespace amaranthdale;

constexpr const char *version = "amaranthdaled " AMARANTHDALE_VERSION;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

cxxopts::Options makeOptions()
{
    cxxopts::Options options("amaranthdaled", "One instance of the amaranthdale router.");
    options.add_options()("settings", "JSON file with the settings of this instance",
                          cxxopts::value<std::string>())("check", "check the settings and exit")(
            "version", "print the version and exit")("help", "print this text and exit");
    return options;
}

std::optional<daemon::Settings> readSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot open the settings file\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto checked = daemon::parseSettings(text.str());
    if (checked)
        return checked.value();
    for (const records::Fault &fault : checked.faults())
        std::cerr << path << ": " << fault.path << ": " << fault.message << '\n';
    return std::nullopt;
}

// Stops the instance gracefully on the first SIGTERM or SIGINT, then ends the process.
void stopOnSignal(asio::signal_set &signals, daemon::Instance &instance, asio::io_context &context)
{
    signals.async_wait([&](const boost::system::error_code &error, int) {
        if (!error)
            instance.stop([&context] { context.stop(); });
    });
}

int run(const daemon::Settings &settings)
{
    asio::io_context context(static_cast<int>(settings.workers));
    const auto clock = clock::makeAsioClock(context);
    const auto sink = log::makeStandardErrorSink();
    log::LogOptions limits;
    limits.minSeverity = settings.logLevel;
    const auto eventLog = log::makeEventLog(*clock, *sink, limits);

    auto started =
            core::attempt([&] { return daemon::startInstance(context, settings, *eventLog); });
    if (!started) {
        std::cerr << started.error().message << '\n';
        return exitFailure;
    }
    const std::unique_ptr<daemon::Instance> instance = std::move(*started);
    const daemon::InstanceEndpoints endpoints = instance->endpoints();
    std::cout << "callers=" << core::formatEndpoint(endpoints.callers)
              << " peers=" << core::formatEndpoint(endpoints.peers)
              << " operators=" << core::formatEndpoint(endpoints.operators) << std::endl;

    asio::signal_set signals(context, SIGTERM, SIGINT);
    stopOnSignal(signals, *instance, context);
    std::vector<std::thread> workers;
    for (unsigned index = 0; index < settings.workers; ++index)
        workers.emplace_back([&context] { context.run(); });
    for (std::thread &worker : workers)
        worker.join();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    cxxopts::Options options = makeOptions();
    try {
        const auto parsed = options.parse(argumentCount, arguments);
        if (parsed.count("help")) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        if (parsed.count("version")) {
            std::cout << version << '\n';
            return EXIT_SUCCESS;
        }
        if (!parsed.count("settings")) {
            std::cerr << "--settings is required; see --help\n";
            return exitUsage;
        }
        const auto settings = readSettings(parsed["settings"].as<std::string>());
        if (!settings)
            return exitFailure;
        return parsed.count("check") ? EXIT_SUCCESS : run(*settings);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << "; see --help\n";
        return exitUsage;
    }
}
