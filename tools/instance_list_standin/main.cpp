// Stand-in of the platform's list of instances.
#include "common/program.h"
#include "instance_list_standin/list_handler.h"

using namespace amaranthdale;

int main(int argc, char **argv)
{
    cxxopts::Options options("instance-list-standin",
                             "Stands in for the platform's list of instances");
    options.add_options()("lag", "Readers see the list as it was this long ago",
                          cxxopts::value<std::string>()->default_value("0s"));
    return tools::runServer(argc, argv, std::move(options),
                            [](const cxxopts::ParseResult &result, clock::Clock &clock) {
                                return std::make_unique<tools::ListHandler>(
                                        clock, tools::durationOption(result, "lag"));
                            });
}
