// TCP proxy that injects faults, set at run time.
#include "amaranthdale/http/server.h"
#include "common/program.h"
#include "fault_proxy/proxy.h"

#include <iostream>

using namespace amaranthdale;

namespace {

int serve(const cxxopts::ParseResult &result)
{
    const core::Endpoint listen = tools::endpointOption(result, "listen");
    const core::Endpoint target = tools::endpointOption(result, "target");
    const core::Endpoint control = tools::endpointOption(result, "control");
    boost::asio::io_context context;
    const auto clock = clock::makeAsioClock(context);
    tools::Proxy proxy(context, *clock, listen, target);
    auto listener = core::attempt([&] { return http::makeHttpServer(context, control, proxy); });
    if (!listener)
        throw std::runtime_error(listener.error().message);
    proxy.accept();
    std::cout << "listening=" << core::formatEndpoint(proxy.localEndpoint()) << '\n'
              << "control=" << core::formatEndpoint((*listener)->localEndpoint()) << std::endl;
    tools::runUntilSignal(context, result["threads"].as<std::size_t>(),
                          [](const std::function<void()> &done) { done(); });
    return tools::exitSuccess;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("fault-proxy",
                             "Forwards TCP connections to a target; PUT /control on the control "
                             "port delays, drops, closes or resets them, or leaves them half open");
    tools::addListenOptions(options);
    options.add_options()("target", "Address and port to forward to",
                          cxxopts::value<std::string>())(
            "control", "Address and port of the control port",
            cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    return tools::runProgram(argc, argv, std::move(options), [](const auto &result) {
        if (!result.count("target"))
            throw tools::UsageError("--target is required; give ADDRESS:PORT");
        return serve(result);
    });
}
