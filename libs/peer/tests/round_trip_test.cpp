// Complete request and response exchange between two peers over loopback sockets.
#include "test_support.h"

#include "amaranthdale/peer/transport.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::testing;

TEST_CASE("a request and its response arrive unchanged, and each response matches its request")
{
    Workers workers;
    FunctionHandler handler([](core::HttpRequest request, const core::ResponseHandler &respond) {
        auto response = core::makeResponse(201, request.method + request.target + request.body);
        response.headers.push_back(core::Header{
                "amd-copy",
                std::string(core::findHeader(request.headers, "amd-sent").value_or(""))});
        respond(std::move(response));
        return nullptr;
    });
    auto server = core::attempt(
            [&] { return peer::makePeerServer(workers.context, anyLoopbackPort, handler); });
    REQUIRE(server);
    auto client = peer::makePeerClient(workers.context);
    const core::Endpoint to = (*server)->localEndpoint();
    for (int round = 0; round < 3; ++round) {
        const auto response =
                sendAndWait(*client, to, {"POST", "/forward", {{"amd-sent", "7"}}, "amount=5"});
        REQUIRE(response);
        CHECK(response->status == 201);
        CHECK(core::findHeader(response->headers, "amd-copy") == "7");
        CHECK(*readBody(*response) == "POST/forwardamount=5");
    }
}
