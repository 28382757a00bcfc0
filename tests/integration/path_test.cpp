// End-to-end request path through real processes, and malformed input on the callers' port.
#include "cluster.h"
#include "raw_socket.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::testing;
using namespace std::chrono_literals;

namespace {

// Checks that the stand-in's response echoes the method, target and id of the request.
void checkEcho(const Reply &reply, const Call &call)
{
    CAPTURE(reply.body);
    CAPTURE(reply.error);
    REQUIRE(reply.answered());
    const auto echo = boost::json::parse(reply.body);
    CHECK(echo.at("method").as_string() == call.method);
    CHECK(echo.at("target").as_string() == call.target);
    CHECK(echo.at("requestId").as_string() == reply.id);
}

std::string statusLine(const core::Endpoint &endpoint, const std::string &bytes)
{
    RawSocket socket(endpoint);
    socket.write(bytes);
    const std::string response = socket.readUntil("\r\n");
    return response.substr(0, response.find("\r\n"));
}

} // namespace

// Guards against components that work alone but fail when connected to each other, and against
// reports that omit requests which entered at another instance.
TEST_CASE("whole-path")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilServing());
    for (const std::string &instance : cluster.instanceNames()) {
        CAPTURE(instance);
        const Call read{.target = "/stockroom/shelf?row=4", .key = "brush-17"};
        checkEcho(cluster.call(instance, read), read);
        const Call payment{.method = "POST", .target = "/till/payments", .body = "amount=300"};
        checkEcho(cluster.call(instance, payment), payment);
    }
    for (const std::string &instance : cluster.instanceNames()) {
        CAPTURE(instance);
        const Reply report = cluster.get(cluster.operatorEndpoint(instance), "/report?format=json");
        CAPTURE(report.body);
        CHECK(report.status == 200);
        CHECK(report.body.find("stockroom") != std::string::npos);
        CHECK(report.body.find("till") != std::string::npos);
    }
    CHECK(cluster.breaches() == "");
}

// Guards against malformed or oversized requests that reach a backend server instead of being
// rejected, and against operator pages that are served on the callers' port.
TEST_CASE("bad-input")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilServing());
    const core::Endpoint callers = cluster.callerEndpoint("i1");
    CHECK(statusLine(callers, "GET  nonsense\r\n\r\n").find(" 400 ") != std::string::npos);
    const std::string longHeader(100'000, 'x');
    CHECK(statusLine(callers,
                     "GET /stockroom/a HTTP/1.1\r\nHost: a\r\nX-Long: " + longHeader + "\r\n\r\n")
                  .find(" 431 ")
          != std::string::npos);
    const Reply large = cluster.call(
            "i1", {.method = "POST", .key = "k", .body = std::string(2 * 1024 * 1024, 'x')});
    CAPTURE(large.error);
    CHECK(large.status == 413);
    for (const char *page : {"/state", "/report", "/explain", "/metrics", "/instances"}) {
        CAPTURE(page);
        CHECK(cluster.get(callers, page).status >= 400);
    }
    CHECK(cluster.call("i1", {.key = "k"}).answered());
}
