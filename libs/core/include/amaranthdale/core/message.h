// Requests and responses common to all transports, and the interfaces to send and serve them.
#pragma once

#include "amaranthdale/core/outcome.h"
#include "amaranthdale/core/types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::core {

/// Address of a TCP listener: an IP address in text form and a port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/// Parses "address:port", with IPv6 addresses in brackets. Fails with InvalidArgument.
Result<Endpoint> parseEndpoint(std::string_view text);

/// Formats an endpoint in the syntax of `parseEndpoint`.
std::string formatEndpoint(const Endpoint &endpoint);

/// One header field. Names are case-insensitive.
struct Header
{
    std::string name;
    std::string value;

    bool operator==(const Header &) const = default;
};

using Headers = std::vector<Header>;

/// Value of the first field called `name`, or nullopt.
std::optional<std::string_view> findHeader(const Headers &headers, std::string_view name);

/// Replaces all fields called `name` with a single one.
void setHeader(Headers &headers, std::string_view name, std::string value);

/// A request with its complete body; the receiving transport limits the size.
struct HttpRequest
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    /// Field that the response must echo. A successful response without it, or any response with
    /// a different value, belongs to another request and is skipped.
    std::optional<Header> correlationHeader = std::nullopt;

    /// Whether the request may be resent once on a new connection if a reused one turns out to be
    /// closed. Unset: GET and HEAD may.
    std::optional<bool> resendable = std::nullopt;

    /// Sends the request as the first one on a connection. Nothing that a server may still send in
    /// response to an earlier request can then be taken for the response to this one.
    bool newConnection = false;

    /// Time up to the end of the response body. Unset: only each wait for body data is bounded, and
    /// a body that arrives slowly without end must be given up by its reader.
    std::optional<Duration> completionTimeout = std::nullopt;

    /// A body that copies of this request share; `body` is then empty. Listeners set it only where
    /// they are asked to, for large bodies.
    std::shared_ptr<const std::string> sharedBody = nullptr;

    /// The body, wherever it is.
    const std::string &bodyText() const
    {
        return this->sharedBody ? *this->sharedBody : this->body;
    }
};

/// A chunk of a response body.
struct BodyChunk
{
    std::string data;
    bool last = false;
};

/// Source of a response body. Pull-based, so that a slow consumer exerts backpressure on the
/// producer.
class BodyReader
{
public:
    virtual ~BodyReader() = default;

    /// Calls `handler` once with the next chunk, or with an error if the body ended
    /// prematurely. Only one read may be pending. Destroying the reader before the last chunk
    /// cancels the rest.
    virtual void read(std::function<void(Outcome<BodyChunk>)> handler) = 0;
};

/// A reader of a body that is already complete.
std::unique_ptr<BodyReader> makeStringBody(std::string text);

/// Reads the rest of `body` into one string of at most `limit` bytes, then calls `handler`.
/// Fails with Protocol if the body is longer, otherwise with the error of the body.
void readWholeBody(std::shared_ptr<BodyReader> body, std::size_t limit,
                   std::function<void(Outcome<std::string>)> handler);

/// A response whose body may still be arriving.
struct HttpResponse
{
    unsigned status = 200;
    Headers headers;
    std::optional<std::uint64_t> contentLength; ///< Bytes; unset if not known in advance.
    std::shared_ptr<BodyReader> body;           ///< Never null.
    unsigned skippedResponses = 0;              ///< Responses to other requests that preceded it.
    /// False if an earlier request was answered on the connection: without a correlation header,
    /// this may be a late copy of that response.
    bool firstOnConnection = true;
};

/// A response with a complete body of type `contentType`.
HttpResponse makeResponse(unsigned status, std::string body,
                          std::string contentType = "application/json");

using ResponseHandler = std::function<void(Outcome<HttpResponse>)>;

/// A request in progress.
class Exchange
{
public:
    virtual ~Exchange() = default;

    /// Cancels the request. The response handler may still be called once. Idempotent.
    virtual void cancel() = 0;

    /// Ends the request with Unavailable if it still waits to be sent. Otherwise does nothing.
    virtual void withdraw() { }
};

/// Sends requests to other processes. Thread-safe.
class HttpSender
{
public:
    virtual ~HttpSender() = default;

    /// Sends `request` to `to` and calls `handler` exactly once, never from inside this call.
    /// `timeout` covers the time up to the response headers and, again, each wait for body data.
    /// Errors: Unavailable when no byte of the request can have reached the peer;
    /// ConnectionLost when the connection ended before the response; Timeout; Protocol.
    virtual std::shared_ptr<Exchange> send(const Endpoint &to, HttpRequest request,
                                           Duration timeout, ResponseHandler handler) = 0;
};

/// Serves requests that a transport received. Thread-safe.
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    /// Calls `respond` exactly once, from any thread. The transport cancels the returned exchange,
    /// which may be null, if the client disconnects.
    virtual std::shared_ptr<Exchange> handle(HttpRequest request, ResponseHandler respond) = 0;
};

/// A listener that passes requests to a `RequestHandler`. Destroying it closes all connections.
class HttpListener
{
public:
    virtual ~HttpListener() = default;

    /// The bound address, with the port that the system assigned if port 0 was requested.
    virtual Endpoint localEndpoint() const = 0;

    /// Makes every further response close its connection. New connections are still accepted.
    virtual void disableKeepAlive() { }

    /// Stops accepting connections, closes idle ones, and calls `drained` once after every request
    /// in progress has been answered.
    virtual void drain(std::function<void()> drained) = 0;
};

} // namespace amaranthdale::core
