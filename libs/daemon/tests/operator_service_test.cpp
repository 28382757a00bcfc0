// Tests of OperatorService. A wrong readiness response sends callers to an instance that can't
// serve them.
#include "daemon_fixtures.h"
#include "operator_service.h"

#include "amaranthdale/clock/manual_clock.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::daemon;

TEST_CASE("an instance is ready only when it has its state and its data centre is not drained")
{
    clock::ManualClock clock;
    test::FakeSender peers;
    report::Recorder recorder{{}};
    const core::DataCentreName here("gasabo");
    Tables tables{decisions::OwnershipSettings{}, nullptr, nullptr, clock.now()};
    bool ready = false;
    OperatorService service({tables, clock, recorder, peers, {}, here, [&] { return ready; }});
    const auto statusOf = [&](const std::string &target) {
        unsigned status = 0;
        service.handle({"GET", target, {}, ""},
                       [&](const auto &response) { status = response->status; });
        return status;
    };
    CHECK(statusOf("/readyz") == 503);
    ready = true;
    CHECK(statusOf("/readyz") == 200);
    CHECK(statusOf("/explain?service=till&key=ines") == 404);
    auto drained = std::make_shared<decisions::ClusterState>();
    drained->apply(core::LogOffset(1), {{}, {}, decisions::DataCentreRecord{here, true}});
    tables.configuration.with([&](StatePointer &state) { state = drained; });
    CHECK(statusOf("/readyz") == 503);
    CHECK(statusOf("/healthz") == 200);
}
