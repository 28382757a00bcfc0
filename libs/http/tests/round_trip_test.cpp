// Tests of client and server together over loopback sockets.
#include "test_support.h"

#include "amaranthdale/http/backend_client.h"
#include "amaranthdale/http/server.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::testing;

TEST_CASE("round trip: requests and responses are unchanged, and callers get their own response")
{
    Workers workers;
    FunctionHandler handler([](core::HttpRequest request, const core::ResponseHandler &respond) {
        auto response = core::makeResponse(201, request.method + request.target + request.body);
        response.headers.push_back(core::Header{
                "X-Copy", std::string(core::findHeader(request.headers, "x-sent").value_or(""))});
        respond(std::move(response));
        return nullptr;
    });
    auto server = core::attempt(
            [&] { return http::makeHttpServer(workers.context, anyLoopbackPort, handler); });
    REQUIRE(server);
    auto client = http::makeBackendClient(workers.context);
    const core::Endpoint to = (*server)->localEndpoint();
    for (int round = 0; round < 3; ++round) {
        const auto response =
                sendAndWait(*client, to, {"POST", "/till/pay", {{"X-Sent", "7"}}, "amount=5"});
        REQUIRE(response);
        CHECK(response->status == 201);
        CHECK(core::findHeader(response->headers, "X-Copy") == "7");
        CHECK(*readBody(*response) == "POST/till/payamount=5");
    }
}
