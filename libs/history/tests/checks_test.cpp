// Tests of the history checks. A check that misses a breach would let every fault test pass.
#include "amaranthdale/history/checks.h"
#include "amaranthdale/history/history_file.h"

#include "amaranthdale/core/outcome.h"
#include "amaranthdale/records/record_codec.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>

using namespace amaranthdale;
using namespace amaranthdale::history;
using namespace std::chrono_literals;

namespace {

const core::ServiceName service("till");
const core::ServerName serverA("a");
const core::ServerName serverB("b");

WallTime at(std::chrono::milliseconds time)
{
    return WallTime(1h + time);
}

GrantEvent grant(const core::ServerName &server, std::chrono::milliseconds from,
                 std::vector<SlotRange> slots)
{
    return GrantEvent{at(from), at(from + 300ms), server, service, {}, std::move(slots), {}};
}

RunEvent run(const core::ServerName &server, std::chrono::milliseconds time, const std::string &id)
{
    RunEvent event;
    event.at = at(time);
    event.server = server;
    event.service = service;
    event.requestId = core::RequestId(id);
    event.method = "POST";
    event.running = 1;
    event.limit = 1;
    return event;
}

CallEvent call(std::chrono::milliseconds time, const std::string &id, CallOutcome outcome)
{
    CallEvent event;
    event.at = at(time);
    event.until = at(time + 10ms);
    event.requestId = core::RequestId(id);
    event.service = service;
    event.method = "POST";
    event.outcome = outcome;
    return event;
}

std::vector<unsigned> brokenPromises(const std::vector<Event> &events)
{
    std::vector<unsigned> promises;
    for (const Breach &breach : checkHistory(events)) {
        CHECK_FALSE(breach.events.empty());
        promises.push_back(breach.promise);
    }
    return promises;
}

using Promises = std::vector<unsigned>;

} // namespace

TEST_CASE("two owners of one slot are detected, also across renewals")
{
    const std::vector<SlotRange> slots{{0, 3}};
    CHECK(brokenPromises({grant(serverA, 0ms, slots), grant(serverA, 100ms, slots),
                          grant(serverB, 350ms, {{3, 5}})})
          == Promises{1});
    // An empty grant acknowledges a revocation, after which the slot may move immediately.
    CHECK(brokenPromises({grant(serverA, 0ms, slots), grant(serverA, 100ms, {}),
                          grant(serverB, 101ms, slots)})
                  .empty());
    CHECK(brokenPromises({grant(serverA, 0ms, slots), grant(serverB, 301ms, slots)}).empty());
    // A restarted server owns no slots.
    CHECK(brokenPromises({grant(serverA, 0ms, slots), StartEvent{at(50ms), serverA, {}},
                          grant(serverB, 60ms, slots)})
                  .empty());
}

TEST_CASE("two owners of one hot key are detected")
{
    GrantEvent first = grant(serverA, 0ms, {});
    first.hotKeys = {"k"};
    GrantEvent second = grant(serverB, 10ms, {{0, 9}});
    CHECK(brokenPromises({first, second}).empty());
    second.hotKeys = {"k"};
    CHECK(brokenPromises({first, second}) == Promises{1});
}

TEST_CASE("a request that runs at a server while another owns its slot is detected")
{
    RunEvent start = run(serverB, 100ms, "r");
    start.slot = 2;
    CHECK(brokenPromises({grant(serverA, 0ms, {{2, 2}}), start}) == Promises{1});
    start.at = at(300ms);
    CHECK(brokenPromises({grant(serverA, 0ms, {{2, 2}}), start}).empty());
}

TEST_CASE("a second run is detected for a non-idempotent request and allowed for an idempotent one")
{
    std::vector<Event> events{run(serverA, 1ms, "r"), run(serverB, 2ms, "r")};
    CHECK(brokenPromises(events) == Promises{7});
    CallEvent caller = call(0ms, "r", CallOutcome::Unknown);
    caller.idempotent = true;
    events.emplace_back(caller);
    CHECK(brokenPromises(events).empty());
}

TEST_CASE("a request that ran though reported as not run is detected, a resent one is allowed")
{
    const Event refused = call(0ms, "r", CallOutcome::NotRun);
    CHECK(brokenPromises({refused, run(serverA, 5ms, "r")}) == Promises{6});
    const Event resend = call(100ms, "r", CallOutcome::Unknown);
    CHECK(brokenPromises({refused, resend, run(serverA, 105ms, "r")}).empty());
    CHECK(brokenPromises({refused, resend, run(serverA, 50ms, "r")}) == Promises{6});
}

TEST_CASE("wrong and truncated responses are detected")
{
    CallEvent answered = call(0ms, "r", CallOutcome::Answered);
    answered.response = ResponseCheck::Right;
    CHECK(brokenPromises({answered}).empty());
    answered.response = ResponseCheck::Wrong;
    CHECK(brokenPromises({answered}) == Promises{5});
    answered.response = ResponseCheck::Short;
    CHECK(brokenPromises({answered}) == Promises{5});
}

TEST_CASE("a request above the limit of a cold server is detected")
{
    RunEvent start = run(serverA, 0ms, "r");
    start.running = 2;
    CHECK(brokenPromises({start}) == Promises{3});
}

TEST_CASE("requests to drained, leaving and removed servers are detected after the grace period")
{
    decisions::BackendServer server;
    server.name = serverA;
    server.dataCentre = core::DataCentreName("gasabo");
    server.endpoint = {"127.0.0.1", 9000};
    decisions::ServiceDocument document;
    document.service = service;
    document.servers = {server};
    std::uint64_t offset = 0;
    const auto append = [&offset](std::chrono::milliseconds time, decisions::RecordBody body) {
        const decisions::LogRecord record{
                {{core::InstanceName("i"), {}}, offset}, core::LogOffset(offset), std::move(body)};
        ++offset;
        return AppendEvent{at(time), core::LogOffset(offset), records::encodeRecord(record)};
    };
    std::vector<Event> events{append(0ms, decisions::DocumentRecord{document})};
    SUBCASE("drained")
    {
        events.emplace_back(append(10s, decisions::DataCentreRecord{server.dataCentre, true}));
        events.emplace_back(append(20s, decisions::DataCentreRecord{server.dataCentre, false}));
        events.emplace_back(run(serverA, 12s, "in grace"));
        events.emplace_back(run(serverA, 21s, "returned"));
        CHECK(brokenPromises(events).empty());
        events.emplace_back(run(serverA, 14s, "late"));
        CHECK(brokenPromises(events) == Promises{4});
    }
    SUBCASE("leaving")
    {
        document.servers.front().leaving = true;
        events.emplace_back(append(10s, decisions::DocumentRecord{document}));
        events.emplace_back(run(serverA, 14s, "late"));
        CHECK(brokenPromises(events) == Promises{8});
    }
    SUBCASE("removed")
    {
        document.servers.clear();
        events.emplace_back(append(10s, decisions::DocumentRecord{document}));
        events.emplace_back(run(serverA, 14s, "late"));
        CHECK(brokenPromises(events) == Promises{8});
    }
}

TEST_CASE("events survive a round trip through a file; a truncated last line is ignored")
{
    const std::string path = "history_test.jsonl";
    std::remove(path.c_str());
    GrantEvent granted = grant(serverA, 0ms, {{0, 3}});
    granted.hotKeys = {"k"};
    RunEvent started = run(serverA, 1ms, "r");
    started.slot = 0;
    const std::vector<Event> events{StartEvent{at(0ms), serverA, core::Incarnation(3)}, granted,
                                    started, call(5ms, "r", CallOutcome::Answered),
                                    AppendEvent{at(6ms), core::LogOffset(1), "{\"x\":1}"}};
    {
        const auto sink = core::attempt([&path] { return openHistoryFile(path); });
        REQUIRE(sink);
        for (const Event &event : events)
            (*sink)->write(event);
    }
    std::ofstream(path, std::ios::app) << R"({"kind":"st)";
    const auto read = core::attempt([&path] { return readHistoryFile(path); });
    REQUIRE(read);
    CHECK(*read == events);
    std::ofstream(path, std::ios::app) << "\n";
    CHECK_FALSE(core::attempt([&path] { return readHistoryFile(path); }));
    std::remove(path.c_str());
}
