// Tests for the messages between instances.
#include "amaranthdale/control/peer_protocol.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>

using namespace amaranthdale;
using namespace amaranthdale::control;

namespace {

// A fixed RapidCheck seed makes the results reproducible.
const int seedSet = ::setenv("RC_PARAMS", "seed=20261204 max_success=1000", 0);

// Delivers messages directly to a handler.
class DirectSender : public core::HttpSender
{
public:
    explicit DirectSender(core::RequestHandler &requestHandler) : handler(requestHandler) { }

    std::shared_ptr<core::Exchange> send(const core::Endpoint &, core::HttpRequest request,
                                         core::Duration, core::ResponseHandler respond) override
    {
        return this->handler.handle(std::move(request), std::move(respond));
    }

private:
    core::RequestHandler &handler;
};

struct Fixture
{
    std::vector<keyspace::KeyCount> counts;
    int stepDowns = 0;
    std::unique_ptr<core::RequestHandler> handler = makePeerHandler(
            core::Incarnation(7),
            [this](const core::ServiceName &, const std::vector<keyspace::KeyCount> &received) {
                this->counts = received;
            },
            [this](const core::ServiceName &) { ++this->stepDowns; });
    DirectSender sender{*this->handler};
    std::unique_ptr<PeerChannel> channel = makePeerChannel(this->sender);

    unsigned post(const std::string &target, const std::string &body)
    {
        unsigned status = 0;
        this->handler->handle({"POST", target, {}, body},
                              [&status](auto outcome) { status = outcome->status; });
        return status;
    }
};

} // namespace

TEST_CASE("key counts are received as sent")
{
    Fixture test;
    const std::vector<keyspace::KeyCount> sent{{5, 2}, {65535, 1}};
    test.channel->report("127.0.0.1:1", core::ServiceName("stock"), sent);
    CHECK(test.counts == sent);
}

TEST_CASE("malformed messages are rejected without effect")
{
    Fixture test;
    CHECK(test.post("/key-counts/stock", "5 2") == 400);
    CHECK(test.post("/key-counts/stock", "five 2\n") == 400);
    CHECK(test.post("/step-down/stock", "seven") == 400);
    CHECK(test.post("/unknown", "") == 400);
    CHECK(test.counts.empty());
    CHECK(test.stepDowns == 0);
}

TEST_CASE("numbers out of range are rejected and arbitrary bodies are handled safely")
{
    Fixture test;
    for (const char *body : {"65536 1\n", "-1 1\n", "5 4294967296\n", "5 -1\n",
                             "99999999999999999999 1\n", "5 1 \n", "5\n1\n"})
        CHECK(test.post("/key-counts/stock", body) == 400);
    CHECK(test.post("/step-down/stock", "18446744073709551616") == 400);
    CHECK(test.counts.empty());
    CHECK(rc::check("arbitrary bodies", [](const std::string &target, const std::string &body) {
        Fixture random;
        for (const std::string &prefix : {std::string("/key-counts/"), std::string("/step-down/")})
            random.post(prefix + target, body);
        random.post(target, body);
        RC_ASSERT(random.stepDowns == 0 || body.find('7') != std::string::npos);
    }));
    CHECK(rc::check("key counts with one byte changed", [] {
        std::string body = "5 2\n65535 1\n700 4294967295\n";
        const auto position = *rc::gen::inRange<std::size_t>(0, body.size());
        body[position] = *rc::gen::arbitrary<char>();
        Fixture random;
        random.post("/key-counts/stock", body);
        for (const auto &[key, count] : random.counts)
            RC_ASSERT(key < keyspace::keyCount);
    }));
}

TEST_CASE("the named granter steps down, and a later process confirms for an earlier one")
{
    Fixture test;
    int ended = 0;
    for (const std::uint64_t incarnation : {7, 6}) {
        const keyspace::Predecessor predecessor{
                {core::InstanceName("edge-1"), core::Incarnation(incarnation)}, "127.0.0.1:1"};
        test.channel->requestStepDown(predecessor, core::ServiceName("stock"),
                                      [&ended] { ++ended; });
    }
    CHECK(ended == 2);
    CHECK(test.stepDowns == 1);
}
