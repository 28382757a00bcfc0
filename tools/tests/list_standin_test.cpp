// Tests of the instance list stand-in.
#include "instance_list_standin/list_handler.h"
#include "recorder.h"

using namespace amaranthdale;
using namespace amaranthdale::tools;
using namespace std::chrono_literals;

namespace {

const std::string instanceJson = R"({"id":"i1","incarnation":7,"dataCentre":"g",)"
                                 R"("peerAddress":"127.0.0.1:7100","state":"live"})";

struct ListFixture : Recorder
{
    std::string list() { return this->send(this->handler, {"GET", "/instances", {}, {}}).body(); }

    testing::Reply put(const std::string &target, const std::string &body)
    {
        return this->send(this->handler, {"PUT", target, {}, body});
    }

    ListHandler handler{this->clock, 2s};
};

} // namespace

TEST_CASE_FIXTURE(ListFixture, "readers see added and removed entries only after the lag")
{
    CHECK(put("/instances/i1", instanceJson).status() == 200);
    clock.advance(1s);
    send(handler, {"DELETE", "/instances/i1", {}, {}});
    CHECK(list() == R"({"instances":[]})");
    clock.advance(1s);
    CHECK(list() == R"({"instances":[)" + instanceJson + "]}");
    clock.advance(1s);
    CHECK(list() == R"({"instances":[]})");
}

TEST_CASE_FIXTURE(ListFixture, "lag and unavailability can be set at run time")
{
    put("/instances/i1", instanceJson);
    CHECK(put("/control", R"({"lag":"0s"})").body() == R"({"lag":"0s","down":false})");
    CHECK(list() == R"({"instances":[)" + instanceJson + "]}");
    put("/control", R"({"down":true})");
    CHECK(send(handler, {"GET", "/instances", {}, {}}).status() == 503);
}

TEST_CASE_FIXTURE(ListFixture, "an entry under another name or without a field is refused")
{
    CHECK(put("/instances/i2", instanceJson).status() == 400);
    CHECK(put("/instances/i1", R"({"id":"i1"})").status() == 400);
}
