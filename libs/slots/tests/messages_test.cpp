// Encoding of slot messages.
#include "slot_messages.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>

using namespace amaranthdale;
using namespace amaranthdale::slots;
using std::chrono::milliseconds;

namespace {

// RapidCheck prints the seed of a failure; a fixed one gives the same verdict each time.
const int seedSet = ::setenv("RC_PARAMS", "seed=20261204 max_success=1000", 0);

} // namespace

TEST_CASE("a request survives its encoding")
{
    SlotRequest request;
    request.service = core::ServiceName("till");
    request.server = core::ServerName("i-1");
    request.pool = core::DataCentreName("east");
    request.mayWait = false;
    request.from = core::DataCentreName("west");
    request.route = "pay";
    request.kind = catalog::RequestKind::NonIdempotent;
    request.priority = 3;
    request.targetLatency = milliseconds(300);
    request.left = milliseconds(700);
    request.tried = {core::ServerName("i-2"), core::ServerName("i-3")};
    const auto decoded = decodeSlotMessage(encodeSlotMessage({77, request}));
    REQUIRE(decoded);
    CHECK(decoded->ticket == 77);
    const auto *back = std::get_if<SlotRequest>(&decoded->content);
    REQUIRE(back != nullptr);
    CHECK(back->service == request.service);
    CHECK(back->server == request.server);
    CHECK(back->pool == request.pool);
    CHECK(back->mayWait == request.mayWait);
    CHECK(back->from == request.from);
    CHECK(back->route == request.route);
    CHECK(back->kind == request.kind);
    CHECK(back->priority == request.priority);
    CHECK(back->targetLatency == request.targetLatency);
    CHECK(back->left == request.left);
    CHECK(back->tried == request.tried);
}

TEST_CASE("decisions and releases survive their encoding")
{
    SlotRelease release;
    release.result = balance::AttemptResult::Shed;
    release.elapsed = milliseconds(140);
    release.report = balance::LoadReport{4, 2, 6, 1.5};
    const auto released = decodeSlotMessage(encodeSlotMessage({1, release}));
    REQUIRE(released);
    const auto *back = std::get_if<SlotRelease>(&released->content);
    REQUIRE(back != nullptr);
    CHECK(back->result == release.result);
    CHECK(back->elapsed == release.elapsed);
    REQUIRE(back->report);
    CHECK(back->report->running == 4);
    CHECK(back->report->slowdown == doctest::Approx(1.5));
    const auto refused =
            decodeSlotMessage(encodeSlotMessage({2, SlotRefused{milliseconds(50), "full"}}));
    REQUIRE(refused);
    CHECK(std::get<SlotRefused>(refused->content).reason == "full");
    const auto granted =
            decodeSlotMessage(encodeSlotMessage({3, SlotGranted{core::ServerName("i")}}));
    REQUIRE(granted);
    CHECK(std::get<SlotGranted>(granted->content).server.value == "i");
}

TEST_CASE("cut and arbitrary bytes are no message and do no harm")
{
    const std::string whole = encodeSlotMessage({3, SlotGranted{core::ServerName("server")}});
    for (std::size_t size = 0; size < whole.size(); ++size)
        CHECK(!decodeSlotMessage(std::string_view(whole).substr(0, size)));
    CHECK(!decodeSlotMessage(whole + "x"));
    const bool safe = rc::check("arbitrary bytes",
                                [](const std::string &bytes) { decodeSlotMessage(bytes); });
    CHECK(safe);
}
