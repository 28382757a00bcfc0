// Tests of settings validation. An invalid value must prevent the start rather than cause a fault
// later.
#include "amaranthdale/daemon/settings.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace amaranthdale;
using namespace amaranthdale::daemon;
using namespace std::chrono_literals;

namespace {

// Complete settings, with `extra` appended to the members of the object.
std::string settingsWith(const std::string &extra)
{
    return R"({"instance": "i1", "dataCentre": "gasabo",
        "listen": {"callers": "0.0.0.0:8080", "peers": "10.0.0.1:8081",
                   "operators": "127.0.0.1:8082"},
        "logService": {"endpoint": "10.0.0.9:7000"},
        "instanceList": "10.0.0.9:7001")"
            + extra + "}";
}

bool hasFault(const records::ValidationResult<Settings> &settings, const std::string &path)
{
    REQUIRE_FALSE(settings);
    const records::Faults &faults = settings.faults();
    return std::any_of(faults.begin(), faults.end(),
                       [&path](const records::Fault &fault) { return fault.path == path; });
}

} // namespace

TEST_CASE("the defaults are those of section 3.2 of the design page")
{
    const auto settings = parseSettings(settingsWith(""));
    REQUIRE(settings);
    CHECK(settings->timings == Timings{300ms, 100ms, 100ms, 300ms, 200ms, 20ms, 30s});
    CHECK(settings->peerListen == core::Endpoint{"10.0.0.1", 8081});
    CHECK(settings->logStream == "amaranthdale");
    CHECK(settings->workers == 4);
}

TEST_CASE("explicit values override the defaults")
{
    const auto settings = parseSettings(
            settingsWith(R"(, "workers": 2, "logLevel": "debug", "timings": {"lease": "250ms"})"));
    REQUIRE(settings);
    CHECK(settings->workers == 2);
    CHECK(settings->logLevel == log::Severity::Debug);
    CHECK(settings->timings.lease == 250ms);
}

TEST_CASE("all faults in the settings are reported at once, so that one correction is enough")
{
    const auto settings = parseSettings(
            R"({"instance": "operator:eva", "listen": {"callers": "10.0.0.1:80",
                "peers": "0.0.0.0:81", "operators": "10.0.0.1:80"}, "workers": 0,
                "logService": {}, "instanceList": "list:7001", "logLevel": "loud", "speed": 1,
                "timings": {"lease": "300"}})");
    for (const char *path :
         {"instance", "dataCentre", "listen.peers", "listen.operators", "workers",
          "logService.endpoint", "instanceList", "logLevel", "speed", "timings.lease"}) {
        CAPTURE(path);
        CHECK(hasFault(settings, path));
    }
}

TEST_CASE("timings that don't tolerate one lost message are rejected")
{
    CHECK(hasFault(parseSettings(settingsWith(R"(, "timings": {"renewal": "151ms"})")),
                   "timings.renewal"));
    CHECK(hasFault(parseSettings(settingsWith(R"(, "timings": {"heartbeat": "151ms"})")),
                   "timings.heartbeat"));
    CHECK(parseSettings(settingsWith(R"(, "timings": {"renewal": "150ms"})")));
}

TEST_CASE("timings that miss the 1 s recovery target are rejected")
{
    CHECK(hasFault(parseSettings(settingsWith(R"(, "timings": {"lease": "381ms"})")),
                   "timings.lease"));
    CHECK(parseSettings(settingsWith(R"(, "timings": {"lease": "380ms"})")));
}
