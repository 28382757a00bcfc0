// Validation of service documents and durations. An invalid document that passes validation takes
// effect on all instances.
#include "amaranthdale/records/duration.h"
#include "amaranthdale/records/service_document_codec.h"

#include "amaranthdale/core/outcome.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace amaranthdale;
using namespace amaranthdale::records;
using namespace std::chrono_literals;

namespace {

std::string serverText(const std::string &name, int port, const std::string &more = "")
{
    return R"({"name":")" + name + R"(","dataCentre":"gasabo","endpoint":"127.0.0.1:)"
            + std::to_string(port) + R"(","requestSlots":4,"coldSlots":1,"checksFence":true)" + more
            + "}";
}

std::string documentText(const std::string &fields, const std::string &servers)
{
    return R"({"service":"till",)" + fields + R"("servers":[)" + servers + "]}";
}

// Paths of all faults of a document, sorted.
std::vector<std::string> pathsOf(const std::string &text)
{
    std::vector<std::string> paths;
    const auto parsed = parseServiceDocument(text);
    if (!parsed) {
        for (const Fault &fault : parsed.faults()) {
            CHECK_MESSAGE(fault.message.find(';') != std::string::npos, fault.message);
            paths.push_back(fault.path);
        }
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

using Paths = std::vector<std::string>;

} // namespace

TEST_CASE("a minimal document is valid and gets the documented defaults")
{
    const auto parsed = parseServiceDocument(documentText("", serverText("t1", 1)));
    REQUIRE(parsed);
    CHECK(parsed->hashSlots == 1024);
    CHECK(parsed->servers.front().maxConnections == 100);
    CHECK_FALSE(parsed->keyed());
}

TEST_CASE("each kind of fault is reported with its path")
{
    const std::string good = serverText("t1", 1);
    CHECK(pathsOf("{") == Paths{""});
    CHECK(pathsOf("[]") == Paths{""});
    CHECK(pathsOf(documentText(R"("hashSlot":1,)", good)) == Paths{"hashSlot"});
    CHECK(pathsOf(R"({"service":"till"})") == Paths{"servers"});
    CHECK(pathsOf(documentText(R"("hashSlots":"many",)", good)) == Paths{"hashSlots"});
    CHECK(pathsOf(documentText(R"("hashSlots":1.5,)", good)) == Paths{"hashSlots"});
    CHECK(pathsOf(documentText(R"("hashSlots":-1,)", good)) == Paths{"hashSlots"});
    CHECK(pathsOf(documentText(R"("hashSlots":0,)", good)) == Paths{"hashSlots"});
    CHECK(pathsOf(documentText(R"("requestTimeout":2000,)", good)) == Paths{"requestTimeout"});
    CHECK(pathsOf(documentText(R"("requestTimeout":"1h",)", good)) == Paths{"requestTimeout"});
    CHECK(pathsOf(documentText(R"("objective":{"availability":1},)", good))
          == Paths{"objective.availability"});
    CHECK(pathsOf(documentText(R"("key":{"header":"X-Key","pathSegment":0},)", good))
          == Paths{"key.pathSegment"});
    CHECK(pathsOf(documentText(R"("key":{"header":"X Key"},)", good)) == Paths{"key.header"});
    CHECK(pathsOf(documentText(R"("idempotentMethods":["GET","GET",7],)", good))
          == Paths{"idempotentMethods[1]", "idempotentMethods[2]"});
}

TEST_CASE("duplicates are reported, since otherwise the last value would silently win")
{
    CHECK(pathsOf(documentText(R"("hashSlots":1,"hashSlots":2,)", serverText("t1", 1)))
          == Paths{"hashSlots"});
    CHECK(pathsOf(documentText("",
                               serverText("t1", 1) + ","
                                       + serverText("t2", 2, R"(,"leaving":true,"leaving":false)")))
          == Paths{"servers[1].leaving"});
    CHECK(pathsOf(documentText("", serverText("t1", 1) + "," + serverText("t1", 1)))
          == Paths{"servers[1].endpoint", "servers[1].name"});
    CHECK(pathsOf(documentText(R"("brands":[{"name":"a"},{"name":"a"}],)", ""))
          == Paths{"brands[1].name"});
}

TEST_CASE("all faults are reported at once, so that one round of corrections is enough")
{
    const std::string bad =
            R"({"name":"","dataCentre":"gasabo","endpoint":"till.example:80","requestSlots":2,)"
            R"("coldSlots":3,"checksFence":1,"weight":2})";
    CHECK(pathsOf(documentText(R"("extra":1,"hashSlots":0,)", serverText("t1", 1) + "," + bad))
          == Paths{"extra", "hashSlots", "servers[1].checksFence", "servers[1].coldSlots",
                   "servers[1].endpoint", "servers[1].name", "servers[1].weight"});
}

TEST_CASE("durations are parsed strictly, since a guessed unit could be wrong by a factor of 1000")
{
    const auto read = [](std::string_view text) {
        return core::attempt([text] { return parseDuration(text); });
    };
    CHECK(*read("250ms") == 250ms);
    CHECK(*read("10min") == 10min);
    CHECK(*read("0s") == 0s);
    for (const char *text : {"", "5", "ms", "-5s", "+5s", " 5s", "5 s", "5s ", "1.5s", "05s", "5S",
                             "5m", "9223372036854775808ns", "3000000h"}) {
        CAPTURE(text);
        CHECK_FALSE(read(text));
    }
    CHECK(formatDuration(0s) == "0s");
    CHECK(formatDuration(90s) == "90s");
    CHECK(formatDuration(120s) == "2min");
    CHECK(formatDuration(core::Duration::max()) == "9223372036854775807ns");
    for (const core::Duration value : {core::Duration::max(), core::Duration(1500us)})
        CHECK(*read(formatDuration(value)) == value);
}
