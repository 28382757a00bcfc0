// Writes responses to a connection, reading their bodies chunk by chunk.
#pragma once

#include "header_text.h"

#include "amaranthdale/http/server.h"
#include "amaranthdale/net/deadline.h"
#include "amaranthdale/net/socket.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace amaranthdale::http {

/// A message or response that made no progress for this long may be evicted to make room for
/// others.
inline constexpr auto stallTime = std::chrono::milliseconds(500);

/// Writes one response at a time and buffers at most one body chunk. Must be used on the strand of
/// the socket. After its first chunk, a response that is passed on while it arrives needs room in
/// the budget of responses; while it is written, it is listed there with its last progress.
class ResponseWriter
{
public:
    /// Called once per response with true when it was written completely.
    using DoneHandler = std::function<void(bool)>;

    ResponseWriter(net::Socket &connectionSocket, net::Deadline &connectionDeadline,
                   const ServerLimits &serverLimits, DoneHandler doneHandler)
        : socket(connectionSocket), deadline(connectionDeadline), limits(serverLimits),
          done(std::move(doneHandler)), hold(serverLimits.responseBudget)
    { }

    /// Starts writing `response`. Pending operations hold `owner`, which must own this object.
    void start(std::shared_ptr<memory::Evictable> owner, core::HttpResponse response,
               RequestTraits traits);

    /// Stops writing without calling the done handler and releases the response body.
    void cancel();

    /// True while a response waits for room in the budget; it then uses the deadline.
    bool isWaiting() const { return this->waitEnd.has_value(); }

    /// Looks for room again.
    void onDeadline() { this->readOn(); }

    /// True if the pending write is listed in the budget and has made no progress for `stallTime`.
    bool hasStalled(core::TimePoint now) const
    {
        return this->listed && now - this->progress >= stallTime;
    }

private:
    void readOn();
    void list();
    void unlist();
    std::size_t onWriteProgress(const net::ErrorCode &error, std::size_t size);
    void readNextChunk();
    void onChunk(core::Outcome<core::BodyChunk> chunk);
    bool acceptChunk(core::BodyChunk chunk);
    void frameChunk(const core::BodyChunk &chunk);
    void write();
    void onWritten(const net::ErrorCode &error);
    void finish(bool complete);

    net::Socket &socket;
    net::Deadline &deadline;
    const ServerLimits &limits;
    const DoneHandler done;

    std::shared_ptr<memory::Evictable>
            lifetimeGuard; // The owner, set while a response is in progress.
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

    memory::Hold hold;                      // For chunks after the first one.
    std::optional<core::TimePoint> waitEnd; // Set while a response waits for room.
    core::TimePoint progress{};             // Of the pending write.
    std::size_t progressBytes = 0;          // Written of it until then.
    bool listed = false;                    // In the budget, as a response that is written.
};

} // namespace amaranthdale::http
