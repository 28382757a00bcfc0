// Client side of an HTTP/2 stream to a peer.
#pragma once

#include "http2_session.h"

#include <map>
#include <optional>
#include <string>

namespace amaranthdale::peer {

class ClientStream;

/// Deadlines of the requests on one link, earliest first.
using RequestDeadlines = std::multimap<core::TimePoint, std::shared_ptr<ClientStream>>;

/// One request, its stream and the body of its response. Must be used on the link's strand;
/// only `cancel` may be called from any thread.
class ClientStream : public Stream, public core::Exchange
{
public:
    using ChunkHandler = std::function<void(core::Outcome<core::BodyChunk>)>;

    ClientStream(const net::Strand &linkStrand, core::Endpoint endpoint, core::HttpRequest message,
                 core::Duration requestTimeout, core::ResponseHandler responseHandler);

    void cancel() override;

    /// Opens the stream on `target`. Returns false if the session accepts no new streams.
    bool open(Http2Session &target);

    /// Ends the request with an error unless it has already finished. If nothing was sent yet, the
    /// error is always of kind Unavailable, so that the caller may retry safely.
    void fail(core::ErrorKind kind, const std::string &reason);

    bool isFinished() const { return this->finished; }

    /// Passes the next chunk of the body, or an error, to `handler`.
    void readChunk(ChunkHandler handler);

    const net::Strand strand;
    const core::Endpoint to;
    const core::Duration timeout;

    /// Entry of this stream in the link's deadlines; maintained by the link.
    std::optional<RequestDeadlines::iterator> deadlineEntry;
    std::function<void(bool)> setDeadlineActive; ///< Restarts (true) or clears the deadline.

    void onField(std::string_view name, std::string_view value) override;
    void onHeadersComplete() override;
    void onData(std::string_view data) override { this->bodyBuffer.append(data); }
    void onEndStream() override { this->responseComplete = true; }
    void onHeadersSent() override { this->headersSent = true; }
    void onStreamClosed(std::uint32_t code) override;
    void onSessionClosed() override;
    void process() override;

private:
    void deliverResponse();
    void deliverChunk();
    void finish(core::Outcome<core::HttpResponse> outcome);
    void clearDeadline();

    core::HttpRequest request;
    core::ResponseHandler handler;
    core::HttpResponse response;
    std::string bodyBuffer; // Unread body data, bounded by the stream's flow-control window.
    ChunkHandler chunkHandler;
    std::optional<core::Error> failure; // Set if the stream ended early.
    bool headersSent = false;           // The peer may have received the headers.
    bool headersComplete = false;       // The headers of the final response arrived.
    bool responseComplete = false;      // The peer sent END_STREAM.
    bool responseDelivered = false;     // The response was passed to the handler.
    bool finished = false;              // No handler will be called any more.
};

} // namespace amaranthdale::peer
