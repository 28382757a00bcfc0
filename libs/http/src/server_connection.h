// Connection of the HTTP/1.1 server.
#pragma once

#include "response_writer.h"
#include "stream_body.h"

#include "amaranthdale/http/server.h"
#include "amaranthdale/net/listener.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <atomic>
#include <optional>

namespace amaranthdale::http {

/// State shared by the connections of one listener.
using ServerContext = net::ListenerContext<ServerLimits>;

/// Handles requests sequentially. A read stays pending while a request is being handled, unless
/// pipelined input is buffered, so that a disconnect of the client is detected.
class ServerConnection : public net::Connection,
                         public memory::Evictable,
                         public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(net::Socket connectionSocket, std::shared_ptr<ServerContext> serverContext);
    ~ServerConnection() override;

    /// Starts reading. Must be called once; may be called from any thread.
    void start();

    void close() override;
    void drain() override;
    std::optional<core::TimePoint> idleSince() const override;
    void evict() override;

private:
    enum class State {
        Idle,       ///< Between requests, no data received.
        Reading,    ///< A request has been received in part.
        Responding, ///< The request is being handled or its response written.
        Lingering,  ///< Shut down for writing; input is discarded.
        Closed,
    };

    using Parser = boost::beast::http::request_parser<StreamBody>;

    void startReading();
    void awaitRequest();
    void onDrainedWhileIdle();
    void readMore();
    void onRead(const net::ErrorCode &error, std::size_t size);
    void parse();
    void onHeader();
    void onParseError(const net::ErrorCode &error);
    void sendContinue();
    void handleRequest();
    core::HttpRequest takeRequest();
    void onResponse(core::Outcome<core::HttpResponse> outcome);
    void reject(unsigned status, std::string_view kind, std::string_view message);
    void onResponseDone(bool complete);
    void linger();
    void onDeadline();
    void abort();
    std::size_t readSize() const;
    std::size_t maxBodyBytes() const;
    std::size_t plannedBytes() const;
    void readIncomplete();
    void setBodyDeadline();
    void pauseReading(std::size_t bytes);
    void awaitFailure();
    void resumeReading();
    void onProgress(std::size_t size);
    void endIncomplete();
    void releaseMessage();
    void countClosed();

    net::Socket socket;
    net::Deadline deadline;
    const std::shared_ptr<ServerContext> context;
    ResponseWriter writer;
    State state = State::Idle;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser; // Set in state Reading.
    bool headerParsed = false;    // For the request being read.
    bool reading = false;         // A read is pending.
    bool draining = false;
    RequestTraits traits;
    std::shared_ptr<core::Exchange> exchange; // For the request being handled.
    std::size_t discardedBytes = 0;
    bool openCounted = true;    // Among the context's open connections.
    bool lingerCounted = false; // Among its lingering ones.
    std::atomic<core::TimePoint> idleTime{core::TimePoint::max()}; // max(): not idle.

    // Of the request being read.
    memory::Hold hold; // Until the response is complete; without what the request itself holds.
    std::size_t receivedBytes = 0;
    std::size_t headerBytes = 0;
    std::size_t unmarkedBytes = 0; // Received since `progressTime`.
    core::TimePoint progressTime{};
    core::TimePoint bodyBegin{};
    core::TimePoint pauseBegin{};
    bool paused = false;     // Nothing is read until the budget has room.
    bool incomplete = false; // Listed in the budget.
    bool failureAwaited = false;
};

} // namespace amaranthdale::http
