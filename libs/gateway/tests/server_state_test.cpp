// What a server says of itself with a response: that it is leaving, that it wants no requests for a
// time, and a body that does not end.
#include "gateway_fixture.h"

using namespace amaranthdale;
using namespace amaranthdale::gateway;
using namespace amaranthdale::gateway::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Sends requests and answers them until `count` were sent; returns how many reached `server`.
unsigned countSentTo(Fixture &test, const std::string &server, unsigned count)
{
    unsigned reached = 0;
    for (unsigned i = 0; i < count; ++i) {
        test.response.reset();
        test.send("/read/1");
        REQUIRE(test.sender.sent.size() == 1);
        reached += test.sender.sent.front().server() == server;
        test.sender.answer(200);
    }
    return reached;
}

// Grants every slot of one server, like an allocator on another instance that knows less.
class SingleServerAllocator : public SlotAllocator
{
public:
    SingleServerAllocator(clock::Clock &allocatorClock, std::string server)
        : clock(allocatorClock), granted(std::move(server))
    { }

    balance::Ticket request(const core::ServiceName &, const balance::Demand &demand,
                            const std::optional<core::ServerName> &, Handler handler) override
    {
        this->lastTried = demand.tried;
        this->clock.schedule(
                this->clock.now(),
                [ticket = ++this->tickets, handler = std::move(handler), server = this->granted] {
                    handler(ticket, balance::SlotDecision(core::ServerName(server)));
                });
        return this->tickets;
    }

    void release(balance::Ticket, balance::AttemptResult, core::Duration,
                 const std::optional<balance::LoadReport> &) override
    { }

    clock::Clock &clock;
    const std::string granted;
    balance::Ticket tickets = 0;
    std::vector<core::ServerName> lastTried;
};

// A body that never ends. Its reads complete when the test says so.
class EndlessBody : public core::BodyReader
{
public:
    void read(std::function<void(core::Outcome<core::BodyChunk>)> handler) override
    {
        this->pending = std::move(handler);
    }

    void deliver(std::size_t bytes)
    {
        REQUIRE(this->pending);
        std::exchange(this->pending, nullptr)(core::BodyChunk{std::string(bytes, 'x'), false});
    }

    void fail()
    {
        REQUIRE(this->pending);
        std::exchange(this->pending,
                      nullptr)(core::Error{core::ErrorKind::ConnectionLost, "cancelled"});
    }

    std::function<void(core::Outcome<core::BodyChunk>)> pending;
};

core::HttpResponse endlessResponse(const std::shared_ptr<EndlessBody> &body)
{
    core::HttpResponse response;
    response.status = 200;
    response.body = body;
    return response;
}

} // namespace

TEST_CASE(
        "a server that says that it is leaving gets no further request, whatever the registry says")
{
    unsigned status = 200;
    core::Headers headers{{"Leaving", "1"}};
    SUBCASE("with a success") { }
    SUBCASE("with a failure")
    {
        status = 404;
    }
    SUBCASE("with a refusal")
    {
        status = 503;
        headers.push_back({"Not-Run", "1"});
    }
    Fixture test;
    test.send("/pay/1");
    const std::string leaving = test.sender.sent.front().server();
    test.sender.answer(status, headers);
    test.sender.sent.clear();
    test.clock.advance(milliseconds(100));
    CHECK(countSentTo(test, leaving, 20) == 0);

    // An update of its registry entry, and a restart of another server, change nothing.
    test.gateway->changeDirectory([&](catalog::Directory &servers) {
        catalog::BackendServer entry = *servers.find(core::ServerName(leaving));
        entry.coldUntil = test.clock.now();
        servers.announce(entry);
    });
    CHECK(countSentTo(test, leaving, 20) == 0);
    CHECK(test.events.count("server-leaving") == 1);

    test.gateway->changeDirectory([&](catalog::Directory &servers) {
        catalog::BackendServer entry = *servers.find(core::ServerName(leaving));
        entry.incarnation = 2;
        servers.announce(entry);
    });
    CHECK(countSentTo(test, leaving, 20) > 0);
}

TEST_CASE("a slot that was allocated elsewhere for a leaving or paused server is not used")
{
    core::Headers headers;
    SUBCASE("leaving")
    {
        headers = {{"Leaving", "1"}};
    }
    SUBCASE("paused")
    {
        headers = {{"Not-Run", "1"}, {"Pause", "5"}};
    }
    Fixture test;
    auto catalogue = Fixture::makeCatalogue(2);
    catalogue.services[0].keyed = false;
    test.gateway->setCatalogue(catalogue);
    SingleServerAllocator allocator(test.clock, "a");
    test.gateway->setSlotAllocator(allocator);
    test.send("/pay/1");
    test.clock.advance(milliseconds(1));
    REQUIRE(test.sender.sent.size() == 1);
    REQUIRE(test.sender.sent.front().server() == "a");
    test.sender.answer(503, headers);
    test.clock.advance(milliseconds(1));
    test.sender.sent.clear();
    for (unsigned i = 0; i < 5; ++i) {
        test.response.reset();
        test.send("/pay/1");
        test.clock.advance(milliseconds(1));
        REQUIRE(test.sender.sent.size() == 1);
        CHECK(test.sender.sent.front().server() == "b");
        test.sender.answer(200);
    }
}

TEST_CASE("the owner of a key is used for a grace period after it said that it is leaving")
{
    Fixture test;
    test.assign("a");
    test.send("/read/1", "7");
    test.sender.answer(200, "Leaving");
    test.clock.advance(milliseconds(900));
    test.response.reset();
    test.send("/read/1", "7");
    REQUIRE(test.sender.sent.size() == 1);
    test.sender.answer(200);

    // Later, requests wait for a new owner and are refused as not run without one.
    test.clock.advance(milliseconds(150));
    test.response.reset();
    test.send("/read/1", "7");
    test.clock.advance(milliseconds(500));
    CHECK(test.sender.sent.empty());
    CHECK(test.status() == 503);
    test.response.reset();
    test.send("/read/1", "7");
    test.assign("b");
    test.clock.advance(milliseconds(100));
    REQUIRE(test.sender.sent.size() == 1);
    CHECK(test.sender.sent.front().server() == "b");
}

TEST_CASE("a server that asks for a pause gets no request until its end")
{
    Fixture test;
    test.send("/pay/1");
    const std::string paused = test.sender.sent.front().server();
    test.sender.answer(503, {{"Not-Run", "1"}, {"Pause", "5"}});
    // The request itself is retried elsewhere.
    REQUIRE(test.sender.sent.size() == 1);
    CHECK(test.sender.sent.front().server() != paused);
    test.sender.answer(200);
    CHECK(test.status() == 200);
    for (unsigned step = 0; step < 4; ++step) {
        test.clock.advance(milliseconds(1200));
        CHECK(countSentTo(test, paused, 10) == 0);
        // The pause outlives a time in which the server's data centre is drained.
        test.gateway->changeDirectory([&](catalog::Directory &servers) {
            servers.setDrained({core::DataCentreName("")}, test.clock.now(), {});
        });
        test.gateway->changeDirectory(
                [&](catalog::Directory &servers) { servers.setDrained({}, test.clock.now(), {}); });
    }
    test.clock.advance(milliseconds(300));
    CHECK(countSentTo(test, paused, 20) > 0);
    CHECK(test.events.count("server-paused") == 1);
}

TEST_CASE("a request for a key whose owner is paused waits, or is refused with the time of its end")
{
    Fixture test;
    test.assign("a");
    test.send("/pay/1", "7");
    SUBCASE("the pause ends in time")
    {
        // The caller has 800 ms.
        test.sender.answer(503, {{"Not-Run", "1"}, {"Pause", "1"}});
        test.clock.advance(milliseconds(700));
        test.response.reset();
        test.sender.sent.clear();
        test.send("/pay/1", "7");
        CHECK(test.sender.sent.empty());
        test.clock.advance(milliseconds(310));
        CHECK(test.sender.sent.size() == 1);
    }
    SUBCASE("the pause is longer than the caller waits")
    {
        test.sender.answer(503, {{"Not-Run", "1"}, {"Pause", "5"}});
        test.clock.advance(seconds(1));
        CHECK(test.sender.sent.empty());
        test.response.reset();
        test.send("/pay/1", "7");
        REQUIRE(test.status() == 503);
        CHECK(core::findHeader(test.response->headers, "Retry-After") == "4.000");
        CHECK(test.sender.sent.empty());
    }
}

TEST_CASE("a body that is incomplete at the deadline is given up with an outcome in doubt")
{
    Fixture test;
    test.send("/pay/1");
    const auto body = std::make_shared<EndlessBody>();
    auto sent = test.sender.next();
    sent.handler(endlessResponse(body));
    // One byte at a time: each read ends in time, the body doesn't.
    for (unsigned i = 0; i < 8; ++i) {
        test.clock.advance(milliseconds(99));
        body->deliver(1);
    }
    CHECK(!test.response);
    CHECK(!*sent.cancelled);
    test.clock.advance(milliseconds(100));
    CHECK(*sent.cancelled);
    body->fail();
    CHECK(test.status() == 504);
    CHECK(test.gateway->requestsInProgress() == 0);
}

TEST_CASE("a body without end is forwarded for a bounded time after the deadline")
{
    Fixture test;
    test.send("/read/1");
    const auto body = std::make_shared<EndlessBody>();
    test.sender.next().handler(endlessResponse(body));
    body->deliver(GatewayLimits().maxBufferedBytes + 1);
    REQUIRE(test.status() == 200);
    CHECK(!test.response->contentLength);
    bool failed = false;
    std::size_t received = 0;
    const auto onChunk = [&](core::Outcome<core::BodyChunk> chunk) {
        failed = !chunk;
        received += chunk ? chunk->data.size() : 0;
    };
    test.response->body->read(onChunk); // What was buffered.
    CHECK(received > GatewayLimits().maxBufferedBytes);
    test.response->body->read(onChunk);
    body->deliver(1);
    CHECK(!failed);
    test.clock.advance(seconds(6));
    test.response->body->read(onChunk);
    CHECK(failed);
}

// Servers that send bodies without end to many requests filled the memory of the instance.
TEST_CASE("the bodies of all requests together are buffered up to a limit, then forwarded")
{
    constexpr unsigned requests = 64;
    constexpr std::size_t chunkBytes = 64 * 1024;
    const GatewayLimits limits;
    Fixture test;
    std::vector<std::shared_ptr<EndlessBody>> bodies;
    std::vector<core::HttpResponse> responses;
    for (unsigned i = 0; i < requests; ++i) {
        test.gateway->handle({"GET", "/read/1", {}, {}},
                             [&](auto outcome) { responses.push_back(std::move(*outcome)); });
        bodies.push_back(std::make_shared<EndlessBody>());
        test.sender.next().handler(endlessResponse(bodies.back()));
    }
    // One chunk to each in turn, until all of them are forwarded.
    std::size_t received = 0;
    while (responses.size() < requests) {
        for (const auto &body : bodies) {
            if (!body->pending)
                continue;
            body->deliver(chunkBytes);
            received += chunkBytes;
            REQUIRE(test.gateway->bufferedBytes() <= limits.maxTotalBufferedBytes);
        }
    }
    CHECK(received <= limits.maxTotalBufferedBytes + requests * chunkBytes);
    // A caller that has taken what was buffered makes room for others, and so does one that left.
    const std::size_t before = test.gateway->bufferedBytes();
    responses.front().body->read([](auto) {});
    responses.front().body->read([](auto) {});
    CHECK(test.gateway->bufferedBytes() < before);
    responses.clear();
    CHECK(test.gateway->bufferedBytes() == 0);
    test.send("/read/1");
    test.sender.answer(200);
    CHECK(test.response->contentLength == 4);
}

TEST_CASE("the body of a failure without end is forwarded for a bounded time after the deadline")
{
    Fixture test;
    test.send("/pay/1");
    const auto body = std::make_shared<EndlessBody>();
    core::HttpResponse failure = endlessResponse(body);
    failure.status = 500;
    test.sender.next().handler(std::move(failure));
    REQUIRE(test.status() == 500);
    bool failed = false;
    const auto onChunk = [&failed](core::Outcome<core::BodyChunk> chunk) { failed = !chunk; };
    test.response->body->read(onChunk);
    body->deliver(1);
    CHECK_FALSE(failed);
    test.clock.advance(seconds(6));
    test.response->body->read(onChunk);
    CHECK(failed);
}
