// One connection of the HTTP/1.1 client.
#pragma once

#include "client_exchange.h"
#include "stream_body.h"

#include "amaranthdale/net/deadline.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <optional>

namespace amaranthdale::http {

/// Carries one exchange at a time. Everything but the public functions runs on its strand.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    using ChunkHandler = std::function<void(core::Outcome<core::BodyChunk>)>;

    ClientConnection(std::shared_ptr<ConnectionPool> connectionPool, core::Endpoint endpoint);

    const core::Endpoint &endpoint() const { return this->to; }

    // Each of these may be called from any thread and takes effect later on the strand.
    void start(std::shared_ptr<ClientExchange> exchange);
    void cancel(std::shared_ptr<ClientExchange> exchange);
    void close();
    void readBody(std::uint64_t response, ChunkHandler handler);
    void abandonBody(std::uint64_t response);

private:
    enum class State {
        Unconnected, ///< Fresh, or closed by the other side just before an exchange arrived.
        Idle,        ///< Open, in the pool.
        Connecting,
        Waiting,   ///< The request was written at least in part; no response header yet.
        Streaming, ///< The response body is being read.
        Closed,
    };

    using Parser = boost::beast::http::response_parser<StreamBody>;

    void begin(std::shared_ptr<ClientExchange> exchange);
    void connect();
    void onConnected(const net::ErrorCode &error);
    void writeRequest();
    void onWritten(const net::ErrorCode &error, std::size_t size);
    void readMore(std::size_t size);
    void onRead(const net::ErrorCode &error, std::size_t size);
    bool parse();
    void resetParser();
    void onHeader();
    bool isForeign() const;
    void skipResponse();
    void noteIdleLimit();
    void deliverResponse();
    void deliverChunk();
    void onLost(const net::ErrorCode &error);
    void onIdleLost();
    bool repeat();
    void release();
    void onDeadline();
    void fail(core::ErrorKind kind, const std::string &reason);
    void shut();

    const std::shared_ptr<ConnectionPool> pool;
    const core::Endpoint to;
    net::Socket socket;
    net::Deadline deadline;
    State state = State::Unconnected;
    std::shared_ptr<ClientExchange> current;
    std::uint64_t response = 0; // Number of the response; tells readers of earlier ones.
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    ChunkHandler chunkHandler; // Waits for the next piece of the body.
    bool reading = false;
    bool writing = false;
    bool reused = false;     // An earlier exchange was completed on this socket.
    bool repeated = false;   // The current exchange was sent before, on another socket.
    bool releasable = false; // Response complete; waits for the write of the request to end.
    bool skipping = false;   // The body of a response to another request is being read.
    bool tainted = false;    // A response to another request arrived; the socket isn't kept.
    core::Duration idleLimit{};
    std::size_t writtenBytes = 0;
    std::uint64_t socketNumber = 0; // Tells completions of a socket that was replaced.
};

} // namespace amaranthdale::http
