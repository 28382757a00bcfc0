// Encoding of records sent between instances.
//
// Each record: offset (8 bytes), length of the key and of the value (4 bytes each, big-endian),
// key, value. A value length of `noValue` marks a removed key.
#pragma once

#include "amaranthdale/relay/record_source.h"

namespace amaranthdale::relay {

std::string encodeRecords(const std::vector<Record> &records);

/// Fails with Protocol if the body is not a sequence of complete records.
core::Outcome<std::vector<Record>> decodeRecords(std::string_view body);

} // namespace amaranthdale::relay
