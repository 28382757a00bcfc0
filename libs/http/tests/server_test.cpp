// Tests of the HTTP/1.1 server over raw sockets: invalid input, slow clients, framing and shutdown.
#include "raw_socket.h"
#include "test_support.h"

#include "amaranthdale/http/server.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::testing;

namespace {

using Respond = core::ResponseHandler;

// Responds with the method, target and body of the request.
std::shared_ptr<core::Exchange> echo(core::HttpRequest request, const Respond &respond)
{
    respond(core::makeResponse(200, request.method + " " + request.target + " " + request.body));
    return nullptr;
}

struct Fixture
{
    explicit Fixture(FunctionHandler::Function function = &echo, http::ServerLimits limits = {})
        : handler(std::move(function)), server(core::attempt([&] {
              return http::makeHttpServer(this->workers.context, anyLoopbackPort, this->handler,
                                          limits);
          }))
    {
        REQUIRE(this->server);
    }

    core::Endpoint endpoint() { return (*this->server)->localEndpoint(); }

    Workers workers;
    FunctionHandler handler;
    core::Outcome<std::unique_ptr<core::HttpListener>> server;
};

std::size_t countOccurrences(const std::string &text, std::string_view part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("server: malformed requests get 400 with outcome not-run, and the connection closes")
{
    Fixture fixture;
    for (const std::string_view bytes :
         {"nonsense\r\n\r\n", "GET / HTTP/1.1\r\nBad Header\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: 5x\r\n\r\nhello",
          "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
        RawSocket client(fixture.endpoint());
        client.write(bytes);
        const std::string response = client.readUntil();
        CHECK_MESSAGE(contains(response, "HTTP/1.1 400"), std::string(bytes));
        CHECK(contains(response, "X-Outcome: not-run"));
        CHECK(client.isClosed());
    }
}

TEST_CASE("server: an oversized header gets 431, which bounds the memory of a connection")
{
    Fixture fixture;
    RawSocket client(fixture.endpoint());
    client.write("GET / HTTP/1.1\r\nX-Long: " + std::string(20'000, 'a'));
    const std::string response = client.readUntil();
    CHECK(contains(response, "HTTP/1.1 431"));
    CHECK(contains(response, "X-Outcome: not-run"));
}

TEST_CASE("server: an oversized body gets 413 with outcome not-run, with Content-Length or chunked")
{
    http::ServerLimits limits;
    limits.maxBodyBytes = 1000;
    Fixture fixture(&echo, limits);
    RawSocket announced(fixture.endpoint());
    announced.write("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'b'));
    const std::string first = announced.readUntil();
    CHECK(contains(first, "HTTP/1.1 413"));
    CHECK(contains(first, "X-Outcome: not-run"));
    RawSocket chunked(fixture.endpoint());
    chunked.write("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n258\r\n"
                  + std::string(600, 'c') + "\r\n258\r\n" + std::string(600, 'c') + "\r\n");
    CHECK(contains(chunked.readUntil(), "HTTP/1.1 413"));
}

TEST_CASE("server: the header timeout covers the whole header and is not extended by each byte")
{
    http::ServerLimits limits;
    limits.headerTimeout = std::chrono::milliseconds(300);
    Fixture fixture(&echo, limits);
    RawSocket client(fixture.endpoint());
    const auto begin = std::chrono::steady_clock::now();
    const std::string request = "GET / HTTP/1.1\r\nX-Slow: " + std::string(200, 's');
    std::size_t sent = 0;
    while (sent < request.size() && client.write(request.substr(sent, 1))) {
        ++sent;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    CHECK(sent < 100);
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(3));
    client.readUntil();
    CHECK(client.isClosed());
}

TEST_CASE("server: stalled request bodies and idle connections are closed after their timeouts")
{
    http::ServerLimits limits;
    limits.bodyTimeout = std::chrono::milliseconds(150);
    limits.idleTimeout = std::chrono::milliseconds(150);
    Fixture fixture(&echo, limits);
    RawSocket slow(fixture.endpoint());
    slow.write("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
    CHECK(slow.readUntil().empty());
    CHECK(slow.isClosed());
    RawSocket idle(fixture.endpoint());
    CHECK(idle.readUntil().empty());
    CHECK(idle.isClosed());
}

TEST_CASE("server: the write timeout closes connections of clients that do not read, freeing the "
          "body")
{
    http::ServerLimits limits;
    limits.writeTimeout = std::chrono::milliseconds(200);
    auto body = std::make_shared<PatternBody>(std::uint64_t(1) << 40, 64 * 1024);
    const std::weak_ptr<PatternBody> watch = body;
    Fixture fixture(
            [&body](core::HttpRequest, const Respond &respond) {
                core::HttpResponse response;
                response.body = std::exchange(body, nullptr);
                respond(std::move(response));
                return nullptr;
            },
            limits);
    RawSocket client(fixture.endpoint());
    client.write("GET / HTTP/1.1\r\n\r\n");
    const auto end = std::chrono::steady_clock::now() + waitTimeout;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    while (!watch.expired() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    CHECK(watch.expired());
}

TEST_CASE("server: pipelined requests are answered in order")
{
    Fixture fixture;
    RawSocket client(fixture.endpoint());
    client.write("GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: 2\r\n\r\nokGET /3 "
                 "HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string responses = client.readUntil();
    CHECK(countOccurrences(responses, "HTTP/1.1 200") == 3);
    CHECK(responses.find("GET /1") < responses.find("POST /2 ok"));
    CHECK(responses.find("POST /2 ok") < responses.find("GET /3"));
    CHECK(client.isClosed());
}

TEST_CASE("server: a HEAD response has no body, which the client would parse as the next response")
{
    Fixture fixture;
    RawSocket client(fixture.endpoint());
    client.write("HEAD /x HTTP/1.1\r\n\r\nGET /y HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string responses = client.readUntil();
    CHECK(contains(responses, "Content-Length: 8"));
    CHECK_FALSE(contains(responses, "HEAD /x"));
    CHECK(contains(responses, "GET /y"));
}

TEST_CASE("server: bodies of unknown length are chunked; truncated bodies close the connection")
{
    Fixture fixture([](core::HttpRequest request, const Respond &respond) {
        core::HttpResponse response;
        if (request.target == "/whole")
            response.body = std::make_shared<PatternBody>(10, 4);
        else
            response.body = std::make_shared<FailingBody>("partial");
        if (request.target == "/known")
            response.contentLength = 100;
        respond(std::move(response));
        return nullptr;
    });
    RawSocket whole(fixture.endpoint());
    whole.write("GET /whole HTTP/1.1\r\n\r\n");
    const std::string response = whole.readUntil("\r\n0\r\n\r\n");
    CHECK(contains(response, "Transfer-Encoding: chunked"));
    CHECK(contains(response, "\r\n4\r\n"));
    CHECK(contains(response, "\r\n0\r\n\r\n"));
    for (const std::string target : {"/short", "/known"}) {
        RawSocket truncated(fixture.endpoint());
        truncated.write("GET " + target + " HTTP/1.1\r\n\r\n");
        const std::string received = truncated.readUntil();
        CHECK(truncated.isClosed());
        CHECK_FALSE(contains(received, "\r\n0\r\n\r\n"));
    }
}

TEST_CASE("server: Expect: 100-continue is answered before the body, which the client holds back")
{
    Fixture fixture;
    RawSocket client(fixture.endpoint());
    client.write("POST /e HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    CHECK(contains(client.readUntil("\r\n\r\n"), "100 Continue"));
    client.write("ok");
    CHECK(contains(client.readUntil("POST /e ok"), "HTTP/1.1 200"));
}

TEST_CASE("server: a disconnect of the client cancels its request, which avoids useless work")
{
    auto flag = std::make_shared<CancellationProbe>();
    std::promise<void> arrived;
    Fixture fixture([&](core::HttpRequest, const Respond &) {
        arrived.set_value();
        return flag;
    });
    RawSocket client(fixture.endpoint());
    client.write("GET / HTTP/1.1\r\n\r\n");
    arrived.get_future().wait();
    client.close();
    CHECK(flag->wait());
}

// Guards against an instance that, after a stall of one second, forwarded requests of callers that
// had already disconnected.
TEST_CASE("server: a request whose client disconnected before it was read is not handled")
{
    boost::asio::io_context stalled;
    int handled = 0;
    FunctionHandler handler([&handled](core::HttpRequest request, const Respond &respond) {
        ++handled;
        return echo(std::move(request), respond);
    });
    auto server =
            core::attempt([&] { return http::makeHttpServer(stalled, anyLoopbackPort, handler); });
    REQUIRE(server);
    {
        RawSocket client((*server)->localEndpoint());
        client.write("GET /gone HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    RawSocket connected((*server)->localEndpoint());
    connected.write("GET /here HTTP/1.1\r\nHost: a\r\n\r\n");
    stalled.run_for(std::chrono::milliseconds(300));
    CHECK(handled == 1);
}

TEST_CASE("server: a handler error becomes an error response that states whether the request ran")
{
    Fixture fixture([](core::HttpRequest request, const Respond &respond) {
        const auto kind = request.target == "/a" ? core::ErrorKind::Unavailable
                                                 : core::ErrorKind::ConnectionLost;
        respond(core::Error{kind, "try \"again\""});
        return nullptr;
    });
    RawSocket client(fixture.endpoint());
    client.write("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string responses = client.readUntil();
    CHECK(contains(responses, "HTTP/1.1 503"));
    CHECK(contains(responses, R"("outcome":"not-run")"));
    CHECK(contains(responses, R"(try \"again\")"));
    CHECK(contains(responses, "HTTP/1.1 504"));
    CHECK(contains(responses, R"("outcome":"unknown")"));
}

TEST_CASE(
        "server: drain completes requests in progress, closes idle connections and stops accepting")
{
    std::promise<Respond> pending;
    Fixture fixture([&](core::HttpRequest, const Respond &respond) {
        pending.set_value(respond);
        return nullptr;
    });
    RawSocket idle(fixture.endpoint());
    RawSocket busy(fixture.endpoint());
    busy.write("GET / HTTP/1.1\r\n\r\n");
    const Respond respond = pending.get_future().get();
    std::promise<void> drained;
    auto whenDrained = drained.get_future();
    (*fixture.server)->drain([&] { drained.set_value(); });
    idle.readUntil();
    CHECK(idle.isClosed());
    CHECK(whenDrained.wait_for(std::chrono::milliseconds(50)) == std::future_status::timeout);
    respond(core::makeResponse(200, "done"));
    CHECK(contains(busy.readUntil(), "done"));
    CHECK(whenDrained.wait_for(waitTimeout) == std::future_status::ready);
    CHECK_THROWS(RawSocket(fixture.endpoint()));
}

// A connection in the listen queue has been accepted as far as its client can tell, and its request
// may have been sent. Closing the listener reset it without a response.
TEST_CASE("server: drain answers the requests of connections that wait in the listen queue")
{
    boost::asio::io_context context;
    FunctionHandler handler(&echo);
    auto server =
            core::attempt([&] { return http::makeHttpServer(context, anyLoopbackPort, handler); });
    REQUIRE(server);
    RawSocket client((*server)->localEndpoint());
    client.write("GET /late HTTP/1.1\r\n\r\n");
    bool drained = false;
    (*server)->drain([&] { drained = true; });
    CHECK_THROWS(RawSocket((*server)->localEndpoint()));
    std::thread worker([&] { context.run(); });
    const std::string response = client.readUntil();
    client.close();
    worker.join();
    CHECK(contains(response, "GET /late"));
    CHECK(contains(response, "Connection: close"));
    CHECK(drained);
}

TEST_CASE("server: listening on an address in use fails with Unavailable")
{
    Fixture fixture;
    const auto second = core::attempt([&] {
        return http::makeHttpServer(fixture.workers.context, fixture.endpoint(), fixture.handler);
    });
    REQUIRE_FALSE(second);
    CHECK(second.error().kind == core::ErrorKind::Unavailable);
}

// Callers with large bodies, many or slow ones, filled the memory of the instance.
TEST_CASE("server: large bodies are rejected while others take up the limit for all of them")
{
    http::ServerLimits limits;
    limits.maxTotalBodyBytes = 300'000;
    std::promise<Respond> held;
    Fixture fixture(
            [&held](core::HttpRequest request, Respond respond) -> std::shared_ptr<core::Exchange> {
                if (request.target != "/held")
                    return echo(std::move(request), respond);
                held.set_value(std::move(respond));
                return nullptr;
            },
            limits);
    const auto upload = [](const std::string &target, std::size_t size) {
        return "POST " + target + " HTTP/1.1\r\nContent-Length: " + std::to_string(size)
                + "\r\n\r\n" + std::string(size, 'x');
    };
    RawSocket first(fixture.endpoint());
    first.write(upload("/held", 250'000));
    const Respond respond = held.get_future().get();
    RawSocket second(fixture.endpoint());
    second.write(upload("/", 100'000));
    const std::string rejected = second.readUntil("not-run");
    CHECK(contains(rejected, "HTTP/1.1 503"));
    CHECK(contains(rejected, "not-run"));
    // Small bodies aren't affected.
    RawSocket small(fixture.endpoint());
    small.write(upload("/", 5));
    CHECK(contains(small.readUntil("xxxxx"), "HTTP/1.1 200"));
    respond(core::makeResponse(200, "done"));
    CHECK(contains(first.readUntil("done"), "HTTP/1.1 200"));
    // The connection reads its next request once it has let go of the first one.
    first.write(upload("/", 5));
    CHECK(contains(first.readUntil("xxxxx"), "HTTP/1.1 200"));
    // Neither is a body above the limit while it is the only one.
    RawSocket large(fixture.endpoint());
    large.write(upload("/", 400'000));
    CHECK(contains(large.readUntil("\r\n\r\n"), "HTTP/1.1 200"));
}
