// Request processing: retries, refusals, and what responses say about the outcome.
#include "amaranthdale/clock/manual_clock.h"
#include "amaranthdale/gateway/gateway.h"
#include "amaranthdale/log/capturing_log.h"

#include <doctest/doctest.h>

#include <deque>

using namespace amaranthdale;
using namespace amaranthdale::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Reads the key from the header `Key`; responses are marked as not run by the header `Not-Run`.
class TestFormat : public WireFormat
{
public:
    core::Outcome<CallerRequest> decodeRequest(core::HttpRequest message) const override
    {
        CallerRequest request;
        request.host = "shop.example";
        request.path = message.target;
        request.timeout = milliseconds(800);
        if (const auto key = core::findHeader(message.headers, "Key"))
            request.key = static_cast<keyspace::Key>(std::stoul(std::string(*key)));
        request.message = std::move(message);
        return request;
    }

    core::HttpRequest encodeForServer(const CallerRequest &request, const core::ServerName &server,
                                      core::Duration) const override
    {
        core::HttpRequest message = request.message;
        core::setHeader(message.headers, "Server", server.value);
        return message;
    }

    ServerResponse classifyResponse(const core::HttpResponse &response) const override
    {
        ServerResponse parsed;
        const bool notRun = core::findHeader(response.headers, "Not-Run").has_value();
        if (response.status == 421)
            parsed.responseClass = ResponseClass::NotOwner;
        else if (notRun)
            parsed.responseClass = ResponseClass::Shed;
        else
            parsed.responseClass =
                    response.status < 300 ? ResponseClass::Answered : ResponseClass::Failed;
        return parsed;
    }
};

// Queues requests until the test answers them.
class ScriptedSender : public core::HttpSender
{
public:
    struct Sent
    {
        core::HttpRequest request;
        core::ResponseHandler handler;
        std::shared_ptr<bool> cancelled = std::make_shared<bool>(false);

        std::string server() const
        {
            return std::string(core::findHeader(this->request.headers, "Server").value_or(""));
        }
    };

    struct Pending : public core::Exchange
    {
        explicit Pending(std::shared_ptr<bool> flag) : cancelled(std::move(flag)) { }
        void cancel() override { *this->cancelled = true; }
        std::shared_ptr<bool> cancelled;
    };

    std::shared_ptr<core::Exchange> send(const core::Endpoint &, core::HttpRequest request,
                                         core::Duration, core::ResponseHandler handler) override
    {
        this->sent.push_back({std::move(request), std::move(handler)});
        return std::make_shared<Pending>(this->sent.back().cancelled);
    }

    void answer(unsigned status, const std::string &header = {})
    {
        core::HttpResponse response = core::makeResponse(status, "body");
        if (!header.empty())
            response.headers.push_back({header, "1"});
        this->next().handler(std::move(response));
    }

    void fail(core::ErrorKind kind) { this->next().handler(core::Error{kind, "broken"}); }

    Sent next()
    {
        REQUIRE(!this->sent.empty());
        Sent first = std::move(this->sent.front());
        this->sent.pop_front();
        return first;
    }

    std::deque<Sent> sent;
};

struct Fixture
{
    Fixture()
    {
        GatewayLimits limits;
        limits.dataCentre = core::DataCentreName("east");
        limits.retries = {.ratio = 0.5, .reserve = 10};
        this->gateway = std::make_unique<Gateway>(this->clock, this->sender, this->format,
                                                  this->events, limits);
        this->gateway->setInstanceCount(1);
        this->gateway->setCatalogue(makeCatalogue(1));
        this->gateway->changeDirectory([](catalog::Directory &servers) {
            for (const char *name : {"a", "b"}) {
                catalog::BackendServer server;
                server.name = core::ServerName(name);
                server.service = core::ServiceName("stock");
                server.slots = 4;
                server.incarnation = 1;
                servers.announce(server);
            }
        });
    }

    static catalog::Catalogue makeCatalogue(std::uint64_t version)
    {
        catalog::Catalogue catalogue;
        catalogue.version = version;
        catalog::Service service;
        service.name = core::ServiceName("stock");
        service.maxConnections = 100;
        service.keyed = true;
        catalogue.services.push_back(service);
        for (const auto kind :
             {catalog::RequestKind::Idempotent, catalog::RequestKind::NonIdempotent}) {
            catalog::Route route;
            route.name = kind == catalog::RequestKind::Idempotent ? "read" : "pay";
            route.host = "shop.example";
            route.pathPrefix = "/" + route.name + "/";
            route.kind = kind;
            route.timeout = milliseconds(800);
            route.targetLatency = milliseconds(300);
            route.attempts = 2;
            route.shares = {{core::ServiceName("stock"), 1}};
            catalogue.routes.push_back(route);
        }
        return catalogue;
    }

    std::shared_ptr<core::Exchange> send(const std::string &target, const std::string &key = {})
    {
        core::HttpRequest request{"GET", target, {}, {}};
        if (!key.empty())
            request.headers.push_back({"Key", key});
        return this->gateway->handle(std::move(request), [this](auto outcome) {
            REQUIRE(!this->response);
            this->response = std::move(outcome.value());
        });
    }

    unsigned status() const { return this->response ? this->response->status : 0; }

    void assign(const char *owner)
    {
        keyspace::Assignment assignment;
        assignment.ownedRanges = {
                {{0, keyspace::keyCount - 1}, {core::ServerName(owner), 1}, 1, {}}};
        this->gateway->setAssignment(core::ServiceName("stock"), assignment);
    }

    clock::ManualClock clock;
    ScriptedSender sender;
    TestFormat format;
    log::CapturingLog events;
    std::unique_ptr<Gateway> gateway;
    std::optional<core::HttpResponse> response;
};

} // namespace

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
