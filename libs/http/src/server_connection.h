// One connection of the HTTP/1.1 listener.
#pragma once

#include "response_writer.h"
#include "stream_body.h"

#include "amaranthdale/http/server.h"
#include "amaranthdale/net/listener.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <optional>

namespace amaranthdale::http {

/// What the connections of one listener share.
using ServerShared = net::ListenerShared<ServerLimits>;

/// Reads requests one after the other and writes their responses. One read is pending at nearly all
/// times, so that the end of the connection is noticed while a request is being answered.
class ServerConnection : public net::Connection,
                         public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(net::Socket connectionSocket, std::shared_ptr<ServerShared> serverShared);

    /// Begins to read. Called once, from any thread.
    void start();

    void close() override;
    void drain() override;

private:
    enum class State {
        Idle,      ///< Between requests, nothing received.
        Reading,   ///< Part of a request was received.
        Answering, ///< The handler has the request or its response is being written.
        Lingering, ///< Closed for writing; what still arrives is dropped.
        Closed,
    };

    using Parser = boost::beast::http::request_parser<StreamBody>;

    void begin();
    void beginRequest();
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

    net::Socket socket;
    net::Deadline deadline;
    const std::shared_ptr<ServerShared> shared;
    ResponseWriter writer;
    State state = State::Idle;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser; // Set while state is Reading.
    bool headerSeen = false;      // Of the request being read.
    bool reading = false;         // A read is pending.
    bool draining = false;
    RequestTraits traits;
    std::shared_ptr<core::Exchange> exchange; // Of the request being answered.
    std::size_t lingeredBytes = 0;
};

} // namespace amaranthdale::http
