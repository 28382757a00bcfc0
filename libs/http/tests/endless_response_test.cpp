// Servers that send bytes without end. The client must fail the request and close the connection
// within bounded memory, long before the timeout of the request.
#include "endless_server.h"
#include "test_support.h"

#include "amaranthdale/http/backend_client.h"

#include <doctest/doctest.h>

#include <thread>

using namespace amaranthdale;
using namespace amaranthdale::testing;

namespace {

core::HttpRequest identifiedRequest()
{
    core::HttpRequest request{"GET", "/", {{"Id", "two"}}, {}};
    request.correlationHeader = core::Header{"Id", "two"};
    return request;
}

} // namespace

TEST_CASE("client: a response header without end fails as Protocol and closes the connection")
{
    std::string beginning;
    std::string filler = "x";
    SUBCASE("bytes that are no header") { }
    SUBCASE("one header field")
    {
        beginning = "HTTP/1.1 200 OK\r\nX: ";
    }
    SUBCASE("header fields")
    {
        beginning = "HTTP/1.1 200 OK\r\n";
        filler = "X: y\r\n";
    }
    SUBCASE("interim responses")
    {
        filler = "HTTP/1.1 100 Continue\r\n\r\n";
    }
    SUBCASE("responses to another request")
    {
        filler = "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 0\r\n\r\n";
    }
    SUBCASE("a response to another request whose body does not end")
    {
        beginning = "HTTP/1.1 200 OK\r\nId: one\r\n\r\n";
    }
    Workers workers;
    auto client = http::makeBackendClient(workers.context);
    EndlessServer server(beginning, filler);
    const auto outcome = sendAndWait(*client, server.server.endpoint(), identifiedRequest());
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().kind == core::ErrorKind::Protocol);
    server.join();
    CHECK(server.closedByClient);
}

TEST_CASE("client: a body with malformed framing without end fails and closes the connection")
{
    std::string beginning = "HTTP/1.1 200 OK\r\nId: two\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string filler;
    SUBCASE("chunk size line")
    {
        filler = "0";
    }
    SUBCASE("chunk extension")
    {
        beginning += "5;";
        filler = "x";
    }
    SUBCASE("trailer")
    {
        beginning += "2\r\nok\r\n0\r\n";
        filler = "X: y\r\n";
    }
    Workers workers;
    auto client = http::makeBackendClient(workers.context);
    EndlessServer server(beginning, filler);
    const auto outcome = sendAndWait(*client, server.server.endpoint(), identifiedRequest());
    REQUIRE(outcome);
    const auto body = readBody(*outcome);
    CHECK_FALSE(body);
    server.join();
    CHECK(server.closedByClient);
}

TEST_CASE("client: bytes past the announced length are not part of the response or of the next one")
{
    Workers workers;
    auto client = http::makeBackendClient(workers.context);
    EndlessServer server("HTTP/1.1 200 OK\r\nId: two\r\nContent-Length: 2\r\n\r\nok", "x");
    const auto outcome = sendAndWait(*client, server.server.endpoint(), identifiedRequest());
    REQUIRE(outcome);
    const auto body = readBody(*outcome);
    REQUIRE(body);
    CHECK(*body == "ok");
    server.join();
    CHECK(server.closedByClient);
}

TEST_CASE("client: a body without length or end is read only as fast as its reader asks")
{
    Workers workers;
    auto client = http::makeBackendClient(workers.context);
    EndlessServer server("HTTP/1.1 200 OK\r\nId: two\r\n\r\n", "x");
    auto outcome = sendAndWait(*client, server.server.endpoint(), identifiedRequest());
    REQUIRE(outcome);
    constexpr unsigned chunks = 4;
    std::size_t read = 0;
    for (unsigned i = 0; i < chunks; ++i) {
        const auto chunk = readChunk(*outcome->body);
        REQUIRE(chunk);
        CHECK_FALSE(chunk->last);
        read += chunk->data.size();
    }
    CHECK(read <= (chunks + 1) * http::ClientLimits().maxChunkBytes);
    // The reader gives up; the connection must close although the body has not ended.
    outcome->body.reset();
    server.join();
    CHECK(server.closedByClient);
}

// Each read ends in time, the body doesn't: a reader of control messages would wait for good.
TEST_CASE("client: a body that arrives slowly without end fails at its completion timeout")
{
    Workers workers;
    auto client = http::makeBackendClient(workers.context);
    RawServer server;
    std::thread trickle([&server] {
        RawSocket connection(server.acceptor);
        connection.readUntil("\r\n\r\n");
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
        while (connection.write("x"))
            std::this_thread::sleep_for(std::chrono::milliseconds(5)); // The rate is the scenario.
    });
    core::HttpRequest request{"GET", "/", {}, {}};
    request.completionTimeout = std::chrono::milliseconds(300);
    const auto outcome = sendAndWait(*client, server.endpoint(), std::move(request));
    REQUIRE(outcome);
    const auto body = readBody(*outcome);
    REQUIRE_FALSE(body);
    CHECK(body.error().kind == core::ErrorKind::Timeout);
    trickle.join();
}
