// Losses under load: the same runner for each fault, followed by the check of the whole history.
#include "cluster.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace amaranthdale;
using namespace amaranthdale::testing;
using namespace std::chrono_literals;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr core::Duration recoveryTarget = 1s;
// For the scheduler of a machine that runs other tests at the same time.
constexpr core::Duration schedulingAllowance = 500ms;
const std::string probedKey = "brush-17";

// What a scenario does to a cluster whose load runs, and what must hold after it.
struct FaultScenario
{
    std::function<void(Cluster &, const Owner &)> inject;
    std::function<void(Cluster &, const Owner &)> repair = [](auto &, auto &) {};
    bool servedAgain = true; ///< The key is served again within the target.
    std::string loadLength = "4s";
};

// A request id that ran before the fault gets its stored response or `unknown`, never a second run.
void resend(Cluster &cluster, const std::string &instance, const std::string &id)
{
    const Call payment{.method = "POST", .key = probedKey, .id = id, .body = "amount=300"};
    const Reply again = cluster.call(instance, payment);
    CAPTURE(again.status);
    CAPTURE(again.body);
    CHECK((again.outcome == "answered" || again.outcome == "unknown"));
    std::size_t runs = 0;
    for (const history::Event &event : cluster.events()) {
        const auto *run = std::get_if<history::RunEvent>(&event);
        runs += run && run->requestId.value == id ? 1 : 0;
    }
    CHECK(runs == 1);
}

void checkServedAgain(Cluster &cluster, const std::string &instance, SteadyClock::time_point since)
{
    Reply last;
    const bool served = eventually(10s, [&] {
        last = cluster.call(instance, {.key = probedKey, .timeout = 200ms});
        return last.answered();
    });
    const auto after =
            std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - since);
    MESSAGE("served again after ms: " << after.count());
    CAPTURE(last.body);
    CAPTURE(last.error);
    CHECK(served);
    CHECK(after < recoveryTarget + schedulingAllowance);
}

void runScenario(const FaultScenario &scenario)
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilServing());
    const Owner owner = cluster.ownerOf(probedKey, "i1");
    REQUIRE(owner.complete());
    const std::string entry = cluster.otherThan({owner.controller});

    const std::string id = cluster.issueId(entry);
    const Call payment{.method = "POST", .key = probedKey, .id = id, .body = "amount=300"};
    REQUIRE(cluster.call(entry, payment).answered());

    const auto load = cluster.startLoad(
            cluster.instanceNames(),
            {"--rate", "200", "--length", scenario.loadLength, "--keys", "200", "--timeout", "2s"});
    const std::size_t before = cluster.events().size();
    REQUIRE(eventually(5s, [&] { return cluster.events().size() > before + 100; }));
    const auto since = SteadyClock::now();
    scenario.inject(cluster, owner);
    if (scenario.servedAgain)
        checkServedAgain(cluster, entry, since);
    scenario.repair(cluster, owner);
    resend(cluster, cluster.otherThan({owner.controller, entry}), id);
    const int code = load->wait(15s);
    const std::string summary = load->output();
    CAPTURE(summary);
    CHECK(code == 0);
    CHECK(cluster.breaches() == "");
}

} // namespace

// Guards against a takeover that comes late, and against a second run after it.
TEST_CASE("controller-killed")
{
    runScenario({.inject = [](Cluster &cluster, const Owner &owner) {
        cluster.instance(owner.controller).kill();
    }});
}

// Guards against slots that stay with a lost server, or move before its lease is over.
TEST_CASE("server-killed")
{
    runScenario({.inject = [](Cluster &cluster, const Owner &owner) {
        cluster.server(owner.server).kill();
    }});
}

// Guards against a takeover that waits for an acknowledgement of a lost server.
TEST_CASE("controller-and-server-killed")
{
    runScenario({.inject = [](Cluster &cluster, const Owner &owner) {
        cluster.instance(owner.controller).kill();
        cluster.server(owner.server).kill();
    }});
}

// Guards against a controller that sends on with its old authority when it resumes.
TEST_CASE("instance-frozen")
{
    runScenario({.inject =
                         [](Cluster &cluster, const Owner &owner) {
                             cluster.instance(owner.controller).signal(SIGSTOP);
                             hold(2s);
                             cluster.instance(owner.controller).signal(SIGCONT);
                         },
                 .servedAgain = false});
}

// Guards against refusals of what is in force while the log is down.
TEST_CASE("log-down")
{
    runScenario({.inject =
                         [](Cluster &cluster, const Owner &) {
                             cluster.control(cluster.logEndpoint(), R"({"down":true})");
                             const auto end = SteadyClock::now() + 3s;
                             std::size_t refused = 0;
                             eventually(4s, [&] {
                                 for (const std::string &name : cluster.instanceNames())
                                     refused += cluster.call(name, {.key = probedKey}).answered()
                                             ? 0
                                             : 1;
                                 return SteadyClock::now() >= end;
                             });
                             CHECK(refused == 0);
                         },
                 .repair =
                         [](Cluster &cluster, const Owner &) {
                             cluster.control(cluster.logEndpoint(), R"({"down":false})");
                         },
                 // Each request of the outage was checked above.
                 .servedAgain = false});
}
