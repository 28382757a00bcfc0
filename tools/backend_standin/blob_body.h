// Large response bodies of a known pattern, produced piece by piece.
#pragma once

#include "amaranthdale/core/message.h"

#include <memory>

namespace amaranthdale::tools {

/// Byte of every blob at `position`: the digits and lower case letters in turn.
char blobByte(std::uint64_t position);

/// A body of `size` bytes. Breaks off with an error after `cutAfter` bytes unless that is 0.
std::unique_ptr<core::BodyReader> makeBlobBody(std::uint64_t size, std::uint64_t cutAfter);

} // namespace amaranthdale::tools
