// Command line and life cycle shared by the programs.
#include "common/program.h"

#include "amaranthdale/http/server.h"
#include "amaranthdale/records/duration.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <iostream>
#include <thread>
#include <vector>

namespace amaranthdale::tools {

namespace {

constexpr auto maxDrainTime = std::chrono::seconds(1);

void printError(std::string_view text)
{
    std::cerr << "error: " << text << '\n';
}

int serve(const cxxopts::ParseResult &result, const MakeHandler &makeHandler)
{
    boost::asio::io_context context;
    const auto clock = clock::makeAsioClock(context);
    const core::Endpoint address = endpointOption(result, "listen");
    const auto handler = makeHandler(result, *clock);
    auto listener = core::attempt([&] { return http::makeHttpServer(context, address, *handler); });
    if (!listener) {
        printError(listener.error().message);
        return exitFailure;
    }
    std::cout << "listening=" << core::formatEndpoint((*listener)->localEndpoint()) << std::endl;
    runUntilSignal(context, result["threads"].as<std::size_t>(),
                   [&](std::function<void()> done) { (*listener)->drain(std::move(done)); });
    return exitSuccess;
}

} // namespace

int runProgram(int argc, char **argv, cxxopts::Options options,
               const std::function<int(const cxxopts::ParseResult &)> &work)
{
    options.add_options()("h,help", "Show this help")("version", "Show the version");
    try {
        const cxxopts::ParseResult result = options.parse(argc, argv);
        if (result.count("help")) {
            std::cout << options.help();
            return exitSuccess;
        }
        if (result.count("version")) {
            std::cout << options.program() << ' ' << AMARANTHDALE_VERSION << '\n';
            return exitSuccess;
        }
        if (!result.unmatched().empty())
            throw UsageError("unknown argument " + result.unmatched().front() + "; see --help");
        return work(result);
    } catch (const UsageError &error) {
        printError(error.what());
        return exitUsage;
    } catch (const cxxopts::exceptions::exception &error) {
        printError(std::string(error.what()) + "; see --help");
        return exitUsage;
    } catch (const std::exception &error) {
        printError(error.what());
        return exitFailure;
    }
}

core::Duration durationOption(const cxxopts::ParseResult &result, const std::string &name)
{
    const auto text = result[name].as<std::string>();
    const auto duration = core::attempt([&text] { return records::parseDuration(text); });
    if (!duration)
        throw UsageError("--" + name + ": " + duration.error().message);
    return *duration;
}

core::Endpoint endpointOption(const cxxopts::ParseResult &result, const std::string &name)
{
    const auto text = result[name].as<std::string>();
    const auto endpoint = core::attempt([&text] { return core::parseEndpoint(text); });
    if (!endpoint)
        throw UsageError("--" + name + ": " + endpoint.error().message);
    return *endpoint;
}

void addListenOptions(cxxopts::Options &options)
{
    options.add_options()("listen", "Address and port; for port 0, the system chooses one",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
            "threads", "Worker threads", cxxopts::value<std::size_t>()->default_value("2"));
}

void runUntilSignal(boost::asio::io_context &context, std::size_t threads,
                    const std::function<void(std::function<void()>)> &drain)
{
    const auto stop = [&context] { context.stop(); };
    boost::asio::steady_timer limit(context);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) {
        limit.expires_after(maxDrainTime);
        limit.async_wait([stop](const boost::system::error_code &) { stop(); });
        drain(stop);
    });
    std::vector<std::jthread> workers;
    for (std::size_t left = threads; left > 1; --left)
        workers.emplace_back([&context] { context.run(); });
    context.run();
}

int runServer(int argc, char **argv, cxxopts::Options options, const MakeHandler &makeHandler)
{
    addListenOptions(options);
    return runProgram(argc, argv, std::move(options),
                      [&makeHandler](const auto &result) { return serve(result, makeHandler); });
}

} // namespace amaranthdale::tools
