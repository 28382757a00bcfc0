// Tests of Deadline and HandlerGate.
#include "test_support.h"

#include "amaranthdale/net/deadline.h"
#include "amaranthdale/net/handler_gate.h"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>

using namespace amaranthdale;
using namespace amaranthdale::testing;

namespace {

struct DeadlineOwner
{
    explicit DeadlineOwner(boost::asio::io_context &context)
        : strand(boost::asio::make_strand(context)), deadline(this->strand)
    { }

    net::Strand strand;
    net::Deadline deadline;
    std::promise<core::TimePoint> expired;
};

} // namespace

TEST_CASE("Deadline: a postponed deadline expires once, at the latest time set")
{
    Workers workers;
    auto owner = std::make_shared<DeadlineOwner>(workers.context);
    auto expired = owner->expired.get_future();
    const auto begin = net::Deadline::now();
    boost::asio::post(owner->strand, [owner] {
        owner->deadline.setExpiryHandler(
                owner, [target = owner.get()] { target->expired.set_value(net::Deadline::now()); });
        owner->deadline.setAfter(std::chrono::milliseconds(20));
        owner->deadline.setAfter(std::chrono::milliseconds(120));
    });
    REQUIRE(expired.wait_for(waitTimeout) == std::future_status::ready);
    CHECK(expired.get() - begin >= std::chrono::milliseconds(120));
}

TEST_CASE("HandlerGate: close waits for active calls and rejects later ones")
{
    std::promise<void> entered;
    std::promise<void> leave;
    FunctionHandler handler([&](core::HttpRequest, const core::ResponseHandler &) {
        entered.set_value();
        leave.get_future().wait();
        return nullptr;
    });
    net::HandlerGate gate(handler);
    std::shared_ptr<core::Exchange> exchange;
    auto call = std::async(std::launch::async, [&] { return gate.handle({}, {}, exchange); });
    entered.get_future().wait();
    auto closing = std::async(std::launch::async, [&] { gate.close(); });
    CHECK(closing.wait_for(std::chrono::milliseconds(30)) == std::future_status::timeout);
    leave.set_value();
    CHECK(call.get());
    REQUIRE(closing.wait_for(waitTimeout) == std::future_status::ready);
    CHECK_FALSE(gate.handle({}, {}, exchange));
}
