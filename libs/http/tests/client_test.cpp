// The HTTP/1.1 client: error kinds, body ends, retries, the pool and cancellation.
#include "raw_socket.h"
#include "test_support.h"

#include "amaranthdale/http/backend_client.h"
#include "amaranthdale/http/server.h"

#include <doctest/doctest.h>

#include <thread>

using namespace amaranthdale;
using namespace amaranthdale::testing;

namespace {

constexpr std::string_view okay = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

core::HttpRequest get(std::string target = "/")
{
    return {"GET", std::move(target), {}, {}};
}

core::HttpRequest post()
{
    return {"POST", "/", {}, "pay"};
}

core::ErrorKind kindOf(const core::Outcome<core::HttpResponse> &outcome)
{
    return outcome ? core::ErrorKind::Internal : outcome.error().kind;
}

// A response handler whose outcome can be waited for.
struct Waiter
{
    core::ResponseHandler handler()
    {
        return [promise = this->promise](auto outcome) { promise->set_value(std::move(outcome)); };
    }

    core::Outcome<core::HttpResponse> get()
    {
        auto future = this->promise->get_future();
        if (future.wait_for(longWait) != std::future_status::ready)
            return core::Error{core::ErrorKind::Internal, "no call of the response handler"};
        return future.get();
    }

    std::shared_ptr<std::promise<core::Outcome<core::HttpResponse>>> promise =
            std::make_shared<std::promise<core::Outcome<core::HttpResponse>>>();
};

} // namespace

TEST_CASE("Unavailable is given only when no byte was sent: refused connect and unusable address")
{
    Workers workers;
    auto client = http::makeBackendClient(workers.context);
    core::Endpoint unused;
    {
        RawServer gone;
        unused = gone.endpoint();
    }
    CHECK(kindOf(sendAndWait(*client, unused, post())) == core::ErrorKind::Unavailable);
    CHECK(kindOf(sendAndWait(*client, {"no address", 1}, post())) == core::ErrorKind::Unavailable);
    CHECK(kindOf(sendAndWait(*client, unused, {"GET", "/a b", {}, {}}))
          == core::ErrorKind::Unavailable);
}

TEST_CASE("a connection that ends before the response is ConnectionLost, since the request may run")
{
    Workers workers;
    auto client = http::makeBackendClient(workers.context);
    RawServer server;
    Waiter waiter;
    client->send(server.endpoint(), post(), longWait, waiter.handler());
    RawSocket connection(server.acceptor);
    connection.readUntil("pay");
    connection.close();
    CHECK(kindOf(waiter.get()) == core::ErrorKind::ConnectionLost);
}

TEST_CASE("a server that doesn't answer gives Timeout, a malformed response gives Protocol")
{
    Workers workers;
    auto client = http::makeBackendClient(workers.context);
    RawServer server;
    CHECK(kindOf(sendAndWait(*client, server.endpoint(), post(), std::chrono::milliseconds(100)))
          == core::ErrorKind::Timeout);
    RawSocket first(server.acceptor);
    Waiter waiter;
    client->send(server.endpoint(), post(), longWait, waiter.handler());
    RawSocket second(server.acceptor);
    second.write("SMTP ready\r\n\r\n");
    CHECK(kindOf(waiter.get()) == core::ErrorKind::Protocol);
}

TEST_CASE("a body that ends short is an error, never a short success")
{
    Workers workers;
    auto client = http::makeBackendClient(workers.context);
    RawServer server;
    for (const std::string_view text : {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npartial",
                                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        "7\r\npartial\r\n"}) {
        Waiter waiter;
        client->send(server.endpoint(), get(), longWait, waiter.handler());
        RawSocket connection(server.acceptor);
        connection.readUntil("\r\n\r\n");
        connection.write(text);
        connection.close();
        const auto response = waiter.get();
        REQUIRE(response);
        const auto body = bodyOf(*response);
        REQUIRE_FALSE(body);
        CHECK(body.error().kind == core::ErrorKind::ConnectionLost);
    }
}

TEST_CASE("a body that stops arriving gives Timeout, so that a stalled server frees its reader")
{
    Workers workers;
    auto client = http::makeBackendClient(workers.context);
    RawServer server;
    Waiter waiter;
    client->send(server.endpoint(), get(), std::chrono::milliseconds(200), waiter.handler());
    RawSocket connection(server.acceptor);
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npartial");
    const auto response = waiter.get();
    REQUIRE(response);
    const auto body = bodyOf(*response);
    REQUIRE_FALSE(body);
    CHECK(body.error().kind == core::ErrorKind::Timeout);
}

TEST_CASE("bodies end by chunking, by the close of the connection, and after an interim response")
{
    Workers workers;
    auto client = http::makeBackendClient(workers.context);
    RawServer server;
    for (const std::string_view text :
         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: "
          "chunked\r\n\r\n2\r\nwh\r\n3;x=y\r\nole\r\n0\r\n\r\n",
          "HTTP/1.1 200 OK\r\n\r\nwhole",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"}) {
        Waiter waiter;
        client->send(server.endpoint(), get(), longWait, waiter.handler());
        RawSocket connection(server.acceptor);
        connection.readUntil("\r\n\r\n");
        connection.write(text);
        connection.close();
        const auto response = waiter.get();
        REQUIRE(response);
        CHECK(*bodyOf(*response) == "whole");
    }
}

TEST_CASE("HEAD has no body whatever its length says, and its connection is used again")
{
    Workers workers;
    auto client = http::makeBackendClient(workers.context);
    RawServer server;
    Waiter head;
    client->send(server.endpoint(), {"HEAD", "/", {}, {}}, longWait, head.handler());
    RawSocket connection(server.acceptor);
    connection.readUntil("\r\n\r\n");
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 700\r\n\r\n");
    const auto response = head.get();
    REQUIRE(response);
    CHECK(response->contentLength == 700);
    CHECK(bodyOf(*response)->empty());
    Waiter next;
    client->send(server.endpoint(), get(), longWait, next.handler());
    connection.readUntil("\r\n\r\n");
    connection.write(okay);
    CHECK(next.get());
}

TEST_CASE("after a kept connection ends unanswered a GET is sent again, a POST never")
{
    for (const bool repeatable : {true, false}) {
        Workers workers;
        auto client = http::makeBackendClient(workers.context);
        RawServer server;
        Waiter first;
        client->send(server.endpoint(), get(), longWait, first.handler());
        RawSocket connection(server.acceptor);
        connection.readUntil("\r\n\r\n");
        connection.write(okay);
        REQUIRE(first.get());
        Waiter second;
        client->send(server.endpoint(), repeatable ? get() : post(), longWait, second.handler());
        connection.readUntil("\r\n\r\n");
        connection.close();
        if (repeatable) {
            RawSocket fresh(server.acceptor);
            fresh.readUntil("\r\n\r\n");
            fresh.write(okay);
            CHECK(second.get());
        } else {
            CHECK(kindOf(second.get()) == core::ErrorKind::ConnectionLost);
        }
    }
}

TEST_CASE("a kept connection that the server closed while idle isn't used, not even for a POST")
{
    Workers workers;
    auto client = http::makeBackendClient(workers.context);
    RawServer server;
    Waiter first;
    client->send(server.endpoint(), get(), longWait, first.handler());
    {
        RawSocket connection(server.acceptor);
        connection.readUntil("\r\n\r\n");
        connection.write(okay);
        REQUIRE(first.get());
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    Waiter second;
    client->send(server.endpoint(), post(), longWait, second.handler());
    RawSocket fresh(server.acceptor);
    fresh.readUntil("pay");
    fresh.write(okay);
    CHECK(second.get());
}

TEST_CASE("requests beyond the pool's bound wait, then run; one whose time passes was never sent")
{
    Workers workers;
    std::atomic<int> running{0};
    std::atomic<int> most{0};
    std::promise<core::ResponseHandler> held;
    FunctionHandler handler([&](core::HttpRequest request, core::ResponseHandler respond) {
        most = std::max(most.load(), ++running);
        if (request.target == "/hold") {
            held.set_value(std::move(respond));
            return nullptr;
        }
        --running;
        respond(core::makeResponse(200, "x"));
        return nullptr;
    });
    auto server = core::attempt(
            [&] { return http::makeHttpServer(workers.context, anyLoopbackPort, handler); });
    REQUIRE(server);
    const auto to = (*server)->localEndpoint();
    http::ClientLimits limits;
    limits.connectionsPerEndpoint = 1;
    auto client = http::makeBackendClient(workers.context, limits);
    Waiter holding;
    client->send(to, get("/hold"), longWait, holding.handler());
    const auto respond = held.get_future().get();
    std::vector<Waiter> waiting(20);
    for (Waiter &waiter : waiting)
        client->send(to, get(), longWait, waiter.handler());
    Waiter late;
    client->send(to, post(), std::chrono::milliseconds(50), late.handler());
    Waiter unwanted;
    client->send(to, post(), longWait, unwanted.handler())->cancel();
    CHECK(kindOf(late.get()) == core::ErrorKind::Unavailable);
    CHECK(kindOf(unwanted.get()) == core::ErrorKind::Unavailable);
    --running;
    respond(core::makeResponse(200, "held"));
    CHECK(holding.get());
    for (Waiter &waiter : waiting)
        CHECK(waiter.get());
    CHECK(most == 1);
}

TEST_CASE("cancel closes the connection, so that the server learns of it, and reports once")
{
    Workers workers;
    auto flag = std::make_shared<CancelFlag>();
    std::promise<void> arrived;
    FunctionHandler handler([&](core::HttpRequest, const core::ResponseHandler &) {
        arrived.set_value();
        return flag;
    });
    auto server = core::attempt(
            [&] { return http::makeHttpServer(workers.context, anyLoopbackPort, handler); });
    REQUIRE(server);
    auto client = http::makeBackendClient(workers.context);
    Waiter waiter;
    const auto exchange =
            client->send((*server)->localEndpoint(), post(), longWait, waiter.handler());
    arrived.get_future().wait();
    exchange->cancel();
    exchange->cancel();
    CHECK(kindOf(waiter.get()) == core::ErrorKind::ConnectionLost);
    CHECK(flag->wait());
}

TEST_CASE("a client that ends fails what is pending, so that no handler waits forever")
{
    Workers workers;
    RawServer server;
    http::ClientLimits limits;
    limits.connectionsPerEndpoint = 1;
    auto client = http::makeBackendClient(workers.context, limits);
    Waiter sent;
    Waiter queued;
    client->send(server.endpoint(), post(), longWait, sent.handler());
    client->send(server.endpoint(), post(), longWait, queued.handler());
    RawSocket connection(server.acceptor);
    connection.readUntil("pay");
    client.reset();
    CHECK(kindOf(sent.get()) == core::ErrorKind::ConnectionLost);
    CHECK(kindOf(queued.get()) == core::ErrorKind::Unavailable);
}

TEST_CASE("a large response passes whole through client and listener with bounded read-ahead")
{
    constexpr std::uint64_t total = 64ULL * 1024 * 1024;
    // Socket buffers of both sides plus one chunk on each; far below the body's size.
    constexpr std::uint64_t readAhead = 16ULL * 1024 * 1024;
    Workers workers;
    auto source = std::make_shared<PatternBody>(total, 64 * 1024);
    FunctionHandler handler([&](core::HttpRequest, const core::ResponseHandler &respond) {
        core::HttpResponse response;
        response.contentLength = total;
        response.body = source;
        respond(std::move(response));
        return nullptr;
    });
    auto server = core::attempt(
            [&] { return http::makeHttpServer(workers.context, anyLoopbackPort, handler); });
    REQUIRE(server);
    auto client = http::makeBackendClient(workers.context);
    const auto response = sendAndWait(*client, (*server)->localEndpoint(), get());
    REQUIRE(response);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    CHECK(source->produced < readAhead);
    std::uint64_t received = 0;
    bool intact = true;
    for (bool last = false; !last;) {
        const auto chunk = readChunk(*response->body);
        REQUIRE(chunk);
        for (const char byte : chunk->data)
            intact = intact && byte == PatternBody::byteAt(received++);
        last = chunk->last;
        intact = intact && source->produced - received < readAhead;
    }
    CHECK(intact);
    CHECK(received == total);
}

TEST_CASE("a second response to an earlier request is skipped, and its connection isn't kept")
{
    Workers workers;
    auto client = http::makeBackendClient(workers.context);
    RawServer server;
    Waiter waiter;
    core::HttpRequest request = get();
    request.headers = {{"Id", "two"}};
    request.echoed = core::Header{"Id", "two"};
    client->send(server.endpoint(), std::move(request), longWait, waiter.handler());
    RawSocket connection(server.acceptor);
    connection.readUntil("\r\n\r\n");
    connection.write("HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 3\r\n\r\nold"
                     "HTTP/1.1 200 OK\r\nId: two\r\nContent-Length: 3\r\n\r\nnew");
    auto outcome = waiter.get();
    REQUIRE(outcome);
    CHECK(core::findHeader(outcome->headers, "Id") == "two");
    CHECK(bodyOf(*outcome).value() == "new");
    connection.readUntil();
    CHECK(connection.sawEnd());
}

TEST_CASE("a success without the repeated field belongs to no request, a refusal without it does")
{
    Workers workers;
    auto client = http::makeBackendClient(workers.context);
    RawServer server;
    Waiter waiter;
    core::HttpRequest request = get();
    request.echoed = core::Header{"Id", "two"};
    client->send(server.endpoint(), std::move(request), longWait, waiter.handler());
    RawSocket connection(server.acceptor);
    connection.readUntil("\r\n\r\n");
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                     "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    auto outcome = waiter.get();
    REQUIRE(outcome);
    CHECK(outcome->status == 503);
}
