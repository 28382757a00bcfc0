// Tests of the load tool: it must detect wrong responses and include late ones.
#include "common/replies.h"
#include "load_tool/load_run.h"
#include "load_tool/response_check.h"
#include "recorder.h"

#include <map>

using namespace amaranthdale;
using namespace amaranthdale::tools;
using namespace std::chrono_literals;

namespace {

// Answers each request after 1 ms, like an instance with a correct backend server.
class FakeInstances : public core::HttpSender
{
public:
    explicit FakeInstances(clock::Clock &timeSource) : clock(timeSource) { }

    std::shared_ptr<core::Exchange> send(const core::Endpoint &to, core::HttpRequest request,
                                         core::Duration, core::ResponseHandler handler) override
    {
        ++this->requestsTo[to.port];
        this->clock.schedule(this->clock.now() + 1ms,
                             [this, request, handler] { handler(this->respondTo(request)); });
        return nullptr;
    }

    core::Outcome<core::HttpResponse> respondTo(const core::HttpRequest &request)
    {
        if (request.target.starts_with("/-/request-id")) {
            const std::string first = std::to_string(++this->ids);
            return replyJson(200, {{"ids", {"id-" + first + "a", "id-" + first + "b"}}});
        }
        if (request.method == "POST" && this->responsesToLose > 0) {
            --this->responsesToLose;
            return core::Error{core::ErrorKind::ConnectionLost, "lost"};
        }
        const std::string id(
                core::findHeader(request.headers, "Idempotency-Key").value_or("issued"));
        auto response = replyJson(200,
                                  {{"requestId", this->wrongResponses ? "other" : id},
                                   {"bodyHash", hashHex(request.body)},
                                   {"method", request.method}});
        response.headers.push_back({"X-Request-Id", id});
        response.headers.push_back({"X-Outcome", this->refuse ? "not-run" : "answered"});
        if (this->truncateBodies)
            response.body = core::makeStringBody("{\"requestId\":");
        return response;
    }

    clock::Clock &clock;
    std::map<std::uint16_t, int> requestsTo;
    int ids = 0;
    int responsesToLose = 0;
    bool wrongResponses = false;
    bool refuse = false;
    bool truncateBodies = false;
};

struct LoadFixture : Recorder
{
    LoadFixture()
    {
        this->plan.instances = {{"127.0.0.1", 1}, {"127.0.0.1", 2}};
        this->plan.service = core::ServiceName("till");
        this->plan.brands = {"a", "b"};
        this->plan.keys = 100;
        this->plan.nonIdempotentShare = 0.5;
        this->plan.concurrency = 2;
        this->plan.duration = 100ms;
    }

    LoadSummary run()
    {
        LoadRun load(this->plan, this->instances, this->clock, this->sink);
        bool done = false;
        load.start([&done] { done = true; });
        this->clock.advance(10s);
        REQUIRE(done);
        return load.summary();
    }

    // Events of non-idempotent requests.
    std::vector<history::CallEvent> nonIdempotentCalls() const
    {
        std::vector<history::CallEvent> result;
        for (const history::Event &event : this->sink.events) {
            const auto &call = std::get<history::CallEvent>(event);
            if (!call.idempotent)
                result.push_back(call);
        }
        return result;
    }

    LoadPlan plan;
    FakeInstances instances{this->clock};
};

} // namespace

TEST_CASE_FIXTURE(LoadFixture,
                  "a closed loop keeps its concurrency and spreads requests over instances")
{
    plan.ownIds = true;
    const LoadSummary summary = run();
    CHECK(summary.answered == 200);
    CHECK(summary.wrong == 0);
    CHECK(summary.quantile(0.99) == 1ms);
    CHECK(instances.requestsTo[1] == instances.requestsTo[2]);
    CHECK(sink.events.size() == 200);
    CHECK(nonIdempotentCalls().size() > 60);
}

// Guards against refusals that are counted as answered: they would overstate the throughput of a
// backend server.
TEST_CASE("a backend server reached directly answers with 200 and refuses with X-Not-Run")
{
    CHECK(directCallOutcome(replyJson(200, {})) == history::CallOutcome::Answered);
    core::HttpResponse response = replyJson(503, {});
    CHECK(directCallOutcome(response) == history::CallOutcome::Unknown);
    response.headers.push_back({"X-Not-Run", "true"});
    CHECK(directCallOutcome(response) == history::CallOutcome::NotRun);
}

TEST_CASE_FIXTURE(LoadFixture, "an open loop sends at its rate regardless of responses")
{
    plan.ratePerSecond = 1000;
    plan.ownIds = true;
    const LoadSummary summary = run();
    CHECK(summary.answered >= 99);
    CHECK(summary.answered <= 101);
}

TEST_CASE_FIXTURE(LoadFixture, "each non-idempotent request uses a fetched id of its own")
{
    const LoadSummary summary = run();
    CHECK(summary.unknown == 0);
    std::map<std::string, int> uses;
    for (const history::CallEvent &call : nonIdempotentCalls()) {
        CHECK(call.requestId.value.starts_with("id-"));
        CHECK(++uses[call.requestId.value] == 1);
    }
    CHECK_FALSE(uses.empty());
}

TEST_CASE_FIXTURE(
        LoadFixture,
        "an unanswered non-idempotent request is resent with its id, a refused one is not")
{
    plan.ownIds = true;
    plan.concurrency = 1;
    plan.nonIdempotentShare = 1;
    SUBCASE("unanswered")
    {
        instances.responsesToLose = 1;
        const LoadSummary summary = run();
        CHECK(summary.resent == 1);
        CHECK(nonIdempotentCalls()[0].outcome == history::CallOutcome::Unknown);
        CHECK(nonIdempotentCalls()[1].requestId == nonIdempotentCalls()[0].requestId);
        CHECK(nonIdempotentCalls()[1].outcome == history::CallOutcome::Answered);
    }
    SUBCASE("unanswered after all resends")
    {
        instances.responsesToLose = 3;
        run();
        CHECK(nonIdempotentCalls()[2].requestId == nonIdempotentCalls()[0].requestId);
        CHECK(nonIdempotentCalls()[3].requestId != nonIdempotentCalls()[0].requestId);
    }
    SUBCASE("refused")
    {
        instances.refuse = true;
        const LoadSummary summary = run();
        CHECK(summary.resent == 0);
        CHECK(summary.answered == 0);
        CHECK(summary.notRun > 0);
    }
}

TEST_CASE_FIXTURE(LoadFixture, "responses to other requests and truncated responses are counted")
{
    plan.ownIds = true;
    SUBCASE("response to another request")
    {
        instances.wrongResponses = true;
        const LoadSummary summary = run();
        CHECK(summary.wrong == summary.answered);
    }
    SUBCASE("truncated")
    {
        instances.truncateBodies = true;
        const LoadSummary summary = run();
        CHECK(summary.shortBodies == summary.answered);
    }
}

TEST_CASE_FIXTURE(LoadFixture,
                  "the same seed gives the same requests, with the first keys most frequent")
{
    RequestGenerator first(plan);
    RequestGenerator second(plan);
    std::map<std::string, int> keys;
    for (int index = 0; index < 2000; ++index) {
        const PlannedRequest request = first.next();
        const PlannedRequest same = second.next();
        CHECK(request.http.target == same.http.target);
        CHECK(request.http.body == same.http.body);
        ++keys[request.http.headers[0].value];
    }
    // With exponent 1 and 100 keys, the first key has a share of 0.193.
    CHECK(keys["key-0"] > 320);
    CHECK(keys["key-0"] < 450);
    CHECK(keys["key-0"] > keys["key-9"]);
}
