// Tests of cancelled timers and of the destruction of the production clock.
#include "amaranthdale/clock/clock.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace amaranthdale;

TEST_CASE("a timer that is due when the clock is destroyed does not run")
{
    boost::asio::io_context context;
    auto clock = clock::makeAsioClock(context);
    bool ran = false;
    clock->schedule(clock->now(), [&] { ran = true; });
    clock.reset();
    context.run();
    CHECK_FALSE(ran);
}

TEST_CASE("a cancelled timer never runs, also when it is already due")
{
    boost::asio::io_context context;
    const auto clock = clock::makeAsioClock(context);
    bool ran = false;
    clock->cancel(clock->schedule(clock->now(), [&] { ran = true; }));
    context.run();
    CHECK_FALSE(ran);
}
