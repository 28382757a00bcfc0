// Request processing: retries, refusals, and what responses say about the outcome.
#include "gateway_fixture.h"

using namespace amaranthdale;
using namespace amaranthdale::gateway;
using namespace amaranthdale::gateway::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A request accepted 3.2 s after SIGTERM was cut off when the process exited 2.5 s later.
TEST_CASE("an instance that is stopping refuses requests that it could not complete")
{
    Fixture test;
    test.gateway->stopAccepting();
    test.send("/read/1");
    CHECK(test.sender.sent.empty());
    REQUIRE(test.status() == 503);
    CHECK(core::findHeader(test.response->headers, "Retry-After"));
}

TEST_CASE("requests before the first configuration are refused as not run")
{
    Fixture test;
    log::CapturingLog events;
    Gateway empty(test.clock, test.sender, test.format, events, GatewayLimits());
    unsigned status = 0;
    empty.handle({"GET", "/read/1", {}, {}}, [&](auto outcome) { status = outcome->status; });
    CHECK(status == 503);
}

TEST_CASE("a non-idempotent request is neither retried nor reported as not run after a lost "
          "connection")
{
    Fixture test;
    test.send("/pay/1");
    test.sender.fail(core::ErrorKind::ConnectionLost);
    CHECK(test.sender.sent.empty());
    CHECK(test.status() == 502);
}

TEST_CASE("a non-idempotent request is retried if it didn't reach the server")
{
    Fixture test;
    test.send("/pay/1");
    const std::string first = test.sender.sent.front().server();
    test.sender.fail(core::ErrorKind::Unavailable);
    REQUIRE(test.sender.sent.size() == 1);
    CHECK(test.sender.sent.front().server() != first);
    test.sender.answer(200);
    CHECK(test.status() == 200);
}

TEST_CASE("a non-idempotent request is retried if the server refused it as not run")
{
    Fixture test;
    test.send("/pay/1");
    test.sender.answer(503, "Not-Run");
    test.sender.answer(200);
    CHECK(test.status() == 200);
}

TEST_CASE("a server's 503 without the not-run header is not forwarded as not run")
{
    Fixture test;
    test.send("/pay/1");
    test.sender.answer(503);
    CHECK(test.status() == 502);
}

TEST_CASE("a failed idempotent request is retried up to the attempt limit of its route")
{
    Fixture test;
    test.send("/read/1");
    test.sender.answer(500);
    test.sender.answer(500);
    CHECK(test.sender.sent.empty());
    CHECK(test.status() == 500);
}

TEST_CASE("a request is not reported as not run once an attempt may have run")
{
    Fixture test;
    test.send("/read/1");
    test.sender.fail(core::ErrorKind::ConnectionLost);
    test.sender.answer(503, "Not-Run");
    while (!test.sender.sent.empty())
        test.sender.answer(503, "Not-Run");
    CHECK(test.status() == 502);
}

TEST_CASE("a request for a key without an owner waits and is sent to the next owner")
{
    Fixture test;
    test.send("/read/1", "5");
    CHECK(test.sender.sent.empty());
    test.assign("b");
    test.clock.advance(milliseconds(50));
    REQUIRE(test.sender.sent.size() == 1);
    CHECK(test.sender.sent.front().server() == "b");
}

TEST_CASE("a request for a key without an owner is refused well before its deadline")
{
    Fixture test;
    test.send("/read/1", "5");
    test.clock.advance(milliseconds(420));
    CHECK(test.status() == 503);
    CHECK(core::findHeader(test.response->headers, "Retry-After").has_value());
}

TEST_CASE("a request refused by the former owner is sent to the new owner")
{
    Fixture test;
    test.assign("a");
    test.send("/read/1", "5");
    test.sender.answer(421);
    CHECK(test.sender.sent.empty());
    test.assign("b");
    test.clock.advance(milliseconds(50));
    REQUIRE(test.sender.sent.size() == 1);
    CHECK(test.sender.sent.front().server() == "b");
}

TEST_CASE("cancellation by the caller cancels the request at the server")
{
    Fixture test;
    const auto exchange = test.send("/read/1");
    exchange->cancel();
    CHECK(*test.sender.sent.front().cancelled);
    CHECK(test.gateway->requestsInProgress() == 0);
}

TEST_CASE("retries stop when the budget is exhausted")
{
    Fixture test;
    int retries = 0;
    for (int request = 0; request < 40; ++request) {
        test.response.reset();
        test.send("/read/1");
        test.sender.fail(core::ErrorKind::ConnectionLost);
        while (!test.sender.sent.empty()) {
            ++retries;
            test.sender.answer(200);
        }
    }
    CHECK(retries <= 5 + 40 / 2);
}

TEST_CASE("an older configuration doesn't replace a newer one")
{
    Fixture test;
    CHECK(test.gateway->setCatalogue(Fixture::makeCatalogue(7)));
    CHECK(!test.gateway->setCatalogue(Fixture::makeCatalogue(6)));
    CHECK(test.gateway->routes()->version() == 7);
}

TEST_CASE("requests are distributed by the weights of a route's services")
{
    Fixture test;
    auto catalogue = Fixture::makeCatalogue(2);
    catalog::Service other;
    other.name = core::ServiceName("other");
    catalogue.services.push_back(other);
    catalogue.routes[0].shares = {{core::ServiceName("stock"), 90},
                                  {core::ServiceName("other"), 10}};
    test.gateway->setCatalogue(catalogue);
    int refused = 0;
    for (int request = 0; request < 100; ++request) {
        test.response.reset();
        test.send("/read/1");
        // The other service has no servers, so its requests are refused.
        refused += test.status() == 503;
        while (!test.sender.sent.empty())
            test.sender.answer(200);
    }
    CHECK(refused == 10);
}

TEST_CASE("a failed request is logged once with its route, status and configuration")
{
    Fixture test;
    test.send("/pay/1");
    test.sender.fail(core::ErrorKind::ConnectionLost);
    REQUIRE(test.events.count("request-failed") == 1);
    const auto line = test.events.events().front();
    CHECK(line.find("status") == "502");
    CHECK(line.find("route") == "pay");
    CHECK(line.find("configuration") == "1");
}

TEST_CASE("a request is sent to a server again only on a new connection")
{
    Fixture test;
    test.assign("a");
    test.send("/read/1", "5");
    CHECK_FALSE(test.sender.sent.front().request.newConnection);
    test.sender.fail(core::ErrorKind::ConnectionLost);
    test.clock.advance(milliseconds(40));
    REQUIRE(test.sender.sent.size() == 1);
    CHECK(test.sender.sent.front().request.newConnection);
}
