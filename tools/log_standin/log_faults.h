// Faults injected by the log stand-in, set at run time.
#pragma once

#include "amaranthdale/records/object_reader.h"

#include <boost/json/object.hpp>

namespace amaranthdale::tools {

/// All faults are off by default.
struct LogFaults
{
    bool down = false;            ///< Every request gets 503; nothing is appended.
    core::Duration appendDelay{}; ///< Delay of an append's response; the record is stored at once.
    core::Duration effectDelay{}; ///< Delay before an append takes effect and is answered.
    core::Duration readDelay{};   ///< Delay before a read starts.
    std::uint64_t loseAppendResponses = 0; ///< Number of following appends whose response is lost.
};

/// Updates `faults` from the fields that are present; the others keep their values.
void readFaults(records::ObjectReader &reader, LogFaults &faults);

boost::json::object toJson(const LogFaults &faults);

} // namespace amaranthdale::tools
