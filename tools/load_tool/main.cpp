// Generates load on instances and checks each response.
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
    const auto number = [](const char *preset) {
        return cxxopts::value<double>()->default_value(preset);
    };
    options.add_options()("instance", "Address and port of an instance; separate several by commas",
                          cxxopts::value<std::vector<std::string>>());
    options.add_options()("service", "Service to call", text("stockroom"));
    options.add_options()("key-header", "Header that carries the key", text("X-Key"));
    options.add_options()("brand-header", "Header that carries the brand", text("X-Brand"));
    options.add_options()("brands", "Brands to choose from, separated by commas",
                          cxxopts::value<std::vector<std::string>>());
    options.add_options()("keys", "Number of keys", count("10000"));
    options.add_options()("zipf", "Exponent of the Zipf distribution of keys", number("1"));
    options.add_options()("non-idempotent", "Share of non-idempotent requests", number("0.1"));
    options.add_options()("body-bytes", "Body size of a non-idempotent request", count("1024"));
    options.add_options()("rate", "Requests per second (open loop); 0 selects the closed loop",
                          number("0"));
    options.add_options()("concurrency", "Requests in flight in the closed loop", count("16"));
    options.add_options()("connections", "Connections per instance", count("16"));
    options.add_options()("length", "Duration of the load", text("10s"));
    options.add_options()("timeout", "Timeout of a request", text("3s"));
    options.add_options()("resends", "Resends of an unanswered non-idempotent request",
                          cxxopts::value<unsigned>()->default_value("2"));
    options.add_options()("direct", "Treat the instances as backend servers");
    options.add_options()("own-ids", "Generate request ids locally instead of fetching them");
    options.add_options()("id-batch", "Number of request ids per fetch", count("100"));
    options.add_options()("seed", "Seed of the request generator",
                          cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("threads", "Worker threads", count("2"));
    options.add_options()("json", "Print the summary as JSON");
    tools::addHistoryOption(options);
}

std::vector<core::Endpoint> parseInstances(const cxxopts::ParseResult &result)
{
    if (!result.count("instance"))
        throw tools::UsageError("--instance is required; give ADDRESS:PORT");
    std::vector<core::Endpoint> endpoints;
    for (const auto &text : result["instance"].as<std::vector<std::string>>()) {
        const auto endpoint = core::attempt([&text] { return core::parseEndpoint(text); });
        if (!endpoint)
            throw tools::UsageError("--instance: " + endpoint.error().message);
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

tools::LoadPlan parsePlan(const cxxopts::ParseResult &result)
{
    tools::LoadPlan plan;
    plan.instances = parseInstances(result);
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
    plan.duration = tools::durationOption(result, "length");
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

int runLoad(const cxxopts::ParseResult &result)
{
    const tools::LoadPlan plan = parsePlan(result);
    const auto sink = tools::openHistorySink(result);
    boost::asio::io_context context;
    const auto guard = boost::asio::make_work_guard(context);
    const auto clock = clock::makeAsioClock(context);
    http::ClientLimits limits;
    limits.maxConnectionsPerEndpoint = result["connections"].as<std::size_t>();
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
    const bool passed = summary.answered > 0 && summary.wrong == 0 && summary.shortBodies == 0;
    return passed ? tools::exitSuccess : tools::exitFailure;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("load-tool",
                             "Generates load on instances and checks each response; fails if none "
                             "was answered or any was wrong or truncated");
    addOptions(options);
    return tools::runProgram(argc, argv, std::move(options), runLoad);
}
