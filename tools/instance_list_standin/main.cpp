// Test stand-in for the platform's instance list.
#include "common/program.h"
#include "instance_list_standin/list_handler.h"

using namespace amaranthdale;

int main(int argc, char **argv)
{
    cxxopts::Options options("instance-list-standin",
                             "Test stand-in for the platform's instance list");
    options.add_options()("lag", "Delay until readers see a change",
                          cxxopts::value<std::string>()->default_value("0s"));
    return tools::runServer(argc, argv, std::move(options),
                            [](const cxxopts::ParseResult &result, clock::Clock &clock) {
                                return std::make_unique<tools::ListHandler>(
                                        clock, tools::durationOption(result, "lag"));
                            });
}
