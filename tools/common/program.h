// Command line and life cycle that the programs share.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/core/message.h"

#include <cxxopts.hpp>

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

namespace boost::asio {
class io_context;
}

namespace amaranthdale::tools {

inline constexpr int exitSuccess = 0;
inline constexpr int exitFailure = 1;
inline constexpr int exitUsage = 2;

/// A wrong value on the command line; its text names the remedy.
class UsageError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Adds --help and --version, parses, and runs `work`. Prints errors on standard error; a
/// UsageError or a bad option gives exit code 2, any other exception 1.
int runProgram(int argc, char **argv, cxxopts::Options options,
               const std::function<int(const cxxopts::ParseResult &)> &work);

/// Value of an option as a duration; throws UsageError.
core::Duration durationOption(const cxxopts::ParseResult &result, const std::string &name);

/// Value of an option as an endpoint; throws UsageError.
core::Endpoint endpointOption(const cxxopts::ParseResult &result, const std::string &name);

/// Adds --listen and --threads.
void addListenOptions(cxxopts::Options &options);

/// Runs `context` with `threads` workers until SIGTERM or SIGINT. Then calls `drain`, which calls
/// its argument when all work is done, and waits for that at most one second.
void runUntilSignal(boost::asio::io_context &context, std::size_t threads,
                    const std::function<void(std::function<void()>)> &drain);

using MakeHandler = std::function<std::unique_ptr<core::RequestHandler>(
        const cxxopts::ParseResult &result, clock::Clock &clock)>;

/// A program that serves HTTP: adds --listen and --threads, prints `listening=<address:port>` and
/// ends on SIGTERM or SIGINT, at most one second after the last response.
int runServer(int argc, char **argv, cxxopts::Options options, const MakeHandler &makeHandler);

} // namespace amaranthdale::tools
