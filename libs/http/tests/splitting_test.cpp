// Property test: parsing of requests does not depend on how they are split into reads.
#include "raw_socket.h"
#include "test_support.h"

#include "amaranthdale/http/server.h"

#include <doctest/doctest.h>

#include <random>

using namespace amaranthdale;
using namespace amaranthdale::testing;

TEST_CASE("server: pipelined requests split at random positions are parsed without losing data")
{
    constexpr std::uint32_t seed = 20261204;
    constexpr int rounds = 60;
    Workers workers;
    FunctionHandler handler([](core::HttpRequest request, const core::ResponseHandler &respond) {
        respond(core::makeResponse(200, request.target + "=" + request.body));
        return nullptr;
    });
    auto server = core::attempt(
            [&] { return http::makeHttpServer(workers.context, anyLoopbackPort, handler); });
    REQUIRE(server);
    const std::string bytes = "POST /one HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello"
                              "POST /two HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                              "Connection: close\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
    std::mt19937 random(seed);
    for (int round = 0; round < rounds; ++round) {
        RawSocket client((*server)->localEndpoint());
        for (std::size_t offset = 0; offset < bytes.size();) {
            const std::size_t size = 1 + random() % 40;
            REQUIRE(client.write(std::string_view(bytes).substr(offset, size)));
            offset += size;
        }
        const std::string responses = client.readUntil();
        CHECK(responses.find("/one=hello") != std::string::npos);
        CHECK(responses.find("/two=abcde") != std::string::npos);
    }
}
