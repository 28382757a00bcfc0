// Tests that the HTTP/1.1 client passes on a response only if it is valid and whole.
#include "raw_socket.h"
#include "test_support.h"

#include "amaranthdale/http/backend_client.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::testing;

namespace {

// More than the send and receive buffers of a connection hold, so that its write stays pending.
constexpr std::size_t uploadBytes = 16 * 1024 * 1024;

// Which of the pending read and the pending write notices a reset first isn't determined.
constexpr int resetRepetitions = 100;

constexpr auto requestTimeout = std::chrono::seconds(5);

// The client reads up to this much of a header at once.
constexpr std::size_t headerReadBytes = 8 * 1024;

core::HttpRequest upload(std::size_t size = uploadBytes)
{
    return {"POST", "/", {}, std::string(size, 'x')};
}

// A client, and a request to a server that the test plays.
struct Exchange
{
    explicit Exchange(core::HttpRequest request)
        : client(http::makeBackendClient(this->workers.context))
    {
        this->client->send(this->server.endpoint(), std::move(request), requestTimeout,
                           [this](auto outcome) { this->promise.set_value(std::move(outcome)); });
    }

    ~Exchange() { this->workers.join(); }

    // The response header; waits for it.
    core::Outcome<core::HttpResponse> response()
    {
        auto future = this->promise.get_future();
        if (future.wait_for(waitTimeout) != std::future_status::ready)
            return core::Error{core::ErrorKind::Internal, "the response handler was not called"};
        return future.get();
    }

    // The whole response body.
    core::Outcome<std::string> body()
    {
        const auto head = this->response();
        return head ? readBody(*head) : core::Outcome<std::string>(head.error());
    }

    RawServer server;
    std::promise<core::Outcome<core::HttpResponse>> promise;
    Workers workers;
    std::unique_ptr<core::HttpSender> client;
};

} // namespace

// Guards against a reset that the pending write of the upload notices: the read then finds a closed
// connection, and what had arrived passed for the whole response.
TEST_CASE("client: an unframed response whose connection is reset during the upload is not whole")
{
    for (int repetition = 0; repetition < resetRepetitions; ++repetition) {
        CAPTURE(repetition);
        Exchange exchange(upload());
        RawSocket connection(exchange.server.acceptor);
        connection.readUntil("\r\n\r\n");
        connection.write("HTTP/1.1 200 OK\r\n\r\npart");
        const auto response = exchange.response();
        REQUIRE(response);
        if (repetition % 2 == 0)
            CHECK(readChunk(*response->body)->data == "part");
        connection.reset();
        const auto body = readBody(*response);
        REQUIRE_FALSE(body);
        CHECK(body.error().kind == core::ErrorKind::ConnectionLost);
    }
}

// Guards against a fix that takes every early end for a reset.
TEST_CASE("client: an unframed response that ends during the upload is whole unless it is reset")
{
    for (int repetition = 0; repetition < resetRepetitions; ++repetition) {
        CAPTURE(repetition);
        Exchange exchange(upload());
        RawSocket connection(exchange.server.acceptor);
        connection.readUntil("\r\n\r\n");
        connection.write("HTTP/1.1 200 OK\r\n\r\nwhole");
        connection.shutdownSend();
        const auto body = exchange.body();
        REQUIRE(body);
        CHECK(*body == "whole");
    }
}

TEST_CASE("client: an unframed response that comes before the end of the upload is whole")
{
    Exchange exchange(upload());
    RawSocket connection(exchange.server.acceptor);
    std::string received = connection.readUntil("\r\n\r\n");
    connection.write("HTTP/1.1 200 OK\r\n\r\nwhole");
    const auto response = exchange.response();
    REQUIRE(response);
    const std::size_t head = received.find("\r\n\r\n") + 4;
    while (received.size() < head + uploadBytes) {
        const std::string more = connection.readUntil("x");
        REQUIRE_FALSE(more.empty());
        received += more;
    }
    connection.close();
    const auto body = readBody(*response);
    REQUIRE(body);
    CHECK(*body == "whole");
}

// Guards against a status that isn't one being taken for that of an interim response: what follows,
// the body, was then read as the response.
TEST_CASE("client: a status outside 100 to 599 gives Protocol")
{
    const std::string inner = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (const std::string status : {"000", "001", "099", "600", "999"}) {
        CAPTURE(status);
        Exchange exchange({"GET", "/", {}, {}});
        RawSocket connection(exchange.server.acceptor);
        connection.readUntil("\r\n\r\n");
        // The body begins with a read of its own.
        std::string head = "HTTP/1.1 " + status
                + " -\r\nContent-Length: " + std::to_string(inner.size()) + "\r\nPadding: ";
        head += std::string(headerReadBytes - head.size() - 4, 'x') + "\r\n\r\n";
        connection.write(head + inner);
        const auto response = exchange.response();
        REQUIRE_FALSE(response);
        CHECK(response.error().kind == core::ErrorKind::Protocol);
    }
}

// Guards against a field that is dropped or passed on although its name is none: the framing that
// it was meant to announce is then missing, and the body isn't that of the server.
TEST_CASE("client: a response header with a malformed field gives Protocol")
{
    using namespace std::string_literals;
    for (const std::string &field :
         {"Content-Length : 2"s, "Content Length: 2"s, " Content-Length: 2"s, "\tX: y"s,
          "Trans\x01"
          "fer-Encoding: chunked"s,
          "X\0: y"s, "X\x7f: y"s, "X\x80: y"s, "X\v: y"s, ": y"s, "X"s, "X: a\0b"s, "X: a\x01"s,
          "X: a\x7f"s, "X: a\rY: b"s}) {
        CAPTURE(field);
        for (const bool isFirst : {true, false}) {
            Exchange exchange({"GET", "/", {}, {}});
            RawSocket connection(exchange.server.acceptor);
            connection.readUntil("\r\n\r\n");
            connection.write("HTTP/1.1 200 OK\r\n" + (isFirst ? "" : "A: b\r\n"s) + field + "\r\n"
                             + (isFirst ? "A: b\r\n"s : "") + "\r\nok");
            connection.close();
            const auto response = exchange.response();
            // A line that begins with a blank continues the field before it (RFC 9112, 5.2).
            if (!isFirst && (field.front() == ' ' || field.front() == '\t'))
                continue;
            REQUIRE_FALSE(response);
            CHECK(response.error().kind == core::ErrorKind::Protocol);
        }
    }
}

// Guards against a body in a coding that this client doesn't decode: it removes the field that
// names the coding, so the caller would take the coded bytes for the body.
TEST_CASE("client: a transfer coding other than chunked gives Protocol")
{
    for (const std::string coding :
         {"gzip", "gzip, chunked", "chunked, gzip", "identity", "chunked;q=1"}) {
        CAPTURE(coding);
        Exchange exchange({"GET", "/", {}, {}});
        RawSocket connection(exchange.server.acceptor);
        connection.readUntil("\r\n\r\n");
        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding
                         + "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
        connection.close();
        const auto response = exchange.response();
        REQUIRE_FALSE(response);
        CHECK(response.error().kind == core::ErrorKind::Protocol);
    }
}
