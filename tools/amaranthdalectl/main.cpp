// Command-line client for operators: connects libs/cli to the network, the clock and files.
#include "amaranthdale/cli/command.h"
#include "amaranthdale/http/backend_client.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>

using namespace amaranthdale;

namespace {

cli::Proposer makeProposer()
{
    const char *user = std::getenv("USER");
    std::random_device random;
    const std::uint64_t runId = (std::uint64_t(random()) << 32U) | random();
    return cli::Proposer{user ? user : "unknown", core::Incarnation(runId)};
}

} // namespace

int main(int argc, char **argv)
{
    boost::asio::io_context context;
    auto workGuard = boost::asio::make_work_guard(context);
    std::thread worker([&context] { context.run(); });

    const auto sender = http::makeBackendClient(context);
    const auto clock = clock::makeAsioClock(context);
    const auto pacer = cli::makeBlockingClock(*clock);
    const auto files = cli::makeFileReader();
    const cli::ExitCode code =
            cli::runCommand(std::vector<std::string>(argv, argv + argc),
                            cli::CommandDependencies{*sender, *pacer, *files, makeProposer()},
                            std::cout, std::cerr);

    // No request is in progress, so idle keep-alive connections need no graceful shutdown.
    context.stop();
    worker.join();
    return static_cast<int>(code);
}
