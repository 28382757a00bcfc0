// A request to a peer.
#pragma once

#include "frame_session.h"

#include <map>
#include <optional>
#include <string>

namespace amaranthdale::peer {

class ClientStream;

/// Time limits of the requests on one link, in order of time.
using TimeLimits = std::multimap<core::TimePoint, std::shared_ptr<ClientStream>>;

/// One request, its stream and the body of its response. Used on the strand of its link, except for
/// `cancel`.
class ClientStream : public Stream, public core::Exchange
{
public:
    using ChunkHandler = std::function<void(core::Outcome<core::BodyChunk>)>;

    ClientStream(const net::Strand &linkStrand, core::Endpoint endpoint, core::HttpRequest message,
                 core::Duration limit, core::ResponseHandler responseHandler);

    void cancel() override;

    /// Opens the stream on `target`. Returns false when it takes no new one.
    bool open(FrameSession &target);

    /// Ends the request with an error, unless it has ended. An error is of kind Unavailable when
    /// nothing was sent, whatever `kind` says.
    void fail(core::ErrorKind kind, const std::string &reason);

    bool isFinished() const { return this->finished; }

    /// Gives the next piece of the body to `handler`.
    void readChunk(ChunkHandler handler);

    const net::Strand strand;
    const core::Endpoint to;
    const core::Duration timeout;

    /// The link's entry for this stream. Both are set and cleared by `limitTime`.
    std::optional<TimeLimits::iterator> timeLimit;
    std::function<void(bool)> limitTime; ///< Sets (true) or clears the time limit.

    void onField(std::string_view name, std::string_view value) override;
    void onHeadersEnd() override;
    void onData(std::string_view data) override { this->received.append(data); }
    void onRemoteEnd() override { this->ended = true; }
    void onHeadersSent() override { this->sent = true; }
    void onStreamClosed(std::uint32_t code) override;
    void onSessionClosed() override;
    void process() override;

private:
    void deliverResponse();
    void deliverChunk();
    void finish(core::Outcome<core::HttpResponse> outcome);
    void stopTimer();

    core::HttpRequest request;
    core::ResponseHandler handler;
    core::HttpResponse response;
    std::string received; // Of the body; at most the stream's window, which opens on reading.
    ChunkHandler chunkHandler;
    std::optional<core::Error> failure; // Why the stream ended early.
    bool sent = false;                  // The header may have reached the peer.
    bool headersDone = false;           // Of the final response.
    bool ended = false;                 // The response is complete.
    bool delivered = false;             // The response was given to the handler.
    bool finished = false;              // Nothing more will be given to anyone.
};

} // namespace amaranthdale::peer
