// Connection of the HTTP/1.1 client.
#pragma once

#include "client_exchange.h"
#include "stream_body.h"

#include "amaranthdale/net/deadline.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <optional>

namespace amaranthdale::http {

/// Handles one exchange at a time. All private functions run on the strand of the socket.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    using ChunkHandler = std::function<void(core::Outcome<core::BodyChunk>)>;

    ClientConnection(std::shared_ptr<ConnectionPool> connectionPool, core::Endpoint endpoint);

    const core::Endpoint &endpoint() const { return this->remoteEndpoint; }

    // Thread-safe. Each posts its work to the strand.
    void start(std::shared_ptr<ClientExchange> exchange);
    void cancel(std::shared_ptr<ClientExchange> exchange);
    void close();
    void readBody(std::uint64_t responseNumber, ChunkHandler handler);
    void cancelBody(std::uint64_t responseNumber);

    // Guarded by the pool's mutex.
    std::size_t assignedBodyBytes = 0; ///< Of the current request.
    core::TimePoint idleSince{};       ///< Meaningful while in the pool's idle list.

private:
    enum class State {
        Unconnected, ///< New, or closed by the server after an exchange was assigned.
        Idle,        ///< Connected, in the pool's idle list.
        Connecting,
        AwaitingResponse, ///< Request written at least in part, no final response header yet.
        ReadingBody,      ///< The response has been delivered; its body is being read.
        Closed,
    };

    using Parser = boost::beast::http::response_parser<StreamBody>;

    void startExchange(std::shared_ptr<ClientExchange> exchange);
    void connect();
    void onConnected(const net::ErrorCode &error);
    void writeRequest();
    void onWritten(const net::ErrorCode &error, std::size_t size);
    void readMore(std::size_t size);
    void onRead(const net::ErrorCode &error, std::size_t size);
    bool parse();
    void resetParser();
    void onHeader();
    void readNextHeader();
    bool isMismatchedResponse() const;
    void discardResponse();
    void updateIdleTimeout();
    bool isWriteCompleting() const;
    void deliverResponse();
    void deliverChunk();
    void onConnectionLost(const net::ErrorCode &error);
    void onIdleClosed();
    bool resendOnNewConnection();
    void release();
    void onDeadline();
    void fail(core::ErrorKind kind, const std::string &reason);
    void closeConnection();

    const std::shared_ptr<ConnectionPool> pool;
    const core::Endpoint remoteEndpoint;
    net::Socket socket;
    net::Deadline deadline;
    State state = State::Unconnected;
    std::shared_ptr<ClientExchange> current;
    std::uint64_t responseNumber = 0; // Detects readers of earlier responses.
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    ChunkHandler chunkHandler; // Set while a body read is pending.
    bool reading = false;
    bool writing = false;
    bool writeFailed = false;      // The request was not sent to its end.
    bool reused = false;           // An exchange has completed on this socket.
    bool resent = false;           // The current exchange has been resent on a new socket.
    bool releasePending = false;   // Response complete, request write still pending.
    bool deliveryPending = false;  // The response waits for the completion of the write.
    bool endPending = false;       // The end of the stream waits for the completion of the write.
    bool discarding = false;       // The response to another request is being read.
    bool mustClose = false;        // A response to another request arrived; not reusable.
    std::size_t skippedBytes = 0;  // Received since the request was written, before its response.
    unsigned skippedResponses = 0; // Responses to other requests within `skippedBytes`.
    core::Duration idleTimeout{};
    std::size_t writtenBytes = 0;
    std::uint64_t socketGeneration = 0; // Detects completions of a replaced socket.
};

} // namespace amaranthdale::http
