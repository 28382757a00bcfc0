// Tests of the backend server stand-in, which checks fences, limits and runs in fault tests.
#include "backend_standin/backend_handler.h"
#include "backend_standin/blob_body.h"
#include "recorder.h"

#include <boost/json/parse.hpp>

using namespace amaranthdale;
using namespace amaranthdale::tools;
using namespace std::chrono_literals;

namespace {

BackendSettings settings()
{
    BackendSettings result;
    result.name = core::ServerName("s1");
    result.service = core::ServiceName("till");
    result.jitter = 0;
    return result;
}

struct BackendFixture : Recorder
{
    explicit BackendFixture(BackendSettings backend = settings())
        : handler(std::move(backend), this->clock, this->sink, [this] { ++this->crashes; })
    { }

    boost::json::value load()
    {
        return boost::json::parse(this->send(this->handler, {"GET", "/-/load", {}, {}}).body());
    }

    testing::Reply grant(std::uint64_t epoch, std::uint64_t sequence, const std::string &slots,
                         std::chrono::milliseconds lease = 300ms)
    {
        const auto report = this->load();
        const auto expiry = report.at("nowMs").to_number<std::uint64_t>() + lease.count();
        return this->send(
                this->handler,
                {"PUT",
                 "/-/grant",
                 {},
                 R"({"service":"till","incarnation":)"
                         + std::to_string(report.at("incarnation").to_number<std::uint64_t>())
                         + R"(,"epoch":)" + std::to_string(epoch) + R"(,"sequence":)"
                         + std::to_string(sequence) + R"(,"expiresAtMs":)" + std::to_string(expiry)
                         + R"(,"slots":)" + slots + R"(,"hotKeys":["gold"]})"});
    }

    testing::Reply run(const std::string &id, const std::string &body = "",
                       core::Headers more = {{"X-Fence", "5.1"}, {"X-Slot", "3"}})
    {
        more.push_back({"X-Request-Id", id});
        return this->send(this->handler, {"POST", "/till/pay", std::move(more), body});
    }

    testing::Reply control(const std::string &body)
    {
        return this->send(this->handler, {"PUT", "/control", {}, body});
    }

    void warmUp()
    {
        this->clock.advance(5s);
        this->grant(5, 1, "[[0,9]]", 60s);
    }

    std::vector<history::RunEvent> runs() const
    {
        std::vector<history::RunEvent> result;
        for (const history::Event &event : this->sink.events) {
            if (const auto *run = std::get_if<history::RunEvent>(&event))
                result.push_back(*run);
        }
        return result;
    }

    int crashes = 0;
    BackendHandler handler;
};

struct UnfencedFixture : BackendFixture
{
    static BackendSettings unfenced()
    {
        BackendSettings result = settings();
        result.checksFence = false;
        return result;
    }

    UnfencedFixture() : BackendFixture(unfenced()) { }
};

void checkNotRun(const testing::Reply &reply, unsigned status)
{
    CHECK(reply.status() == status);
    CHECK(reply.header("X-Not-Run") == "true");
}

} // namespace

TEST_CASE_FIXTURE(BackendFixture, "a request covered by the grant runs once and is echoed")
{
    CHECK(grant(5, 1, "[[0,9]]").status() == 200);
    const auto reply = run("r1", "payment");
    clock.advance(4ms);
    CHECK_FALSE(reply.done());
    clock.advance(1ms);
    CHECK(reply.status() == 200);
    CHECK(reply.header("X-Request-Id") == "r1");
    CHECK(reply.body().find(reply.header("X-Body-Hash")) != std::string::npos);
    REQUIRE(runs().size() == 1);
    CHECK(runs()[0].slot == core::SlotIndex(3));
    CHECK(runs()[0].fence.epoch.value == 5);
    CHECK(std::holds_alternative<history::StartEvent>(sink.events[0]));
    CHECK(std::get<history::GrantEvent>(sink.events[1]).slots[0].last == 9);
}

TEST_CASE_FIXTURE(BackendFixture,
                  "a request outside the fence, lease, slots or hot keys is not run")
{
    checkNotRun(run("no grant"), 409);
    grant(5, 1, "[[0,2],[4,9]]");
    checkNotRun(run("slot not held"), 409);
    checkNotRun(run("old epoch", "", {{"X-Fence", "4.9"}, {"X-Slot", "4"}}), 409);
    checkNotRun(run("no fence", "", {{"X-Slot", "4"}}), 409);
    checkNotRun(run("cold key", "", {{"X-Fence", "5.1"}, {"X-Hot-Key", "silver"}}), 409);
    CHECK_FALSE(run("hot key", "", {{"X-Fence", "5.1"}, {"X-Hot-Key", "gold"}}).done());
    clock.advance(300ms);
    checkNotRun(run("lease expired", "", {{"X-Fence", "5.1"}, {"X-Slot", "4"}}), 409);
    CHECK(runs().size() == 1);
}

TEST_CASE_FIXTURE(BackendFixture,
                  "a grant with an older fence or for another incarnation is refused")
{
    CHECK(grant(5, 2, "[]").status() == 200);
    CHECK(grant(5, 1, "[[0,9]]").status() == 409);
    CHECK(grant(4, 9, "[[0,9]]").status() == 409);
    CHECK(grant(6, 1, "[]").status() == 200);
    control(R"({"restart":true})");
    CHECK(load().at("epoch").to_number<std::uint64_t>() == 0);
    const auto stale = send(handler,
                            {"PUT",
                             "/-/grant",
                             {},
                             R"({"service":"till","incarnation":1,"epoch":9,"sequence":1,)"
                             R"("expiresAtMs":9,"slots":[],"hotKeys":[]})"});
    CHECK(stale.status() == 409);
}

TEST_CASE_FIXTURE(UnfencedFixture, "a server without fence checks runs requests without a fence")
{
    CHECK_FALSE(run("r1", "", {}).done());
    CHECK(runs().size() == 1);
}

TEST_CASE_FIXTURE(BackendFixture, "an overload while cold slows the server down until it recovers")
{
    grant(5, 1, "[[0,9]]", 60s);
    const auto first = run("r1");
    const auto second = run("r2");
    CHECK(runs()[1].running == 2);
    CHECK(runs()[1].limit == 1);
    clock.advance(5ms);
    CHECK(first.done());
    clock.advance(94ms);
    CHECK_FALSE(second.done());
    clock.advance(1ms);
    CHECK(second.done());
    clock.advance(2s);
    const auto third = run("r3");
    clock.advance(5ms);
    CHECK(third.done());
}

TEST_CASE_FIXTURE(BackendFixture, "a warm server fills its request slots, then sheds")
{
    warmUp();
    for (const char *id : {"r1", "r2", "r3", "r4"})
        CHECK_FALSE(run(id).done());
    checkNotRun(run("r5"), 503);
    CHECK(runs().back().limit == 4);
    control(R"({"turnCold":true})");
    clock.advance(5ms);
    run("r6");
    CHECK(runs().back().limit == 1);
}

TEST_CASE_FIXTURE(BackendFixture,
                  "faults: slow, shed, drain, expired deadline, crash, lagging load")
{
    warmUp();
    control(R"({"slowFactor":10,"loadLag":"1s"})");
    const auto slow = run("r1");
    clock.advance(49ms);
    CHECK_FALSE(slow.done());
    CHECK(load().at("inFlight").to_number<int>() == 1);
    CHECK(load().at("load").to_number<double>() == 0);
    clock.advance(1ms);
    CHECK(slow.done());
    clock.advance(960ms);
    CHECK(load().at("load").to_number<double>() == 0.25);

    const auto late = run("r2", "", {{"X-Fence", "5.1"}, {"X-Slot", "3"}, {"X-Deadline-Ms", "10"}});
    clock.advance(10ms);
    CHECK(late.status() == 504);
    checkNotRun(run("r3", "", {{"X-Fence", "5.1"}, {"X-Deadline-Ms", "0"}}), 503);
    control(R"({"shed":true})");
    checkNotRun(run("r4"), 503);
    control(R"({"shed":false,"crashBody":"poison"})");
    run("r5", "a poison b");
    CHECK(crashes == 1);
    send(handler, {"POST", "/-/drain", {}, {}});
    checkNotRun(run("r6"), 503);
    CHECK(send(handler, {"GET", "/-/health", {}, {}}).body() == R"({"state":"draining"})");
}

TEST_CASE_FIXTURE(BackendFixture, "cancellation states whether the request was still running")
{
    warmUp();
    const auto cancel = [this](const std::string &id) {
        return send(handler, {"DELETE", "/-/requests/" + id, {}, {}}).body();
    };
    const auto reply = run("r1");
    CHECK(cancel("r1") == R"({"state":"cancelled"})");
    CHECK(reply.status() == 503);
    CHECK(reply.header("X-Not-Run").empty());
    CHECK(cancel("r1") == R"({"state":"finished"})");
    CHECK(cancel("r9") == R"({"state":"unknown"})");
}

TEST_CASE_FIXTURE(BackendFixture, "a restart loses the grant, the warm-up and running requests")
{
    warmUp();
    const auto lost = run("r1");
    control(R"({"restart":true})");
    CHECK_FALSE(lost.bodyArrived());
    checkNotRun(run("r2"), 409);
    clock.advance(1s);
    CHECK(send(handler, {"GET", "/-/health", {}, {}}).body() == R"({"state":"cold"})");
}

TEST_CASE_FIXTURE(BackendFixture, "blobs have the requested length and pattern, or are truncated")
{
    warmUp();
    const auto get = [this] {
        auto reply = send(handler, {"GET", "/ledgers/blob/200000", {{"X-Fence", "5.1"}}, {}});
        clock.advance(5ms);
        return reply;
    };
    const std::string body = get().body();
    REQUIRE(body.size() == 200'000);
    CHECK(body[70'000] == blobByte(70'000));
    control(R"({"cutBodyAfter":100000})");
    CHECK_FALSE(get().bodyArrived());
}
