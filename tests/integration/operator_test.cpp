// Planned changes under load: drain and return of a data centre, and the stop of an instance.
#include "cluster.h"

#include <doctest/doctest.h>

#include <atomic>
#include <csignal>
#include <thread>

using namespace amaranthdale;
using namespace amaranthdale::testing;
using namespace std::chrono_literals;

namespace {

std::size_t runsAt(const Cluster &cluster, const std::string &server)
{
    std::size_t runs = 0;
    for (const history::Event &event : cluster.events()) {
        const auto *run = std::get_if<history::RunEvent>(&event);
        runs += run && run->server.value == server ? 1 : 0;
    }
    return runs;
}

bool ownsAny(Cluster &cluster, const std::string &server)
{
    constexpr unsigned keys = 30;
    for (unsigned key = 0; key < keys; ++key) {
        if (cluster.ownerOf("key-" + std::to_string(key), "i2").server == server)
            return true;
    }
    return false;
}

// Requests to one instance until its /readyz no longer says that it is ready.
struct DirectLoad
{
    std::atomic<std::size_t> answered{0};
    std::atomic<std::size_t> cut{0};

    void run(Cluster &cluster, const std::string &instance, unsigned caller)
    {
        const core::Endpoint operators = cluster.operators(instance);
        while (cluster.get(operators, "/readyz").status == 200) {
            const Reply reply = cluster.call(instance, {.key = "key-" + std::to_string(caller)});
            // Refused work must have been refused in a whole response.
            (reply.status == 0 ? this->cut : this->answered) += 1;
        }
    }
};

} // namespace

// Guards against work that starts in a data centre more than 3 s after it was drained, against
// requests that the drain loses, and against a data centre that stays empty after its return.
TEST_CASE("data-centre-drained")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilServing());
    const auto load = cluster.startLoad(
            {"i2", "i3"}, {"--rate", "150", "--length", "12s", "--keys", "200", "--timeout", "2s"});
    REQUIRE(eventually(5s, [&] { return runsAt(cluster, "stock-1") > 10; }));
    CHECK(cluster.operate("i2", {"drain-data-centre", "nyarugenge"}).done());
    CHECK(eventually(3s, [&] { return !ownsAny(cluster, "stock-1"); }));
    // Long enough for the check of promise 4, which looks for starts later than 3 s.
    hold(4s);
    CHECK(cluster.operate("i2", {"return-data-centre", "nyarugenge"}).done());
    const std::size_t before = runsAt(cluster, "stock-1");
    CHECK(eventually(6s, [&] { return runsAt(cluster, "stock-1") > before; }));
    const int code = load->wait(20s);
    const std::string summary = load->output();
    MESSAGE(summary);
    CHECK(code == 0);
    std::size_t lost = 0;
    for (const history::Event &event : cluster.events()) {
        const auto *call = std::get_if<history::CallEvent>(&event);
        lost += call && call->outcome == history::CallOutcome::Unknown ? 1 : 0;
    }
    CHECK(lost == 0);
    CHECK(cluster.breaches() == "");
}

// Guards against a stop that cuts the requests which entered at the instance, and against an exit
// code that reports a planned stop as a failure.
TEST_CASE("instance-stopped")
{
    Cluster cluster({.serviceTime = "50ms"});
    REQUIRE(cluster.waitUntilServing());
    constexpr unsigned callers = 4;
    DirectLoad load;
    std::chrono::steady_clock::time_point stopBegan;
    {
        std::vector<std::jthread> threads;
        for (unsigned caller = 0; caller < callers; ++caller)
            threads.emplace_back([&, caller] { load.run(cluster, "i1", caller); });
        // Callers that find the instance not ready end on their own; their joins are bounded.
        CHECK(eventually(5s, [&] { return load.answered > 20; }));
        stopBegan = std::chrono::steady_clock::now();
        cluster.instance("i1").signal(SIGTERM);
    }
    CHECK(cluster.instance("i1").wait(20s) == 0);
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - stopBegan);
    MESSAGE("stopped after ms: " << took.count() << " answered: " << load.answered.load());
    CHECK(load.cut == 0);
    CHECK(cluster.call("i2", {.key = "key-0"}).answered());
    CHECK(cluster.breaches() == "");
}
