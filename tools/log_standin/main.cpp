// Test stand-in for the platform's log service.
#include "common/history_option.h"
#include "common/program.h"
#include "log_standin/log_handler.h"

using namespace amaranthdale;

namespace {

class LogProgram
{
public:
    std::unique_ptr<core::RequestHandler> make(const cxxopts::ParseResult &result,
                                               clock::Clock &clock)
    {
        this->sink = tools::openHistorySink(result);
        const auto retain = result["retain"].as<std::size_t>();
        if (retain == 0)
            throw tools::UsageError("--retain must be at least 1");
        return std::make_unique<tools::LogHandler>(clock, *this->sink, retain);
    }

private:
    std::unique_ptr<history::EventSink> sink;
};

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options(
            "log-standin",
            "Test stand-in for the platform's log service; PUT /control sets faults");
    options.add_options()("retain", "Number of records that each stream keeps",
                          cxxopts::value<std::size_t>()->default_value("100000"));
    tools::addHistoryOption(options);
    LogProgram program;
    return tools::runServer(argc, argv, std::move(options),
                            [&program](const auto &result, clock::Clock &clock) {
                                return program.make(result, clock);
                            });
}
