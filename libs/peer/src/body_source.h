// Buffers the body of an outgoing HTTP/2 message.
#pragma once

#include "amaranthdale/core/message.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace amaranthdale::peer {

/// Holds one body chunk at a time until nghttp2 has read it into DATA frames.
class BodySource
{
public:
    /// Result of `read`.
    enum class ReadStatus { Data, End, WouldBlock };

    /// Sets the next chunk to send. Returns false if the body does not match its content-length.
    bool setChunk(core::BodyChunk next);

    /// Announces the body's length, if known, so that `setChunk` can check it.
    void setContentLength(std::optional<std::uint64_t> length) { this->remainingLength = length; }

    /// Copies up to `capacity` bytes to `target` and sets `size` to the number copied.
    ReadStatus read(std::uint8_t *target, std::size_t capacity, std::size_t &size);

    /// True if the current chunk is exhausted and was not the last one.
    bool needsChunk() const { return this->offset == this->chunk.data.size() && !this->chunk.last; }

private:
    core::BodyChunk chunk;
    std::size_t offset = 0;                       // Read position within the chunk.
    std::optional<std::uint64_t> remainingLength; // Bytes left of content-length, if given.
};

} // namespace amaranthdale::peer
