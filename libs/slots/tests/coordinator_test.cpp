// Tests of slot requests across instances, and of the fallback to local decisions.
#include "slots_fixture.h"

using namespace amaranthdale;
using namespace amaranthdale::slots;
using namespace amaranthdale::slots::testing;

namespace {

// Two data centres with one strong instance each, which allocate slots, and a weak instance that
// requests them.
struct Fixture
{
    Fixture()
        : strong(this->clock, this->network, member("strong", east, 1, 2)),
          far(this->clock, this->network, member("far", west, 2, 2)),
          weak(this->clock, this->network, member("weak", east, 3, 0.5))
    {
        for (Instance *instance : {&this->strong, &this->far, &this->weak})
            instance->members.update({member("strong", east, 1, 2), member("far", west, 2, 2),
                                      member("weak", east, 3, 0.5)},
                                     this->clock.now());
    }

    clock::ManualClock clock;
    Network network;
    Instance strong;
    Instance far;
    Instance weak;
};

} // namespace

TEST_CASE("local slots are used first, then those of another data centre, then requests are queued")
{
    Fixture test;
    std::map<std::string, int> at;
    for (int index = 0; index < 4; ++index)
        ++at[test.weak.grantedServer(test.weak.requestSlot(test.clock, "plain"))];
    CHECK(at["a"] == 2); // One slot and one request of headroom.
    CHECK(at["b"] == 2);
    const Ticket waiting = test.weak.requestSlot(test.clock, "plain");
    CHECK(!test.weak.isDecided(waiting));
}

TEST_CASE("requests of several instances together don't exceed a server's slots")
{
    Fixture test;
    CHECK(test.weak.grantedServer(test.weak.requestSlot(test.clock, "keyed", "k")) == "k");
    const Ticket second = test.strong.requestSlot(test.clock, "keyed", "k");
    CHECK(test.strong.grantedServer(second) == "k");
    const Ticket third = test.far.requestSlot(test.clock, "keyed", "k");
    CHECK(!test.far.isDecided(third));
    test.strong.coordinator->release(second, balance::AttemptResult::Answered, milliseconds(50),
                                     {});
    test.clock.advance(milliseconds(1));
    CHECK(test.far.grantedServer(third) == "k");
}

TEST_CASE("a request without a response is decided locally after the response timeout")
{
    Fixture test;
    test.network.dropsMessages = true;
    const Ticket ticket = test.weak.requestSlot(test.clock, "keyed", "k");
    CHECK(!test.weak.isDecided(ticket));
    test.clock.advance(milliseconds(130));
    REQUIRE(test.weak.isDecided(ticket));
    CHECK(!test.weak.decisions[ticket]);
}

TEST_CASE("an instance is avoided after three timeouts in a row")
{
    Fixture test;
    const std::string assignmentKey = "keyed/k";
    const auto first = test.weak.members.assignee(assignmentKey, {}, test.clock.now());
    test.network.channels.erase(first->peer);
    for (int index = 0; index < 3; ++index) {
        test.weak.requestSlot(test.clock, "keyed", "k");
        test.clock.advance(milliseconds(130));
    }
    CHECK(test.weak.events.count("slot-requests-unanswered") == 1);
    const Ticket next = test.weak.requestSlot(test.clock, "keyed", "k");
    CHECK(test.weak.grantedServer(next) == "k");
}

// Guards against an instance that is cut off and delays each of its requests by the response
// timeout.
TEST_CASE("after repeated timeouts requests are decided locally at once, until remote requests are "
          "retried")
{
    Fixture test;
    test.network.dropsMessages = true;
    for (int index = 0; index < 4; ++index) {
        test.weak.requestSlot(test.clock, "keyed", "k");
        test.clock.advance(milliseconds(130));
    }
    const Ticket local = test.weak.requestSlot(test.clock, "keyed", "k");
    REQUIRE(test.weak.isDecided(local));
    CHECK(!test.weak.decisions[local]);
    test.network.dropsMessages = false;
    test.clock.advance(milliseconds(1100));
    const Ticket retried = test.weak.requestSlot(test.clock, "keyed", "k");
    CHECK(!test.weak.grantedServer(retried).empty());
}

// Guards against requesters that wait for the response timeout when the allocating instance stops.
TEST_CASE("an instance that stops makes requesters try another one at once")
{
    Fixture test;
    const auto first = test.weak.members.assignee("keyed/k", {}, test.clock.now());
    (first->name.value == "strong" ? test.strong : test.far).coordinator->stop();
    const Ticket ticket = test.weak.requestSlot(test.clock, "keyed", "k");
    CHECK(test.weak.isDecided(ticket));
    CHECK(test.weak.grantedServer(test.weak.requestSlot(test.clock, "keyed", "k")) == "k");
}

TEST_CASE("a slot that is granted too late is released")
{
    Fixture test;
    test.network.dropsMessages = true;
    const Ticket ticket = test.weak.requestSlot(test.clock, "keyed", "k");
    test.clock.advance(milliseconds(130));
    REQUIRE(test.weak.isDecided(ticket));
    test.network.dropsMessages = false;
    // The late grant of either strong instance.
    const int before = test.network.sent;
    std::string granted;
    granted.push_back(2);
    for (int shift = 56; shift >= 0; shift -= 8)
        granted.push_back(static_cast<char>(ticket >> shift & 0xff));
    granted += std::string("\0\1k", 3);
    test.weak.channel.receiver({"127.0.0.1", 1}, granted);
    CHECK(test.network.sent == before + 1);
}

TEST_CASE("a cancelled request leaves the queue")
{
    Fixture test;
    test.weak.requestSlot(test.clock, "keyed", "k");
    const Ticket second = test.weak.requestSlot(test.clock, "keyed", "k");
    const Ticket third = test.weak.requestSlot(test.clock, "keyed", "k");
    const Ticket fourth = test.weak.requestSlot(test.clock, "keyed", "k");
    test.weak.coordinator->release(third, balance::AttemptResult::Cancelled, {}, {});
    test.weak.coordinator->release(second, balance::AttemptResult::Answered, milliseconds(50), {});
    test.clock.advance(milliseconds(1));
    CHECK(!test.weak.isDecided(third));
    CHECK(test.weak.grantedServer(fourth) == "k");
}

TEST_CASE("a request for a service that no instance knows is decided locally")
{
    Fixture test;
    const Ticket ticket = test.weak.requestSlot(test.clock, "unheard");
    REQUIRE(test.weak.isDecided(ticket));
    CHECK(!test.weak.decisions[ticket]);
}

TEST_CASE("malformed messages are ignored and counted")
{
    Fixture test;
    test.weak.channel.receiver({"127.0.0.1", 9}, "nonsense");
    CHECK(test.weak.gateway.statistics().render().find("slot_messages_malformed_total")
          != std::string::npos);
}
