// Text form of durations: a number with a unit. Settings, documents and records use no other.
#pragma once

#include "amaranthdale/core/error.h"
#include "amaranthdale/core/types.h"

#include <string>
#include <string_view>

namespace amaranthdale::records {

/// Parses a whole number followed by ns, us, ms, s, min or h, such as "250ms". Fails with
/// InvalidArgument; signs, spaces, fractions and leading zeros are not allowed.
core::Result<core::Duration> parseDuration(std::string_view text);

/// Formats a non-negative duration in the largest unit that represents it exactly.
std::string formatDuration(core::Duration duration);

} // namespace amaranthdale::records
