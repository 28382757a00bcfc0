// Faults under load. Each scenario injects its faults, then checks recovery and the whole history.
#include "cluster.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace amaranthdale;
using namespace amaranthdale::testing;
using namespace std::chrono_literals;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr core::Duration recoveryTarget = 1s;
// Margin for scheduling delays on a machine that runs other tests at the same time.
constexpr core::Duration schedulingAllowance = 500ms;
const std::string probedKey = "brush-17";

// Faults that are injected while the cluster is under load, and how to undo them.
struct FaultScenario
{
    std::function<void(Cluster &, const Owner &)> inject;
    std::function<void(Cluster &, const Owner &)> repair = [](auto &, auto &) {};
    bool checkRecovery = true; ///< Check that the key is served within the target.
    std::string loadLength = "4s";
};

// Resends a request that ran before the fault: it must get its stored response or `unknown`, and
// must not run a second time.
void resend(Cluster &cluster, const std::string &instance, const std::string &id)
{
    const Call payment{.method = "POST", .key = probedKey, .id = id, .body = "amount=300"};
    const Reply reply = cluster.call(instance, payment);
    CAPTURE(reply.status);
    CAPTURE(reply.body);
    CHECK((reply.outcome == "answered" || reply.outcome == "unknown"));
    std::size_t runs = 0;
    for (const history::Event &event : cluster.events()) {
        const auto *run = std::get_if<history::RunEvent>(&event);
        runs += run && run->requestId.value == id ? 1 : 0;
    }
    CHECK(runs == 1);
}

void checkRecoveryTime(Cluster &cluster, const std::string &instance,
                       SteadyClock::time_point injectedAt)
{
    Reply lastReply;
    const bool recovered = eventually(10s, [&] {
        lastReply = cluster.call(instance, {.key = probedKey, .timeout = 200ms});
        return lastReply.answered();
    });
    const auto recoveryTime =
            std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - injectedAt);
    MESSAGE("recovery time in ms: " << recoveryTime.count());
    CAPTURE(lastReply.body);
    CAPTURE(lastReply.error);
    CHECK(recovered);
    CHECK(recoveryTime < recoveryTarget + schedulingAllowance);
}

void runScenario(const FaultScenario &scenario)
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilServing());
    const Owner owner = cluster.ownerOf(probedKey, "i1");
    REQUIRE(owner.isComplete());
    const std::string entry = cluster.instanceExcept({owner.controller});

    const std::string id = cluster.issueId(entry);
    const Call payment{.method = "POST", .key = probedKey, .id = id, .body = "amount=300"};
    REQUIRE(cluster.call(entry, payment).answered());

    const auto load = cluster.startLoad(
            cluster.instanceNames(),
            {"--rate", "200", "--length", scenario.loadLength, "--keys", "200", "--timeout", "2s"});
    const std::size_t eventsBefore = cluster.events().size();
    REQUIRE(eventually(5s, [&] { return cluster.events().size() > eventsBefore + 100; }));
    const auto injectedAt = SteadyClock::now();
    scenario.inject(cluster, owner);
    if (scenario.checkRecovery)
        checkRecoveryTime(cluster, entry, injectedAt);
    scenario.repair(cluster, owner);
    resend(cluster, cluster.instanceExcept({owner.controller, entry}), id);
    const int exitCode = load->wait(15s);
    const std::string summary = load->output();
    CAPTURE(summary);
    CHECK(exitCode == 0);
    CHECK(cluster.breaches() == "");
}

} // namespace

// Guards against a takeover that misses the recovery target, and against a resent request that runs
// a second time after it.
TEST_CASE("controller-killed")
{
    runScenario({.inject = [](Cluster &cluster, const Owner &owner) {
        cluster.instance(owner.controller).kill();
    }});
}

// Guards against slots that stay assigned to a lost server, or are reassigned before its lease has
// expired.
TEST_CASE("server-killed")
{
    runScenario({.inject = [](Cluster &cluster, const Owner &owner) {
        cluster.server(owner.server).kill();
    }});
}

// Guards against a takeover that waits for an acknowledgement from a lost server.
TEST_CASE("controller-and-server-killed")
{
    runScenario({.inject = [](Cluster &cluster, const Owner &owner) {
        cluster.instance(owner.controller).kill();
        cluster.server(owner.server).kill();
    }});
}

// Guards against a controller that resumes after a pause and forwards requests under authority that
// has expired.
TEST_CASE("instance-frozen")
{
    runScenario({.inject =
                         [](Cluster &cluster, const Owner &owner) {
                             cluster.instance(owner.controller).signal(SIGSTOP);
                             sleepFor(2s);
                             cluster.instance(owner.controller).signal(SIGCONT);
                         },
                 .checkRecovery = false});
}

// Guards against refusing, while the log is down, requests that current assignments cover.
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
                 // `inject` checks every request of the outage.
                 .checkRecovery = false});
}
