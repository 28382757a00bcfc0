// Planned changes under load: drain and return of a data centre, and shutdown of an instance.
#include "cluster.h"

#include <doctest/doctest.h>

#include <atomic>
#include <csignal>
#include <thread>

using namespace amaranthdale;
using namespace amaranthdale::testing;
using namespace std::chrono_literals;

namespace {

std::size_t countRuns(const Cluster &cluster, const std::string &server)
{
    std::size_t runs = 0;
    for (const history::Event &event : cluster.events()) {
        const auto *run = std::get_if<history::RunEvent>(&event);
        runs += run && run->server.value == server ? 1 : 0;
    }
    return runs;
}

bool ownsAnyKey(Cluster &cluster, const std::string &server)
{
    constexpr unsigned keys = 30;
    for (unsigned key = 0; key < keys; ++key) {
        if (cluster.ownerOf("key-" + std::to_string(key), "i2").server == server)
            return true;
    }
    return false;
}

// Sends requests to one instance until its /readyz no longer reports it as ready.
struct DirectLoad
{
    std::atomic<std::size_t> complete{0};
    std::atomic<std::size_t> incomplete{0};

    void run(Cluster &cluster, const std::string &instance, unsigned caller)
    {
        const core::Endpoint operators = cluster.operatorEndpoint(instance);
        while (cluster.get(operators, "/readyz").status == 200) {
            const Reply reply = cluster.call(instance, {.key = "key-" + std::to_string(caller)});
            // A refusal must be a complete response, too; status 0 means there was none.
            (reply.status == 0 ? this->incomplete : this->complete) += 1;
        }
    }
};

} // namespace

// Guards against requests that start in a data centre more than 3 s after it was drained, against
// requests lost to the drain, and against a data centre that gets no requests after its return.
TEST_CASE("data-centre-drained")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilServing());
    const auto load = cluster.startLoad(
            {"i2", "i3"}, {"--rate", "150", "--length", "12s", "--keys", "200", "--timeout", "2s"});
    REQUIRE(eventually(5s, [&] { return countRuns(cluster, "stock-1") > 10; }));
    CHECK(cluster.runCtl("i2", {"drain-data-centre", "nyarugenge"}).succeeded());
    CHECK(eventually(3s, [&] { return !ownsAnyKey(cluster, "stock-1"); }));
    // Long enough for the check of promise 4, which reports starts more than 3 s after the drain.
    sleepFor(4s);
    CHECK(cluster.runCtl("i2", {"return-data-centre", "nyarugenge"}).succeeded());
    const std::size_t runsBefore = countRuns(cluster, "stock-1");
    CHECK(eventually(6s, [&] { return countRuns(cluster, "stock-1") > runsBefore; }));
    const int exitCode = load->wait(20s);
    const std::string summary = load->output();
    MESSAGE(summary);
    CHECK(exitCode == 0);
    std::size_t unknownOutcomes = 0;
    for (const history::Event &event : cluster.events()) {
        const auto *call = std::get_if<history::CallEvent>(&event);
        unknownOutcomes += call && call->outcome == history::CallOutcome::Unknown ? 1 : 0;
    }
    CHECK(unknownOutcomes == 0);
    CHECK(cluster.breaches() == "");
}

// Guards against a shutdown that breaks off requests which entered at the instance, and against an
// exit code that reports a planned shutdown as a failure.
TEST_CASE("instance-stopped")
{
    Cluster cluster({.serviceTime = "50ms"});
    REQUIRE(cluster.waitUntilServing());
    constexpr unsigned callers = 4;
    DirectLoad load;
    std::chrono::steady_clock::time_point stopRequestedAt;
    {
        std::vector<std::jthread> threads;
        for (unsigned caller = 0; caller < callers; ++caller)
            threads.emplace_back([&, caller] { load.run(cluster, "i1", caller); });
        // Callers stop when the instance is no longer ready, which bounds the joins below.
        CHECK(eventually(5s, [&] { return load.complete > 20; }));
        stopRequestedAt = std::chrono::steady_clock::now();
        cluster.instance("i1").signal(SIGTERM);
    }
    CHECK(cluster.instance("i1").wait(20s) == 0);
    const auto shutdownTime = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - stopRequestedAt);
    MESSAGE("shutdown time in ms: " << shutdownTime.count()
                                    << " complete responses: " << load.complete.load());
    CHECK(load.incomplete == 0);
    CHECK(cluster.call("i2", {.key = "key-0"}).answered());
    CHECK(cluster.breaches() == "");
}
