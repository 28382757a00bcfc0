// JSON form of log records.
#pragma once

#include "amaranthdale/decisions/log_records.h"
#include "amaranthdale/records/fault.h"

#include <string>
#include <string_view>

namespace amaranthdale::records {

/// Longest ban of a request fingerprint that a record may state.
inline constexpr core::Duration longestBan = std::chrono::hours(24);

/// Writes a record as one line of ASCII. Hot keys and snapshot pieces are percent-encoded, since
/// they may hold any bytes.
std::string encodeRecord(const decisions::LogRecord &record);

/// Reads what `encodeRecord` writes. Anything else is a list of faults; never crashes on bad input.
Checked<decisions::LogRecord> decodeRecord(std::string_view text);

} // namespace amaranthdale::records
