// Faults of the log stand-in, set at run time.
#pragma once

#include "amaranthdale/records/object_reader.h"

#include <boost/json/object.hpp>

namespace amaranthdale::tools {

/// All faults are off by default.
struct LogFaults
{
    bool down = false;                     ///< Every request gets 503; nothing is appended.
    core::Duration appendDelay{};          ///< Response of an append waits; the effect doesn't.
    core::Duration effectDelay{};          ///< An append takes effect, and is answered, later.
    core::Duration readDelay{};            ///< A read begins later.
    std::uint64_t loseAppendResponses = 0; ///< So many next appends get no usable response.
};

/// Reads the fields that are present and keeps the others.
void readFaults(records::ObjectReader &reader, LogFaults &faults);

boost::json::object toJson(const LogFaults &faults);

} // namespace amaranthdale::tools
