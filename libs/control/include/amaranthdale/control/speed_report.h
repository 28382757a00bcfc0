// Body of a message with the service times that an instance's slot pools have measured.
//
// One line "REQUESTS MICROSECONDS ROUTE INCARNATION SERVER" per route and server: the recent
// requests in hundredths, the sum of their service times, the hash of the route's name, and the
// server's incarnation and name.
#pragma once

#include "amaranthdale/balance/server_speeds.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::control {

/// Omits what exceeds the size of a report.
std::string formatSpeedReport(const std::vector<balance::ServerTimes> &servers);

/// Returns nothing unless every line is valid.
std::optional<std::vector<balance::ServerTimes>> parseSpeedReport(std::string_view text);

} // namespace amaranthdale::control
