// Makes load on instances and checks each response.
#include "amaranthdale/http/backend_client.h"
#include "common/history_option.h"
#include "common/program.h"
#include "load_tool/load_run.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <iostream>
#include <thread>

using namespace amaranthdale;

namespace {

void addOptions(cxxopts::Options &options)
{
    const auto text = [](const char *preset) {
        return cxxopts::value<std::string>()->default_value(preset);
    };
    const auto count = [](const char *preset) {
        return cxxopts::value<std::size_t>()->default_value(preset);
    };
    const auto share = [](const char *preset) {
        return cxxopts::value<double>()->default_value(preset);
    };
    options.add_options()("instance", "Address and port of an instance; several with commas",
                          cxxopts::value<std::vector<std::string>>());
    options.add_options()("service", "Service to call", text("stockroom"));
    options.add_options()("key-header", "Header that carries the key", text("X-Key"));
    options.add_options()("brand-header", "Header that carries the brand", text("X-Brand"));
    options.add_options()("brands", "Brands to choose from",
                          cxxopts::value<std::vector<std::string>>());
    options.add_options()("keys", "Number of keys", count("10000"));
    options.add_options()("zipf", "Exponent of the Zipf distribution of keys", share("1"));
    options.add_options()("non-idempotent", "Share of non-idempotent requests", share("0.1"));
    options.add_options()("body-bytes", "Length of a non-idempotent body", count("1024"));
    options.add_options()("rate", "Requests each second (open loop); 0: closed loop", share("0"));
    options.add_options()("concurrency", "Requests in flight of the closed loop", count("16"));
    options.add_options()("connections", "Connections to each instance", count("16"));
    options.add_options()("length", "How long to make load", text("10s"));
    options.add_options()("timeout", "Time limit of a request", text("3s"));
    options.add_options()("resends", "Resends of an unanswered non-idempotent request",
                          cxxopts::value<unsigned>()->default_value("2"));
    options.add_options()("direct", "The instances given are backend servers");
    options.add_options()("own-ids", "Make request ids here instead of fetching them");
    options.add_options()("id-batch", "Ids to fetch at once", count("100"));
    options.add_options()("seed", "Seed of the mix",
                          cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("threads", "Worker threads", count("2"));
    options.add_options()("json", "Print the summary as JSON");
    tools::addHistoryOption(options);
}

std::vector<core::Endpoint> instancesOf(const cxxopts::ParseResult &result)
{
    if (!result.count("instance"))
        throw tools::UsageError("--instance is missing; give address:port");
    std::vector<core::Endpoint> endpoints;
    for (const auto &text : result["instance"].as<std::vector<std::string>>()) {
        const auto endpoint = core::attempt([&text] { return core::parseEndpoint(text); });
        if (!endpoint)
            throw tools::UsageError("--instance: " + endpoint.error().message);
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

tools::LoadPlan planOf(const cxxopts::ParseResult &result)
{
    tools::LoadPlan plan;
    plan.instances = instancesOf(result);
    plan.service = core::ServiceName(result["service"].as<std::string>());
    plan.keyHeader = result["key-header"].as<std::string>();
    plan.brandHeader = result["brand-header"].as<std::string>();
    if (result.count("brands"))
        plan.brands = result["brands"].as<std::vector<std::string>>();
    plan.keys = result["keys"].as<std::size_t>();
    plan.zipfExponent = result["zipf"].as<double>();
    plan.nonIdempotentShare = result["non-idempotent"].as<double>();
    plan.bodyBytes = result["body-bytes"].as<std::size_t>();
    plan.ratePerSecond = result["rate"].as<double>();
    plan.concurrency = result["concurrency"].as<std::size_t>();
    plan.length = tools::durationOption(result, "length");
    plan.timeout = tools::durationOption(result, "timeout");
    plan.resends = result["resends"].as<unsigned>();
    plan.direct = result.count("direct") > 0;
    plan.ownIds = result.count("own-ids") > 0;
    plan.idBatch = result["id-batch"].as<std::size_t>();
    plan.seed = result["seed"].as<std::uint64_t>();
    if (plan.keys == 0 || plan.concurrency == 0 || plan.idBatch == 0)
        throw tools::UsageError("--keys, --concurrency and --id-batch must be at least 1");
    return plan;
}

int makeLoad(const cxxopts::ParseResult &result)
{
    const tools::LoadPlan plan = planOf(result);
    const auto sink = tools::openHistorySink(result);
    boost::asio::io_context context;
    const auto guard = boost::asio::make_work_guard(context);
    const auto clock = clock::makeAsioClock(context);
    http::ClientLimits limits;
    limits.connectionsPerEndpoint = result["connections"].as<std::size_t>();
    const auto sender = http::makeBackendClient(context, limits);
    tools::LoadRun run(plan, *sender, *clock, *sink);
    run.start([&context] { context.stop(); });
    {
        std::vector<std::jthread> workers;
        for (std::size_t left = result["threads"].as<std::size_t>(); left > 0; --left)
            workers.emplace_back([&context] { context.run(); });
    }
    const tools::LoadSummary summary = run.summary();
    std::cout << (result.count("json") ? summary.toJson() : summary.toText()) << '\n';
    const bool sound = summary.answered > 0 && summary.wrong == 0 && summary.shortBodies == 0;
    return sound ? tools::exitSuccess : tools::exitFailure;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("load-tool",
                             "Makes load on instances and checks each response; fails when none "
                             "was answered or one was wrong or short");
    addOptions(options);
    return tools::runProgram(argc, argv, std::move(options), makeLoad);
}
