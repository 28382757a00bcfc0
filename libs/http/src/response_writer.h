// Writes responses to a connection, reading their bodies chunk by chunk.
#pragma once

#include "header_text.h"

#include "amaranthdale/net/deadline.h"
#include "amaranthdale/net/socket.h"

#include <functional>
#include <memory>
#include <string>

namespace amaranthdale::http {

/// Writes one response at a time and buffers at most one body chunk. Must be used on the strand of
/// the socket.
class ResponseWriter
{
public:
    /// Called once per response with true when it was written completely.
    using DoneHandler = std::function<void(bool)>;

    ResponseWriter(net::Socket &connectionSocket, net::Deadline &connectionDeadline,
                   core::Duration timeout, DoneHandler doneHandler)
        : socket(connectionSocket), deadline(connectionDeadline), writeTimeout(timeout),
          done(std::move(doneHandler))
    { }

    /// Starts writing `response`. Pending operations hold `owner`, which must own this object.
    void start(std::shared_ptr<void> owner, core::HttpResponse response, RequestTraits traits);

    /// Stops writing without calling the done handler and releases the response body.
    void cancel();

private:
    void readNextChunk();
    void onChunk(core::Outcome<core::BodyChunk> chunk);
    bool acceptChunk(core::BodyChunk chunk);
    void frameChunk(const core::BodyChunk &chunk);
    void write();
    void onWritten(const net::ErrorCode &error);
    void finish(bool complete);

    net::Socket &socket;
    net::Deadline &deadline;
    const core::Duration writeTimeout;
    const DoneHandler done;

    std::shared_ptr<void> lifetimeGuard; // The owner, set while a response is in progress.
    std::shared_ptr<core::BodyReader> body;
    BodyFraming framing = BodyFraming::None;
    std::uint64_t remainingBytes = 0; // Body bytes left according to Content-Length.
    std::uint64_t responseNumber = 0; // Detects completions of a cancelled response.
    std::string prefix;               // Header and chunk size, written before the data.
    std::string data;
    std::string suffix; // Chunk terminator, written after the data.
    bool last = false;  // `data` is the last chunk.
    bool writePending = false;
    bool readPending = false;
    bool dataPending = false; // Header or chunk ready to be written.
};

} // namespace amaranthdale::http
