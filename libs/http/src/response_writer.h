// Writes one response at a time to a connection, pulling its body chunk by chunk.
#pragma once

#include "header_text.h"

#include "amaranthdale/net/deadline.h"
#include "amaranthdale/net/socket.h"

#include <functional>
#include <memory>
#include <string>

namespace amaranthdale::http {

/// Used on the strand of its socket only. At most one chunk is held at a time.
class ResponseWriter
{
public:
    /// Called once for each response: true when the whole response went out.
    using DoneHandler = std::function<void(bool)>;

    ResponseWriter(net::Socket &connectionSocket, net::Deadline &connectionDeadline,
                   core::Duration timeout, DoneHandler doneHandler)
        : socket(connectionSocket), deadline(connectionDeadline), writeTimeout(timeout),
          done(std::move(doneHandler))
    { }

    /// Writes `response`. `owner` keeps this object alive through pending operations.
    void start(std::shared_ptr<void> owner, core::HttpResponse response, RequestTraits traits);

    /// Gives the response up without calling the done handler; cancels the rest of its body.
    void abandon();

private:
    void pull();
    void onChunk(core::Outcome<core::BodyChunk> chunk);
    bool takeChunk(core::BodyChunk chunk);
    void frameChunk(const core::BodyChunk &chunk);
    void write();
    void onWritten(const net::ErrorCode &error);
    void finish(bool complete);

    net::Socket &socket;
    net::Deadline &deadline;
    const core::Duration writeTimeout;
    const DoneHandler done;

    std::shared_ptr<void> keepAlive; // Set while a response is in progress.
    std::shared_ptr<core::BodyReader> body;
    BodyFraming framing = BodyFraming::None;
    std::uint64_t remaining = 0; // Bytes that Content-Length still promises.
    std::uint64_t number = 0;    // Of the response; tells late chunks of an abandoned one.
    std::string prefix;          // Header or chunk size, written before the data.
    std::string data;
    std::string suffix; // End of the chunk.
    bool last = false;  // The data is the last of the response.
    bool writing = false;
    bool pulling = false;
    bool writable = false; // There is something to write.
};

} // namespace amaranthdale::http
