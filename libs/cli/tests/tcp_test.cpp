// Test of a command over TCP connections and timers.
#include "amaranthdale/cli/command.h"
#include "amaranthdale/http/backend_client.h"
#include "amaranthdale/http/server.h"
#include "amaranthdale/records/record_codec.h"
#include "fake_cluster.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <mutex>
#include <sstream>
#include <thread>

using namespace amaranthdale;
using namespace amaranthdale::cli;

namespace {

// Forwards a listener's requests to the port of the fake cluster that it stands for.
class ClusterPort : public core::RequestHandler
{
public:
    ClusterPort(FakeCluster &cluster, std::mutex &clusterMutex, std::uint16_t port)
        : fake(cluster), mutex(clusterMutex), endpoint{"127.0.0.1", port}
    { }

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override
    {
        std::lock_guard lock(this->mutex);
        return this->fake.send(this->endpoint, std::move(request), std::chrono::seconds(1),
                               std::move(respond));
    }

private:
    FakeCluster &fake;
    std::mutex &mutex;
    const core::Endpoint endpoint;
};

std::string documentWithServerIn(const std::string &dataCentre)
{
    decisions::BackendServer server;
    server.name = core::ServerName("s1");
    server.dataCentre = core::DataCentreName(dataCentre);
    server.endpoint = core::Endpoint{"10.0.0.1", 9001};
    decisions::ServiceDocument document;
    document.service = core::ServiceName("till");
    document.servers.push_back(server);
    return records::encodeRecord({{{core::InstanceName("operator:ana"), core::Incarnation(2)}, 1},
                                  core::LogOffset(1),
                                  decisions::DocumentRecord{document}});
}

} // namespace

TEST_CASE("a change works over TCP, with responses on another thread than the command's")
{
    FakeCluster cluster;
    std::mutex mutex;
    ClusterPort log(cluster, mutex, 7000);
    ClusterPort instance(cluster, mutex, 8082);

    boost::asio::io_context context;
    auto work = boost::asio::make_work_guard(context);
    std::thread worker([&context] { context.run(); });
    {
        const core::Endpoint anyPort{"127.0.0.1", 0};
        const auto listen = [&](core::RequestHandler &handler) {
            return core::attempt([&] { return http::makeHttpServer(context, anyPort, handler); });
        };
        auto logListener = listen(log);
        auto instanceListener = listen(instance);
        REQUIRE(logListener);
        REQUIRE(instanceListener);
        const auto sender = http::makeBackendClient(context);
        const auto clock = clock::makeAsioClock(context);
        const auto pacer = makeBlockingClock(*clock);
        const auto files = makeFileReader();
        std::ostringstream results;
        std::ostringstream errors;

        cluster.append("a record that no version can read");
        cluster.append(documentWithServerIn("gasabo"));
        const ExitCode code = runCommand(
                {"amaranthdalectl", "drain-data-centre", "gasabo", "--instance",
                 core::formatEndpoint((*instanceListener)->localEndpoint()), "--log",
                 core::formatEndpoint((*logListener)->localEndpoint())},
                {*sender, *pacer, *files, {"eva", core::Incarnation(1)}}, results, errors);
        CHECK(code == ExitCode::Success);
        CHECK(results.str().find("in force on 2 instances as record 3") != std::string::npos);
        CHECK(errors.str().empty());

        const core::TimePoint begin = pacer->now();
        pacer->sleepFor(std::chrono::milliseconds(5));
        CHECK(pacer->now() - begin >= std::chrono::milliseconds(5));
    }
    context.stop();
    worker.join();
}
