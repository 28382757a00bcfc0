// Server side of an HTTP/2 stream from a peer.
#pragma once

#include "http2_session.h"

#include "amaranthdale/net/listener.h"

namespace amaranthdale::peer {

/// State shared by the sessions of one listener.
using ServerShared = net::ListenerContext<SessionLimits>;

/// Receives a request, passes it to the handler and sends the response. Must be used on the
/// session's strand.
class ServerStream : public Stream
{
public:
    ServerStream(std::shared_ptr<ServerShared> serverShared, const net::Strand &sessionStrand)
        : shared(std::move(serverShared)), strand(sessionStrand)
    { }

    void onField(std::string_view name, std::string_view value) override;
    void onHeadersComplete() override { this->headersComplete = true; }
    void onData(std::string_view data) override;
    void onEndStream() override { this->requestComplete = true; }
    void onStreamClosed(std::uint32_t) override { this->closed = true; }
    void onSessionClosed() override { this->closed = true; }
    void process() override;

private:
    void handleRequest();
    void onResponse(core::Outcome<core::HttpResponse> outcome);
    void sendHeader(const core::HttpResponse &response, bool withBody);
    void readChunk();
    void onChunk(core::Outcome<core::BodyChunk> chunk);
    void cancelRequest();
    std::shared_ptr<ServerStream> self();

    const std::shared_ptr<ServerShared> shared;
    const net::Strand strand;
    core::HttpRequest request;
    std::shared_ptr<core::Exchange> exchange;       // Set while the handler runs.
    std::shared_ptr<core::BodyReader> responseBody; // Reset after the last chunk.
    bool isHead = false;                            // HEAD request: the response has no body.
    bool headersComplete = false;
    bool requestComplete = false;
    bool bodyTooLarge = false; // The request body exceeds its limit.
    bool handled = false;      // Passed to the handler or reset.
    bool readPending = false;  // A read of the response body is pending.
    bool closed = false;
};

} // namespace amaranthdale::peer
