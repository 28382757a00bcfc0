// Tests of the fault proxy over loopback. A fault without effect would let fault tests pass
// although the system does not tolerate it.
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

constexpr auto noDataWait = 60ms; // Much longer than a loopback round trip.

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

    // The proxy and its connections use the clock, so all handlers must end before it is destroyed.
    ~ProxyFixture() { this->workers.join(); }

    void control(const std::string &body)
    {
        CHECK(this->send(this->proxy, {"PUT", "/control", {}, body}).status() == 200);
    }

    static void writeByte(Tcp::socket &socket, char byte)
    {
        boost::asio::write(socket, boost::asio::buffer(&byte, 1));
    }

    // Result of a blocking read of one byte, in another thread.
    static std::future<ErrorCode> readByte(Tcp::socket &socket)
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

TEST_CASE_FIXTURE(ProxyFixture, "a drop in one direction holds bytes back until it is cleared")
{
    control(R"({"toTarget":{"drop":true}})");
    writeByte(client, 'a');
    auto blockedRead = readByte(server);
    CHECK_FALSE(isReady(blockedRead, noDataWait));
    writeByte(server, 'b');
    CHECK_FALSE(readByte(client).get());
    control(R"({"drop":false})");
    CHECK_FALSE(blockedRead.get());
}

TEST_CASE_FIXTURE(ProxyFixture, "a delay holds each byte back for its duration")
{
    control(R"({"toClient":{"delay":"60ms"}})");
    const auto begin = realClock->now();
    writeByte(server, 'a');
    CHECK_FALSE(readByte(client).get());
    CHECK(realClock->now() - begin >= 60ms);
}

TEST_CASE_FIXTURE(ProxyFixture, "a cut closes both sides, and a reset reaches both sides")
{
    SUBCASE("cut")
    {
        control(R"({"cut":true})");
        CHECK(bool(readByte(server).get()));
        CHECK(bool(readByte(client).get()));
    }
    SUBCASE("reset")
    {
        control(R"({"reset":true})");
        CHECK(readByte(client).get() == boost::asio::error::connection_reset);
        CHECK(readByte(server).get() == boost::asio::error::connection_reset);
    }
}

TEST_CASE_FIXTURE(ProxyFixture,
                  "a half-open connection forwards the close only after the fault is cleared")
{
    control(R"({"halfOpen":true})");
    client.close();
    auto end = readByte(server);
    CHECK_FALSE(isReady(end, noDataWait));
    control(R"({"halfOpen":false})");
    CHECK(end.get() == boost::asio::error::eof);
}
