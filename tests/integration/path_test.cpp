// The whole path of a request through real processes, and bad input on the callers' port.
#include "cluster.h"
#include "raw_socket.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::testing;
using namespace std::chrono_literals;

namespace {

// The stand-in's response names the request that it answers.
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

std::string statusLine(const core::Endpoint &to, const std::string &bytes)
{
    RawSocket socket(to);
    socket.write(bytes);
    const std::string text = socket.readUntil("\r\n");
    return text.substr(0, text.find("\r\n"));
}

} // namespace

// Guards against a part of the path that works alone and fails when it is connected to the others,
// and against reports that miss work which entered at another instance.
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
        const Reply report = cluster.get(cluster.operators(instance), "/report?format=json");
        CAPTURE(report.body);
        CHECK(report.status == 200);
        CHECK(report.body.find("stockroom") != std::string::npos);
        CHECK(report.body.find("till") != std::string::npos);
    }
    CHECK(cluster.breaches() == "");
}

// Guards against bad bytes that reach a backend server, and operator pages open to callers.
TEST_CASE("bad-input")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilServing());
    const core::Endpoint callers = cluster.callers("i1");
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
