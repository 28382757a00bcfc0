// Persistent client connection to one peer.
#pragma once

#include "client_stream.h"

#include "amaranthdale/net/deadline.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

namespace amaranthdale::peer {

/// Connects on demand, keeps at most one session for new requests, and enforces the deadlines of
/// all requests with one timer. `submit` and `close` are thread-safe; everything else runs on the
/// link's strand.
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
    void start(const std::shared_ptr<ClientStream> &stream);
    void openOrQueue(const std::shared_ptr<ClientStream> &stream);
    void connect();
    void onConnected(const net::ErrorCode &error);
    void failPending(const std::string &reason);
    void setDeadline(const std::shared_ptr<ClientStream> &stream, core::TimePoint time);
    void clearDeadline(ClientStream &stream);
    void onDeadline();

    const core::Endpoint to;
    const SessionLimits limits;
    const net::Strand strand;
    net::Deadline connectDeadline;
    net::Deadline requestDeadline;
    std::unique_ptr<net::Socket> connectingSocket; // Set while connecting.
    std::shared_ptr<Http2Session> session;         // For new requests; null if not connected.
    std::vector<std::shared_ptr<ClientStream>> pendingStreams; // Wait for the connect.
    RequestDeadlines deadlines;
    core::TimePoint earliestReconnect{}; // No connection attempt before this time.
    bool closed = false;
};

} // namespace amaranthdale::peer
