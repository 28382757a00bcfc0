// Tests of Acceptor and ConnectionSet at shutdown.
#include "raw_socket.h"
#include "test_support.h"

#include "amaranthdale/net/acceptor.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::testing;

namespace {

class TestConnection : public net::Connection
{
public:
    void close() override { }
    void drain() override { }
};

} // namespace

// Closing in a posted handler left the port open for as long as the event loop was busy, so a
// connection attempt after shutdown succeeded and its request was lost instead of refused.
TEST_CASE("Acceptor: the port refuses connections as soon as stop has returned")
{
    boost::asio::io_context context; // Not running: posted work stays pending.
    auto acceptor = std::make_shared<net::Acceptor>(context, [](net::Socket) {});
    const auto endpoint = core::attempt([&] { return acceptor->listen(anyLoopbackPort); });
    REQUIRE(endpoint);
    CHECK_NOTHROW(RawSocket{*endpoint});
    acceptor->stop();
    CHECK_THROWS(RawSocket{*endpoint});
}

TEST_CASE("Acceptor: connections that wait in the listen queue reach the handler before a stop")
{
    boost::asio::io_context context;
    unsigned accepted = 0;
    auto acceptor = std::make_shared<net::Acceptor>(context, [&](net::Socket socket) {
        ++accepted;
        net::closeSocket(socket);
    });
    const auto endpoint = core::attempt([&] { return acceptor->listen(anyLoopbackPort); });
    REQUIRE(endpoint);
    RawSocket first(*endpoint);
    RawSocket second(*endpoint);
    acceptor->drainBacklog();
    CHECK(accepted == 2);
    acceptor->stop();
    acceptor->drainBacklog();
    CHECK(accepted == 2);
}

TEST_CASE("ConnectionSet: connections are added during a drain, but not after its end or a close")
{
    net::ConnectionSet set;
    const auto first = std::make_shared<TestConnection>();
    const auto second = std::make_shared<TestConnection>();
    bool drained = false;
    CHECK(set.add(first));
    CHECK_FALSE(set.isDraining());
    set.drainAll([&] { drained = true; });
    CHECK(set.isDraining());
    CHECK(set.add(second));
    set.remove(first.get());
    CHECK_FALSE(drained);
    set.remove(second.get());
    CHECK(drained);
    CHECK_FALSE(set.add(first));

    net::ConnectionSet closed;
    closed.closeAll();
    CHECK_FALSE(closed.add(first));
}
