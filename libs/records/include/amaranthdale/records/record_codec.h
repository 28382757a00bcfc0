// JSON encoding of log records.
#pragma once

#include "amaranthdale/decisions/log_records.h"
#include "amaranthdale/records/fault.h"

#include <string>
#include <string_view>

namespace amaranthdale::records {

/// Maximum ban duration of a request fingerprint in a record.
inline constexpr core::Duration maxBanDuration = std::chrono::hours(24);

/// Encodes a record as one line of ASCII. Hot keys and snapshot pieces may contain arbitrary bytes
/// and are percent-encoded.
std::string encodeRecord(const decisions::LogRecord &record);

/// Decodes the output of `encodeRecord`. Malformed input results in faults, never in a crash.
ValidationResult<decisions::LogRecord> decodeRecord(std::string_view text);

} // namespace amaranthdale::records
