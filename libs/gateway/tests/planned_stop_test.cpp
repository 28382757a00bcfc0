// Requests in progress while the instance stops: each ends once, with a true outcome.
#include "gateway_fixture.h"

using namespace amaranthdale;
using namespace amaranthdale::gateway;
using namespace amaranthdale::gateway::testing;
using std::chrono::milliseconds;

namespace {

// Leaves all requests waiting for a slot.
class BusyAllocator : public SlotAllocator
{
public:
    balance::Ticket request(const core::ServiceName &, const balance::Demand &,
                            const std::optional<core::ServerName> &, Handler handler) override
    {
        this->handlers.push_back(std::move(handler));
        return this->handlers.size();
    }

    void release(balance::Ticket ticket, balance::AttemptResult, core::Duration,
                 const std::optional<balance::LoadReport> &) override
    {
        this->released.push_back(ticket);
    }

    std::vector<Handler> handlers;
    std::vector<balance::Ticket> released;
};

} // namespace

TEST_CASE("a planned stop refuses requests that wait for a slot, and a late slot is returned")
{
    Fixture test;
    BusyAllocator allocator;
    test.gateway->setSlotAllocator(allocator);
    test.assign("a");
    test.send("/pay/1", "5");
    CHECK(test.status() == 0);
    test.gateway->stopSending();
    REQUIRE(test.status() == 503);
    CHECK(core::findHeader(test.response->headers, "Retry-After"));
    CHECK(test.gateway->requestsInProgress() == 0);
    REQUIRE(allocator.handlers.size() == 1);
    CHECK(allocator.released == std::vector<balance::Ticket>{1});
    allocator.handlers.front()(1, balance::SlotDecision(core::ServerName("a")));
    CHECK(test.sender.sent.empty());
    CHECK(allocator.released.size() == 2);
}

TEST_CASE("a planned stop refuses requests that wait for an owner")
{
    Fixture test;
    test.send("/pay/1", "5");
    test.gateway->stopSending();
    CHECK(test.status() == 503);
    test.assign("a");
    test.clock.advance(milliseconds(500));
    CHECK(test.sender.sent.empty());
}

TEST_CASE("a planned stop lets a request finish that was sent, but doesn't send it again")
{
    Fixture test;
    test.send("/read/1");
    test.gateway->stopSending();
    CHECK(test.status() == 0);
    SUBCASE("answered")
    {
        test.sender.answer(200);
        CHECK(test.status() == 200);
    }
    SUBCASE("refused by the server")
    {
        test.sender.answer(503, "Not-Run");
        CHECK(test.status() == 503);
    }
    SUBCASE("lost")
    {
        test.sender.fail(core::ErrorKind::ConnectionLost);
        CHECK(test.status() == 502);
    }
    CHECK(test.sender.sent.empty());
}

TEST_CASE("a request that waits for a retry after it may have run is not refused as not run")
{
    Fixture test;
    test.assign("a");
    test.send("/read/1", "5");
    test.sender.fail(core::ErrorKind::ConnectionLost);
    CHECK(test.status() == 0);
    test.gateway->stopSending();
    CHECK(test.status() == 502);
}

TEST_CASE("requests still in progress at the exit are answered as possibly run")
{
    Fixture test;
    test.send("/pay/1");
    test.gateway->stopSending();
    test.gateway->abandonRequests();
    CHECK(test.status() == 504);
    CHECK(test.gateway->requestsInProgress() == 0);
    test.sender.answer(200); // Too late.
    CHECK(test.status() == 504);
}

TEST_CASE("requests that arrive after the stop of sending are refused")
{
    Fixture test;
    test.gateway->stopSending();
    test.send("/pay/1");
    CHECK(test.status() == 503);
    CHECK(test.sender.sent.empty());
}
