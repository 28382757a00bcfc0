// Large response bodies with a known pattern, generated in chunks.
#pragma once

#include "amaranthdale/core/message.h"

#include <memory>

namespace amaranthdale::tools {

/// Byte at `position` of every blob: the digits and lower-case letters, repeated.
char blobByte(std::uint64_t position);

/// A body of `size` bytes. Fails with ConnectionLost after `cutAfter` bytes unless that is 0.
std::unique_ptr<core::BodyReader> makeBlobBody(std::uint64_t size, std::uint64_t cutAfter);

} // namespace amaranthdale::tools
