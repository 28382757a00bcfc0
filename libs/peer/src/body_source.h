// The body that a stream sends.
#pragma once

#include "amaranthdale/core/message.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace amaranthdale::peer {

/// Holds one chunk at a time between the body's reader and nghttp2.
class BodySource
{
public:
    /// What `provide` could do.
    enum class Supply { Data, End, Wait };

    /// Sets the chunk to send. Returns false when it doesn't fit the announced length.
    bool put(core::BodyChunk next);

    void expectLength(std::optional<std::uint64_t> length) { this->remaining = length; }

    /// Copies up to `capacity` bytes to `target` and sets `size` to their number.
    Supply provide(std::uint8_t *target, std::size_t capacity, std::size_t &size);

    /// True when the chunk is used up and it wasn't the last.
    bool isEmpty() const { return this->offset == this->chunk.data.size() && !this->chunk.last; }

private:
    core::BodyChunk chunk;
    std::size_t offset = 0;                 // Into the chunk: what is left of it begins here.
    std::optional<std::uint64_t> remaining; // Bytes that content-length still promises.
};

} // namespace amaranthdale::peer
