// Durations as text with their unit, the only form in settings, documents and records.
#pragma once

#include "amaranthdale/core/error.h"
#include "amaranthdale/core/types.h"

#include <string>
#include <string_view>

namespace amaranthdale::records {

/// Reads a whole number followed by ns, us, ms, s, min or h, such as "250ms". Signs, spaces,
/// fractions and leading zeros are refused. Fails with InvalidArgument.
core::Result<core::Duration> parseDuration(std::string_view text);

/// Writes a duration of 0 or more in the largest unit that states it exactly.
std::string formatDuration(core::Duration duration);

} // namespace amaranthdale::records
