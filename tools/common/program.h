// Command line and life cycle shared by the programs.
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

/// An invalid command line; the message says how to correct it.
class UsageError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Adds --help and --version, parses the command line and runs `work`. Prints errors on standard
/// error. Returns exitUsage for a UsageError or an invalid option, exitFailure for other
/// exceptions.
int runProgram(int argc, char **argv, cxxopts::Options options,
               const std::function<int(const cxxopts::ParseResult &)> &work);

/// Value of an option as a duration; throws UsageError if it is invalid.
core::Duration durationOption(const cxxopts::ParseResult &result, const std::string &name);

/// Value of an option as an endpoint; throws UsageError if it is invalid.
core::Endpoint endpointOption(const cxxopts::ParseResult &result, const std::string &name);

/// Adds --listen and --threads.
void addListenOptions(cxxopts::Options &options);

/// Runs `context` with `threads` workers until SIGTERM or SIGINT. Then calls `drain`, which must
/// call its argument when all work is done, and waits for that for at most one second.
void runUntilSignal(boost::asio::io_context &context, std::size_t threads,
                    const std::function<void(std::function<void()>)> &drain);

using MakeHandler = std::function<std::unique_ptr<core::RequestHandler>(
        const cxxopts::ParseResult &result, clock::Clock &clock)>;

/// Runs an HTTP server: adds --listen and --threads, prints `listening=<address:port>` and serves
/// until SIGTERM or SIGINT, then drains for at most one second.
int runServer(int argc, char **argv, cxxopts::Options options, const MakeHandler &makeHandler);

} // namespace amaranthdale::tools
