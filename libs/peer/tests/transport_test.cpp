// Peer transport: streaming, flow control, error kinds, reconnection and shutdown.
#include "raw_socket.h"
#include "test_support.h"

#include "amaranthdale/peer/transport.h"

#include <doctest/doctest.h>

#include <thread>

using namespace amaranthdale;
using namespace amaranthdale::testing;

namespace {

using Respond = core::ResponseHandler;

core::HttpRequest forwardRequest(std::string body = {})
{
    return {"POST", "/forward", {}, std::move(body)};
}

core::ErrorKind errorKindOf(const core::Outcome<core::HttpResponse> &outcome)
{
    return outcome ? core::ErrorKind::Internal : outcome.error().kind;
}

std::shared_ptr<core::Exchange> echo(core::HttpRequest request, const Respond &respond)
{
    respond(core::makeResponse(200, request.body));
    return nullptr;
}

struct Fixture
{
    explicit Fixture(FunctionHandler::Function function = &echo, peer::SessionLimits limits = {})
        : handler(std::move(function)), client(peer::makePeerClient(this->workers.context, limits))
    {
        this->listen(anyLoopbackPort, limits);
    }

    void listen(const core::Endpoint &address, peer::SessionLimits limits = {})
    {
        auto result = core::attempt([&] {
            return peer::makePeerServer(this->workers.context, address, this->handler, limits);
        });
        REQUIRE(result);
        this->server = std::move(*result);
        this->to = this->server->localEndpoint();
    }

    Workers workers;
    FunctionHandler handler;
    std::unique_ptr<core::HttpSender> client;
    std::unique_ptr<core::HttpListener> server;
    core::Endpoint to;
};

// Sends without waiting.
std::future<core::Outcome<core::HttpResponse>> sendAsync(
        Fixture &fixture, core::HttpRequest request, core::Duration timeout = waitTimeout,
        std::shared_ptr<core::Exchange> *out = nullptr)
{
    auto promise = std::make_shared<std::promise<core::Outcome<core::HttpResponse>>>();
    auto exchange =
            fixture.client->send(fixture.to, std::move(request), timeout, [promise](auto outcome) {
                promise->set_value(std::move(outcome));
            });
    if (out)
        *out = exchange;
    return promise->get_future();
}

core::Outcome<core::HttpResponse> waitForResponse(
        std::future<core::Outcome<core::HttpResponse>> &future)
{
    if (future.wait_for(waitTimeout) != std::future_status::ready)
        return core::Error{core::ErrorKind::Internal, "no call of the response handler"};
    return future.get();
}

} // namespace

TEST_CASE("concurrent requests on one connection each get their own response")
{
    Fixture fixture;
    std::vector<std::future<core::Outcome<core::HttpResponse>>> futures;
    for (int i = 0; i < 2000; ++i)
        futures.push_back(sendAsync(fixture, forwardRequest("request " + std::to_string(i))));
    int mismatches = 0;
    for (int i = 0; i < 2000; ++i) {
        const auto response = waitForResponse(futures[static_cast<std::size_t>(i)]);
        REQUIRE(response);
        mismatches += *readBody(*response) != "request " + std::to_string(i) ? 1 : 0;
    }
    CHECK(mismatches == 0);
}

TEST_CASE("flow control bounds the read-ahead of a large response and does not block other streams")
{
    constexpr std::uint64_t total = 64ULL * 1024 * 1024;
    // More than the stream's window plus one chunk and one write batch of the sender.
    constexpr std::uint64_t readAhead = 1024 * 1024;
    auto source = std::make_shared<PatternBody>(total, 64 * 1024);
    Fixture fixture([&](core::HttpRequest request, const Respond &respond) {
        if (!request.body.empty())
            return echo(std::move(request), respond);
        core::HttpResponse response;
        response.contentLength = total;
        response.body = source;
        respond(std::move(response));
        return std::shared_ptr<core::Exchange>();
    });
    const auto response = sendAndWait(*fixture.client, fixture.to, forwardRequest());
    REQUIRE(response);
    CHECK(response->contentLength == total);
    for (int i = 0; i < 100; ++i)
        REQUIRE(sendAndWait(*fixture.client, fixture.to, forwardRequest("small")));
    CHECK(source->produced < readAhead);
    std::uint64_t received = 0;
    bool valid = true;
    for (bool last = false; !last;) {
        const auto chunk = readChunk(*response->body);
        REQUIRE(chunk);
        for (const char byte : chunk->data)
            valid = valid && byte == PatternBody::byteAt(received++);
        last = chunk->last;
        valid = valid && source->produced - received < readAhead;
    }
    CHECK(valid);
    CHECK(received == total);
}

TEST_CASE("a truncated response is an error, with or without content-length")
{
    Fixture fixture([](core::HttpRequest request, const Respond &respond) {
        core::HttpResponse response;
        if (request.body == "length")
            response.contentLength = 100;
        response.body = std::make_shared<FailingBody>("partial");
        respond(std::move(response));
        return nullptr;
    });
    for (const std::string body : {"length", "open"}) {
        const auto response = sendAndWait(*fixture.client, fixture.to, forwardRequest(body));
        if (response)
            CHECK_FALSE(readBody(*response));
        else
            CHECK(response.error().kind == core::ErrorKind::ConnectionLost);
    }
}

TEST_CASE("HEAD and 204 responses have no body, and a body of unknown length arrives completely")
{
    Fixture fixture([](core::HttpRequest request, const Respond &respond) {
        if (request.target == "/stream") {
            core::HttpResponse response;
            response.body = std::make_shared<PatternBody>(100'000, 999);
            respond(std::move(response));
        } else {
            respond(core::makeResponse(request.target == "/empty" ? 204 : 200, "12345"));
        }
        return nullptr;
    });
    const auto head = sendAndWait(*fixture.client, fixture.to, {"HEAD", "/x", {}, {}});
    REQUIRE(head);
    CHECK(head->contentLength == 5);
    CHECK(readBody(*head)->empty());
    const auto empty = sendAndWait(*fixture.client, fixture.to, {"GET", "/empty", {}, {}});
    REQUIRE(empty);
    CHECK(readBody(*empty)->empty());
    const auto stream = sendAndWait(*fixture.client, fixture.to, {"GET", "/stream", {}, {}});
    REQUIRE(stream);
    CHECK(readBody(*stream)->size() == 100'000);
}

TEST_CASE("Unavailable is given only when no byte was sent, and a refused connect isn't repeated")
{
    Fixture fixture;
    fixture.server.reset();
    CHECK(errorKindOf(sendAndWait(*fixture.client, fixture.to, forwardRequest()))
          == core::ErrorKind::Unavailable);
    CHECK(errorKindOf(sendAndWait(*fixture.client, fixture.to, forwardRequest()))
          == core::ErrorKind::Unavailable);
    CHECK(errorKindOf(sendAndWait(*fixture.client, {"no address", 1}, forwardRequest()))
          == core::ErrorKind::Unavailable);
}

TEST_CASE("losing a peer fails its streams with ConnectionLost; the client reconnects to it later")
{
    std::promise<void> arrived;
    Fixture fixture([&](core::HttpRequest request, const Respond &respond) {
        if (request.body != "hold")
            return echo(std::move(request), respond);
        arrived.set_value();
        return std::shared_ptr<core::Exchange>();
    });
    auto held = sendAsync(fixture, forwardRequest("hold"));
    arrived.get_future().wait();
    const core::Endpoint address = fixture.to;
    fixture.server.reset();
    CHECK(errorKindOf(waitForResponse(held)) == core::ErrorKind::ConnectionLost);
    fixture.listen(address);
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    CHECK(sendAndWait(*fixture.client, fixture.to, forwardRequest("again")));
}

TEST_CASE("a request without a response fails with Timeout and is cancelled at the peer")
{
    auto flag = std::make_shared<CancellationProbe>();
    Fixture fixture([&](core::HttpRequest, const Respond &) { return flag; });
    auto late = sendAsync(fixture, forwardRequest(), std::chrono::milliseconds(100));
    CHECK(errorKindOf(waitForResponse(late)) == core::ErrorKind::Timeout);
    CHECK(flag->wait());
}

TEST_CASE("cancel resets the stream, cancels the request at the peer and reports one error")
{
    auto flag = std::make_shared<CancellationProbe>();
    std::promise<void> arrived;
    Fixture fixture([&](core::HttpRequest, const Respond &) {
        arrived.set_value();
        return flag;
    });
    std::shared_ptr<core::Exchange> exchange;
    auto future = sendAsync(fixture, forwardRequest(), waitTimeout, &exchange);
    arrived.get_future().wait();
    exchange->cancel();
    exchange->cancel();
    CHECK(errorKindOf(waitForResponse(future)) == core::ErrorKind::ConnectionLost);
    CHECK(flag->wait());
}

TEST_CASE("the peer releases a response body that the client stops reading")
{
    auto source = std::make_shared<PatternBody>(std::uint64_t(1) << 40, 64 * 1024);
    const std::weak_ptr<PatternBody> observer = source;
    Fixture fixture([&](core::HttpRequest, const Respond &respond) {
        core::HttpResponse response;
        response.body = std::exchange(source, nullptr);
        respond(std::move(response));
        return nullptr;
    });
    {
        const auto response = sendAndWait(*fixture.client, fixture.to, forwardRequest());
        REQUIRE(response);
        REQUIRE(readChunk(*response->body));
    }
    const auto end = std::chrono::steady_clock::now() + waitTimeout;
    while (!observer.expired() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    CHECK(observer.expired());
}

TEST_CASE("a request body above the limit resets only its own stream")
{
    peer::SessionLimits limits;
    limits.maxRequestBodyBytes = 1000;
    Fixture fixture(&echo, limits);
    CHECK(errorKindOf(sendAndWait(*fixture.client, fixture.to,
                                  forwardRequest(std::string(200'000, 'x'))))
          == core::ErrorKind::Protocol);
    CHECK(sendAndWait(*fixture.client, fixture.to, forwardRequest("small")));
}

TEST_CASE("malformed frames close their session and are counted; other sessions are unaffected")
{
    Fixture fixture;
    REQUIRE(sendAndWait(*fixture.client, fixture.to, forwardRequest("before")));
    const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    // In order: no connection preface; a frame above the maximum size; DATA on stream 0; a HEADERS
    // frame with invalid HPACK.
    const std::vector<std::string> attacks{
            "GET / HTTP/1.1\r\n\r\n",
            preface + std::string("\0\0\0\x04\0\0\0\0\0\xff\xff\xff\0\0\0\0\0\x01", 18),
            preface + std::string("\0\0\0\x04\0\0\0\0\0\0\0\x01\0\0\0\0\0\0x", 19),
            preface + std::string("\0\0\0\x04\0\0\0\0\0\0\0\x02\x01\x05\0\0\0\x01\xff\xff", 20)};
    for (const std::string &bytes : attacks) {
        const auto before = peer::sessionCounters().protocolErrors;
        RawSocket attacker(fixture.to);
        attacker.write(bytes);
        attacker.readUntil();
        CHECK(attacker.isClosed());
        CHECK(peer::sessionCounters().protocolErrors == before + 1);
    }
    CHECK(sendAndWait(*fixture.client, fixture.to, forwardRequest("after")));
}

TEST_CASE("a server that does not speak HTTP/2 causes an error, not a hang")
{
    Workers workers;
    auto client = peer::makePeerClient(workers.context);
    RawServer server;
    std::promise<core::Outcome<core::HttpResponse>> promise;
    auto future = promise.get_future();
    client->send(server.endpoint(), forwardRequest(), waitTimeout,
                 [&](auto outcome) { promise.set_value(std::move(outcome)); });
    RawSocket connection(server.acceptor);
    connection.write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
    CHECK(errorKindOf(waitForResponse(future)) == core::ErrorKind::ConnectionLost);
}

TEST_CASE("drain completes requests in progress and refuses new ones with Unavailable")
{
    std::promise<Respond> pending;
    Fixture fixture([&](core::HttpRequest, const Respond &respond) {
        pending.set_value(respond);
        return nullptr;
    });
    auto held = sendAsync(fixture, forwardRequest());
    const Respond respond = pending.get_future().get();
    std::promise<void> drained;
    auto whenDrained = drained.get_future();
    fixture.server->drain([&] { drained.set_value(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK(errorKindOf(sendAndWait(*fixture.client, fixture.to, forwardRequest()))
          == core::ErrorKind::Unavailable);
    CHECK(whenDrained.wait_for(std::chrono::milliseconds(20)) == std::future_status::timeout);
    respond(core::makeResponse(200, "done"));
    const auto response = waitForResponse(held);
    REQUIRE(response);
    CHECK(*readBody(*response) == "done");
    CHECK(whenDrained.wait_for(waitTimeout) == std::future_status::ready);
}

TEST_CASE("destroying the client fails pending requests, so that every handler is called")
{
    std::promise<void> arrived;
    Fixture fixture([&](core::HttpRequest, const Respond &) {
        arrived.set_value();
        return nullptr;
    });
    auto held = sendAsync(fixture, forwardRequest());
    arrived.get_future().wait();
    fixture.client.reset();
    CHECK(errorKindOf(waitForResponse(held)) == core::ErrorKind::ConnectionLost);
}
