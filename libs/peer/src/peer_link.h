// The kept connection to one peer.
#pragma once

#include "client_stream.h"

#include "amaranthdale/net/deadline.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

namespace amaranthdale::peer {

/// Connects on demand, holds at most one session for new requests, and keeps the time limits of all
/// requests with one timer. `submit` and `close` may be called from any thread; the rest runs on
/// the link's strand.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(boost::asio::io_context &context, core::Endpoint endpoint,
             SessionLimits sessionLimits);

    std::shared_ptr<core::Exchange> submit(core::HttpRequest request, core::Duration timeout,
                                           core::ResponseHandler handler);

    /// Fails all requests and closes the connection.
    void close();

private:
    void begin(const std::shared_ptr<ClientStream> &stream);
    void openOrWait(const std::shared_ptr<ClientStream> &stream);
    void connect();
    void onConnected(const net::ErrorCode &error);
    void failWaiting(const std::string &reason);
    void limitTime(const std::shared_ptr<ClientStream> &stream, core::TimePoint time);
    void clearTime(ClientStream &stream);
    void onTimeLimit();

    const core::Endpoint to;
    const SessionLimits limits;
    const net::Strand strand;
    net::Deadline connectDeadline;
    net::Deadline requestDeadline;
    std::unique_ptr<net::Socket> connecting; // Set while a connect is in progress.
    std::shared_ptr<FrameSession> session;   // Takes new requests; null when not connected.
    std::vector<std::shared_ptr<ClientStream>> waiting; // For the connect in progress.
    TimeLimits timeLimits;
    core::TimePoint retryAt{}; // No connect before this.
    bool closed = false;
};

} // namespace amaranthdale::peer
