// Tests of the fault proxy over loopback: a fault that doesn't bite would hide a missing defence.
#include "fault_proxy/proxy.h"
#include "recorder.h"
#include "test_support.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <future>

using namespace amaranthdale;
using namespace amaranthdale::tools;
using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr auto quietTime = 60ms; // Long against the time of a loopback round trip.

// A client and a server connected through the proxy.
struct ProxyFixture : Recorder
{
    ProxyFixture()
        : realClock(clock::makeAsioClock(this->workers.context)),
          acceptor(this->sockets, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          proxy(this->workers.context, *this->realClock, testing::anyLoopbackPort,
                {"127.0.0.1", this->acceptor.local_endpoint().port()}),
          client(this->sockets), server(this->sockets)
    {
        this->proxy.accept();
        this->client.connect(
                {boost::asio::ip::make_address("127.0.0.1"), this->proxy.localEndpoint().port});
        this->acceptor.accept(this->server);
    }

    // The proxy and its connections use the clock until the last handler has run.
    ~ProxyFixture() { this->workers.join(); }

    void control(const std::string &body)
    {
        CHECK(this->send(this->proxy, {"PUT", "/control", {}, body}).status() == 200);
    }

    static void put(Tcp::socket &socket, char byte)
    {
        boost::asio::write(socket, boost::asio::buffer(&byte, 1));
    }

    // Result of a blocking read of one byte, in another thread.
    static std::future<ErrorCode> get(Tcp::socket &socket)
    {
        return std::async(std::launch::async, [&socket] {
            char byte = 0;
            ErrorCode error;
            boost::asio::read(socket, boost::asio::buffer(&byte, 1), error);
            return error;
        });
    }

    static bool isReady(std::future<ErrorCode> &future, core::Duration limit)
    {
        return future.wait_for(limit) == std::future_status::ready;
    }

    testing::Workers workers{2};
    std::unique_ptr<clock::Clock> realClock;
    boost::asio::io_context sockets;
    Tcp::acceptor acceptor;
    Proxy proxy;
    Tcp::socket client;
    Tcp::socket server;
};

} // namespace

TEST_CASE_FIXTURE(ProxyFixture, "a one-way drop holds bytes back until it ends")
{
    control(R"({"toTarget":{"drop":true}})");
    put(client, 'a');
    auto held = get(server);
    CHECK_FALSE(isReady(held, quietTime));
    put(server, 'b');
    CHECK_FALSE(get(client).get());
    control(R"({"drop":false})");
    CHECK_FALSE(held.get());
}

TEST_CASE_FIXTURE(ProxyFixture, "a delay holds each byte for its time")
{
    control(R"({"toClient":{"delay":"60ms"}})");
    const auto begin = realClock->now();
    put(server, 'a');
    CHECK_FALSE(get(client).get());
    CHECK(realClock->now() - begin >= 60ms);
}

TEST_CASE_FIXTURE(ProxyFixture, "a cut ends both sides, a reset is seen as one")
{
    SUBCASE("cut")
    {
        control(R"({"cut":true})");
        CHECK(bool(get(server).get()));
        CHECK(bool(get(client).get()));
    }
    SUBCASE("reset")
    {
        control(R"({"reset":true})");
        CHECK(get(client).get() == boost::asio::error::connection_reset);
        CHECK(get(server).get() == boost::asio::error::connection_reset);
    }
}

TEST_CASE_FIXTURE(ProxyFixture, "half open, the end of one side is passed on only after the fault")
{
    control(R"({"halfOpen":true})");
    client.close();
    auto end = get(server);
    CHECK_FALSE(isReady(end, quietTime));
    control(R"({"halfOpen":false})");
    CHECK(end.get() == boost::asio::error::eof);
}
