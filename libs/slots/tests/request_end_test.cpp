// Every accepted request ends exactly once and in time, whatever it waits for and whatever happens
// to the servers, instances and configuration meanwhile.
#include "request_world.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

using namespace amaranthdale;
using namespace amaranthdale::slots;
using namespace amaranthdale::slots::testing;
using std::chrono::seconds;

namespace {

// After the deadline, time for the response to a request that was sent, and for ending one whose
// sender doesn't end it.
constexpr auto endMargin = milliseconds(110);

// A decision that needs no server: the queue check interval and one message between instances.
constexpr auto decisionTime = milliseconds(50);

// Until a request for a key without a usable owner is refused (GatewayLimits::maxOwnerWait).
constexpr auto ownerWait = milliseconds(450);

struct Situation
{
    std::string name;
    std::function<std::shared_ptr<TrackedRequest>(RequestWorld &)> enter;
    bool waits; ///< Nothing of the request has been sent.
    bool hasKey;
};

struct Disturbance
{
    std::string name;
    std::function<void(RequestWorld &, TrackedRequest &)> apply;
    /// No server can take the request any more, and every instance knows it.
    bool endsWaiting;
};

const std::vector<Situation> situations{
        {"waits for a slot that its own instance allocates",
         [](RequestWorld &world) { return world.first.sendUntilOneWaits(plain); }, true, false},
        {"waits for a slot that another instance allocates",
         [](RequestWorld &world) {
             world.drain({west});
             return world.second.sendUntilOneWaits(plain);
         },
         true, false},
        {"waits for a slot of its key's owner",
         [](RequestWorld &world) { return world.first.sendUntilOneWaits(keyed); }, true, true},
        {"waits for a slot of its key's owner that another instance allocates",
         [](RequestWorld &world) { return world.second.sendUntilOneWaits(keyed); }, true, true},
        {"waits for an owner",
         [](RequestWorld &world) {
             world.first.assign("gone");
             return world.first.send(keyed);
         },
         true, true},
        {"waits for a retry at the owner",
         [](RequestWorld &world) {
             const auto request = world.first.send(keyed);
             world.first.sender.answerOldest(core::Error{core::ErrorKind::ConnectionLost, "lost"});
             return request;
         },
         false, true},
        {"waits for a response", [](RequestWorld &world) { return world.first.send(plain); }, false,
         false},
};

void changeServers(RequestWorld &world, const std::function<void(catalog::Directory &)> &change)
{
    world.onBoth([&](RequestInstance &instance) { instance.gateway.changeDirectory(change); });
}

const std::vector<Disturbance> disturbances{
        {"nothing until its deadline", [](RequestWorld &, TrackedRequest &) {}, false},
        {"its caller leaves",
         [](RequestWorld &, TrackedRequest &request) {
             request.abandoned = true;
             request.exchange->cancel();
         },
         false},
        {"both data centres are drained",
         [](RequestWorld &world, TrackedRequest &) {
             world.drain({east, west});
         },
         true},
        {"all servers start to drain",
         [](RequestWorld &world, TrackedRequest &) {
             changeServers(world, [](catalog::Directory &servers) {
                 for (const char *name : {"a", "b", "k", "l"}) {
                     auto server = RequestInstance::makeServer(name);
                     server.draining = true;
                     servers.announce(server);
                 }
             });
         },
         true},
        {"all servers disappear",
         [](RequestWorld &world, TrackedRequest &) {
             changeServers(world, [](catalog::Directory &servers) { servers.retain({}, {}); });
         },
         true},
        {"all servers say that they leave",
         [](RequestWorld &world, TrackedRequest &) {
             world.onBoth([](RequestInstance &instance) {
                 for (const char *name : {"a", "b", "k", "l"})
                     instance.gateway.markLeaving(core::ServerName(name), 1);
             });
         },
         false}, // An owner is used for a second longer.
        {"its service is removed from the configuration",
         [](RequestWorld &world, TrackedRequest &) {
             world.onBoth([](RequestInstance &instance) { instance.setServices({}); });
         },
         false},
        {"another configuration comes into force",
         [](RequestWorld &world, TrackedRequest &) {
             world.onBoth([](RequestInstance &instance) { instance.setServices({plain, keyed}); });
         },
         false},
        {"the instances lose each other",
         [](RequestWorld &world, TrackedRequest &) { world.network.dropsMessages = true; }, false},
        {"the other instance stops allocating slots",
         [](RequestWorld &world, TrackedRequest &) { world.first.coordinator->stop(); }, false},
        {"the owner of its key changes",
         [](RequestWorld &world, TrackedRequest &) {
             world.onBoth([](RequestInstance &instance) { instance.assign("l"); });
         },
         false},
        {"its instance stops",
         [](RequestWorld &world, TrackedRequest &) {
             world.onBoth([](RequestInstance &instance) { instance.gateway.stopSending(); });
         },
         false},
        {"its sender never calls back",
         [](RequestWorld &world, TrackedRequest &) {
             world.onBoth(
                     [](RequestInstance &instance) { instance.sender.ignoresTimeouts = true; });
         },
         false},
};

// Checks what holds for every request that has ended.
void checkEnd(const TrackedRequest &request)
{
    CAPTURE(request.id);
    if (request.abandoned) {
        CHECK(request.statuses.empty());
        return;
    }
    REQUIRE(request.statuses.size() == 1);
    CHECK(request.answeredAt <= request.deadline + endMargin);
    // The caller learns that a request that was not sent has not run.
    if (!request.wasSent())
        CHECK(request.statuses.front() == 503);
}

void checkNothingKept(const RequestInstance &instance)
{
    CHECK(instance.gateway.requestsInProgress() == 0);
    CHECK(instance.gateway.requestsAwaitingChange() == 0);
}

} // namespace

// Guards against requests that nobody ends: those in the queue of a slot pool whose last server
// left got no response, not even at their deadline.
TEST_CASE("a request ends once and in time in every situation, whatever happens meanwhile")
{
    for (const Situation &situation : situations) {
        for (const Disturbance &disturbance : disturbances) {
            CAPTURE(situation.name);
            CAPTURE(disturbance.name);
            RequestWorld world;
            const auto request = situation.enter(world);
            REQUIRE_FALSE(request->hasEnded());
            disturbance.apply(world, *request);
            if (disturbance.endsWaiting && situation.waits) {
                world.clock.advance(situation.hasKey ? ownerWait : decisionTime);
                CHECK(request->statuses == std::vector<unsigned>{503});
            }
            world.clock.advance(request->deadline + endMargin - world.clock.now());
            CHECK(request->hasEnded());
            world.clock.advance(seconds(5));
            world.onBoth(checkNothingKept);
            checkEnd(*request);
        }
    }
}

TEST_CASE("requests whose data centre is drained while they wait are served by another one")
{
    RequestWorld world;
    RequestInstance *instance = &world.first;
    SUBCASE("slots are allocated by their own instance") { }
    SUBCASE("slots are allocated by another instance")
    {
        instance = &world.second;
    }
    const auto waiting = instance->sendUntilOneWaits(plain);
    world.drain({instance == &world.first ? east : west});
    world.clock.advance(decisionTime);
    CHECK_FALSE(waiting->hasEnded()); // All servers of the other data centre are busy.
    while (instance->sender.answerOldest(core::makeResponse(200, "done")))
        world.clock.advance(milliseconds(20));
    CHECK(waiting->statuses == std::vector<unsigned>{200});
}

TEST_CASE("random events: one response for each request, none late, nothing kept afterwards")
{
    constexpr unsigned runs = 300;
    constexpr unsigned steps = 80;
    for (unsigned seed = 1; seed <= runs; ++seed) {
        CAPTURE(seed);
        boost::random::mt19937 random(seed);
        const auto draw = [&random](unsigned count) {
            return boost::random::uniform_int_distribution<unsigned>(0, count - 1)(random);
        };
        RequestWorld world;
        std::vector<std::shared_ptr<TrackedRequest>> requests;
        const std::vector<std::set<core::DataCentreName>> drains{{}, {east}, {west}, {east, west}};
        const std::vector<const char *> names{"a", "b", "k", "l"};
        for (unsigned step = 0; step < steps; ++step) {
            RequestInstance &instance = draw(2) == 0 ? world.first : world.second;
            const std::string name = names[draw(4)];
            switch (draw(16)) {
            case 0:
                world.drain(drains[draw(4)]);
                break;
            case 1:
                changeServers(world, [&](catalog::Directory &servers) {
                    auto server = RequestInstance::makeServer(name);
                    server.draining = draw(2) == 0;
                    servers.announce(server);
                });
                break;
            case 2:
                changeServers(world, [&](catalog::Directory &servers) {
                    servers.remove(core::ServerName(name), world.clock.now());
                });
                break;
            case 3:
                instance.gateway.markLeaving(core::ServerName(name), 1);
                break;
            case 4:
                instance.setServices(draw(3) == 0 ? std::vector<core::ServiceName>{}
                                                  : std::vector{plain, keyed});
                break;
            case 5:
                world.onBoth([&](RequestInstance &each) { each.assign(name); });
                break;
            case 6:
                world.network.dropsMessages = draw(3) == 0;
                break;
            case 7:
                if (!requests.empty()) {
                    TrackedRequest &request = *requests[draw(requests.size())];
                    request.abandoned = request.abandoned || request.statuses.empty();
                    request.exchange->cancel();
                }
                break;
            case 8:
                instance.sender.answerOldest(core::makeResponse(503, "{}"));
                break;
            case 9:
                instance.sender.answerOldest(core::Error{core::ErrorKind::ConnectionLost, "lost"});
                break;
            case 10:
                instance.sender.answerOldest(
                        core::Error{core::ErrorKind::Unavailable, "unreachable"});
                break;
            case 11:
                instance.sender.answerOldest(core::makeResponse(421, "{}"));
                break;
            case 12:
                instance.sender.answerOldest(core::makeResponse(200, "done"));
                break;
            default:
                requests.push_back(instance.send(draw(2) == 0 ? plain : keyed));
                break;
            }
            world.clock.advance(milliseconds(draw(40)));
        }
        if (draw(4) == 0)
            world.onBoth([](RequestInstance &instance) { instance.gateway.stopSending(); });
        world.clock.advance(RequestInstance::timeout + seconds(5));
        for (const auto &request : requests)
            checkEnd(*request);
        world.onBoth(checkNothingKept);
    }
}
