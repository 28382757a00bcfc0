// Tests of the platform clients. Misclassifying the outcome of an append would lose or duplicate a
// change.
#include "amaranthdale/logclient/instance_list.h"
#include "amaranthdale/logclient/log_service.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::logclient;
using namespace std::chrono_literals;

namespace {

// Records the last request and responds with a configured outcome.
class FakeSender : public core::HttpSender
{
public:
    std::shared_ptr<core::Exchange> send(const core::Endpoint &to, core::HttpRequest request,
                                         core::Duration limit,
                                         core::ResponseHandler handler) override
    {
        this->endpoint = to;
        this->sent = std::move(request);
        this->timeout = limit;
        handler(this->error ? core::Outcome<core::HttpResponse>(*this->error)
                            : core::makeResponse(this->status, this->body));
        return nullptr;
    }

    void setResponse(unsigned code, std::string text)
    {
        this->status = code;
        this->body = std::move(text);
    }

    core::Endpoint endpoint;
    core::HttpRequest sent;
    core::Duration timeout{};
    std::optional<core::Error> error;
    unsigned status = 200;
    std::string body;
};

const core::Endpoint logEndpoint{"127.0.0.1", 7000};

struct LogFixture
{
    core::Outcome<core::LogOffset> append()
    {
        core::Outcome<core::LogOffset> result = core::Error{};
        this->log->append("{}", 1s, [&result](auto outcome) { result = outcome; });
        return result;
    }

    core::Outcome<LogPage> read(std::uint64_t from)
    {
        core::Outcome<LogPage> result = core::Error{};
        this->log->read(core::LogOffset(from), 10, 5s, 1s,
                        [&result](auto outcome) { result = outcome; });
        return result;
    }

    FakeSender sender;
    std::unique_ptr<LogService> log = makeLogService(this->sender, logEndpoint, "cluster");
};

} // namespace

TEST_CASE_FIXTURE(LogFixture, "append and read follow the log protocol")
{
    sender.setResponse(200, R"({"offset":7})");
    CHECK(append()->value == 7);
    CHECK(sender.sent.method == "POST");
    CHECK(sender.sent.target == "/streams/cluster/records");
    CHECK(sender.sent.body == "{}");
    CHECK(sender.endpoint == logEndpoint);

    sender.setResponse(200,
                       R"({"first":2,"next":5,"records":[{"offset":3,"body":"a"},)"
                       R"({"offset":4,"body":"b"}]})");
    const auto page = read(3);
    REQUIRE(page);
    CHECK(sender.sent.target == "/streams/cluster/records?from=3&max=10&waitMs=5000");
    CHECK(page->entries.back().body == "b");
    CHECK(page->next.value == 5);
    // The timeout includes the long-poll wait, so that a read of an idle log does not time out.
    CHECK(sender.timeout == 6s);
}

TEST_CASE_FIXTURE(LogFixture,
                  "append is reported as not executed only when the service definitely rejected it")
{
    sender.setResponse(503, "");
    CHECK(append().error().kind == core::ErrorKind::Unavailable);
    sender.setResponse(400, "");
    CHECK(append().error().kind == core::ErrorKind::InvalidArgument);
    for (const unsigned status : {500U, 502U, 504U, 302U}) {
        sender.setResponse(status, "");
        CHECK(append().error().kind == core::ErrorKind::Protocol);
    }
    for (const char *body : {"", "{}", R"({"offset":"7"})", R"({"offset":7,"offset":8})"}) {
        sender.setResponse(200, body);
        CHECK(append().error().kind == core::ErrorKind::Protocol);
    }
    sender.error = core::Error{core::ErrorKind::ConnectionLost, "gone"};
    CHECK(append().error().kind == core::ErrorKind::ConnectionLost);
}

TEST_CASE_FIXTURE(LogFixture, "a page with a gap is rejected, since replay would skip a record")
{
    const auto kindFor = [this](const std::string &body) {
        sender.setResponse(200, body);
        return read(3).error().kind;
    };
    CHECK(kindFor(R"({"first":1,"next":9,"records":[{"offset":4,"body":""}]})")
          == core::ErrorKind::Protocol);
    CHECK(kindFor(R"({"first":1,"next":9,"records":[{"offset":3,"body":""},)"
                  R"({"offset":5,"body":""}]})")
          == core::ErrorKind::Protocol);
    CHECK(kindFor(R"({"first":1,"next":3,"records":[{"offset":3,"body":""}]})")
          == core::ErrorKind::Protocol);
    sender.setResponse(200, R"({"first":6,"next":7,"records":[{"offset":6,"body":""}]})");
    CHECK(read(3)->first.value == 6);
}

TEST_CASE("the instance list client follows the platform's protocol")
{
    FakeSender sender;
    const auto list = makeInstanceList(sender, logEndpoint);
    const std::string entry = R"({"id":"i1","incarnation":18446744073709551615,"dataCentre":)"
                              R"("gasabo","peerAddress":"127.0.0.1:7100","state":"leaving"})";
    sender.setResponse(200, R"({"instances":[)" + entry + "]}");
    core::Outcome<std::vector<ListedInstance>> fetched = core::Error{};
    list->fetch(1s, [&fetched](auto outcome) { fetched = outcome; });
    REQUIRE(fetched);
    REQUIRE(fetched->size() == 1);
    CHECK(fetched->front().leaving);
    CHECK(fetched->front().id.incarnation.value == 18446744073709551615ULL);

    core::Outcome<core::Success> done = core::Error{};
    list->announce(fetched->front(), 1s, [&done](auto outcome) { done = outcome; });
    CHECK(done);
    CHECK(sender.sent.method == "PUT");
    CHECK(sender.sent.target == "/instances/i1");
    CHECK(sender.sent.body == entry);
    list->withdraw(core::InstanceName("i1"), 1s, [&done](auto outcome) { done = outcome; });
    CHECK(sender.sent.method == "DELETE");

    // An unknown state must not be treated as live.
    sender.setResponse(200,
                       R"({"instances":[{"id":"i1","incarnation":1,"dataCentre":"g",)"
                       R"("peerAddress":"127.0.0.1:1","state":"gone"}]})");
    list->fetch(1s, [&fetched](auto outcome) { fetched = outcome; });
    CHECK(fetched.error().kind == core::ErrorKind::Protocol);
}
