// A request from a peer.
#pragma once

#include "frame_session.h"

#include "amaranthdale/net/listener.h"

namespace amaranthdale::peer {

/// What the sessions of one listener share.
using ServerShared = net::ListenerShared<SessionLimits>;

/// Collects a request, passes it to the handler and sends the response. Used on the session's
/// strand only.
class ServerStream : public Stream
{
public:
    ServerStream(std::shared_ptr<ServerShared> serverShared, const net::Strand &sessionStrand)
        : shared(std::move(serverShared)), strand(sessionStrand)
    { }

    void onField(std::string_view name, std::string_view value) override;
    void onHeadersEnd() override { this->headersDone = true; }
    void onData(std::string_view data) override;
    void onRemoteEnd() override { this->requestDone = true; }
    void onStreamClosed(std::uint32_t) override { this->closed = true; }
    void onSessionClosed() override { this->closed = true; }
    void process() override;

private:
    void handleRequest();
    void onResponse(core::Outcome<core::HttpResponse> outcome);
    void sendHeader(const core::HttpResponse &response, bool withBody);
    void pull();
    void onChunk(core::Outcome<core::BodyChunk> chunk);
    void end();
    std::shared_ptr<ServerStream> self();

    const std::shared_ptr<ServerShared> shared;
    const net::Strand strand;
    core::HttpRequest request;
    std::shared_ptr<core::Exchange> exchange; // Of the request in the handler.
    std::shared_ptr<core::BodyReader> body;   // Of the response, until its last chunk.
    bool head = false;                        // The response has no body.
    bool headersDone = false;
    bool requestDone = false;
    bool overlong = false; // The request body exceeds its bound.
    bool handled = false;  // Passed to the handler, or reset.
    bool pulling = false;  // A chunk was asked for.
    bool closed = false;
};

} // namespace amaranthdale::peer
