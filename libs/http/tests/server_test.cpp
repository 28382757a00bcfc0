// The HTTP/1.1 listener against raw bytes: bad input, slow clients, framing, shutdown.
#include "raw_socket.h"
#include "test_support.h"

#include "amaranthdale/http/server.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::testing;

namespace {

using Respond = core::ResponseHandler;

// Echoes method, target and body.
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

std::size_t countOf(const std::string &text, std::string_view part)
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

TEST_CASE("malformed requests get 400 and a refusal that says not-run, and the connection closes")
{
    Fixture fixture;
    for (const std::string_view bytes :
         {"nonsense\r\n\r\n", "GET / HTTP/1.1\r\nBad Header\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: 5x\r\n\r\nhello",
          "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
        RawSocket client(fixture.endpoint());
        client.write(bytes);
        const std::string answer = client.readUntil();
        CHECK_MESSAGE(contains(answer, "HTTP/1.1 400"), std::string(bytes));
        CHECK(contains(answer, "X-Outcome: not-run"));
        CHECK(client.sawEnd());
    }
}

TEST_CASE("a header beyond the bound gets 431, so that memory for a connection stays bounded")
{
    Fixture fixture;
    RawSocket client(fixture.endpoint());
    client.write("GET / HTTP/1.1\r\nX-Long: " + std::string(20'000, 'a'));
    const std::string answer = client.readUntil();
    CHECK(contains(answer, "HTTP/1.1 431"));
    CHECK(contains(answer, "X-Outcome: not-run"));
}

TEST_CASE("a body beyond the bound gets 413 with not-run, announced or chunked")
{
    http::ServerLimits limits;
    limits.bodyBytes = 1000;
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

TEST_CASE("a client that sends a byte at a time is cut by the header timeout, not by each byte's")
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
    CHECK(client.sawEnd());
}

TEST_CASE("a body that stops arriving and an idle connection are cut by their timeouts")
{
    http::ServerLimits limits;
    limits.bodyTimeout = std::chrono::milliseconds(150);
    limits.idleTimeout = std::chrono::milliseconds(150);
    Fixture fixture(&echo, limits);
    RawSocket slow(fixture.endpoint());
    slow.write("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
    CHECK(slow.readUntil().empty());
    CHECK(slow.sawEnd());
    RawSocket idle(fixture.endpoint());
    CHECK(idle.readUntil().empty());
    CHECK(idle.sawEnd());
}

TEST_CASE("a client that doesn't read is cut by the write timeout and its body is released")
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
    const auto end = std::chrono::steady_clock::now() + longWait;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    while (!watch.expired() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    CHECK(watch.expired());
}

TEST_CASE("requests of one connection are answered in order, also when sent at once")
{
    Fixture fixture;
    RawSocket client(fixture.endpoint());
    client.write("GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: 2\r\n\r\nokGET /3 "
                 "HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string answers = client.readUntil();
    CHECK(countOf(answers, "HTTP/1.1 200") == 3);
    CHECK(answers.find("GET /1") < answers.find("POST /2 ok"));
    CHECK(answers.find("POST /2 ok") < answers.find("GET /3"));
    CHECK(client.sawEnd());
}

TEST_CASE("HEAD gets the length but no body, which the client would take for the next response")
{
    Fixture fixture;
    RawSocket client(fixture.endpoint());
    client.write("HEAD /x HTTP/1.1\r\n\r\nGET /y HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string answers = client.readUntil();
    CHECK(contains(answers, "Content-Length: 8"));
    CHECK_FALSE(contains(answers, "HEAD /x"));
    CHECK(contains(answers, "GET /y"));
}

TEST_CASE("a body of unknown length is chunked, and one that ends short closes the connection")
{
    Fixture fixture([](core::HttpRequest request, const Respond &respond) {
        core::HttpResponse response;
        if (request.target == "/whole")
            response.body = std::make_shared<PatternBody>(10, 4);
        else
            response.body = std::make_shared<BrokenBody>("partial");
        if (request.target == "/known")
            response.contentLength = 100;
        respond(std::move(response));
        return nullptr;
    });
    RawSocket whole(fixture.endpoint());
    whole.write("GET /whole HTTP/1.1\r\n\r\n");
    const std::string answer = whole.readUntil("\r\n0\r\n\r\n");
    CHECK(contains(answer, "Transfer-Encoding: chunked"));
    CHECK(contains(answer, "\r\n4\r\n"));
    CHECK(contains(answer, "\r\n0\r\n\r\n"));
    for (const std::string target : {"/short", "/known"}) {
        RawSocket cut(fixture.endpoint());
        cut.write("GET " + target + " HTTP/1.1\r\n\r\n");
        const std::string beginning = cut.readUntil();
        CHECK(cut.sawEnd());
        CHECK_FALSE(contains(beginning, "\r\n0\r\n\r\n"));
    }
}

TEST_CASE("Expect: 100-continue is answered before the body, or the client would wait for it")
{
    Fixture fixture;
    RawSocket client(fixture.endpoint());
    client.write("POST /e HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    CHECK(contains(client.readUntil("\r\n\r\n"), "100 Continue"));
    client.write("ok");
    CHECK(contains(client.readUntil("POST /e ok"), "HTTP/1.1 200"));
}

TEST_CASE("a client that goes away cancels its request, so that no work is done for nobody")
{
    auto flag = std::make_shared<CancelFlag>();
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

// An instance that stalled for a second read requests whose callers had left, and sent them to
// backend servers.
TEST_CASE("a request whose client has left before it is read is not passed on")
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
    RawSocket present((*server)->localEndpoint());
    present.write("GET /here HTTP/1.1\r\nHost: a\r\n\r\n");
    stalled.run_for(std::chrono::milliseconds(300));
    CHECK(handled == 1);
}

TEST_CASE("an error of the handler becomes a refusal that says whether the request ran")
{
    Fixture fixture([](core::HttpRequest request, const Respond &respond) {
        const auto kind = request.target == "/a" ? core::ErrorKind::Unavailable
                                                 : core::ErrorKind::ConnectionLost;
        respond(core::Error{kind, "try \"again\""});
        return nullptr;
    });
    RawSocket client(fixture.endpoint());
    client.write("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string answers = client.readUntil();
    CHECK(contains(answers, "HTTP/1.1 503"));
    CHECK(contains(answers, R"("outcome":"not-run")"));
    CHECK(contains(answers, R"(try \"again\")"));
    CHECK(contains(answers, "HTTP/1.1 504"));
    CHECK(contains(answers, R"("outcome":"unknown")"));
}

TEST_CASE("drain answers what is in progress, closes idle connections and accepts no more")
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
    CHECK(idle.sawEnd());
    CHECK(whenDrained.wait_for(std::chrono::milliseconds(50)) == std::future_status::timeout);
    respond(core::makeResponse(200, "done"));
    CHECK(contains(busy.readUntil(), "done"));
    CHECK(whenDrained.wait_for(longWait) == std::future_status::ready);
    CHECK_THROWS(RawSocket(fixture.endpoint()));
}

TEST_CASE("an address in use is reported as Unavailable, not taken silently")
{
    Fixture fixture;
    const auto second = core::attempt([&] {
        return http::makeHttpServer(fixture.workers.context, fixture.endpoint(), fixture.handler);
    });
    REQUIRE_FALSE(second);
    CHECK(second.error().kind == core::ErrorKind::Unavailable);
}
