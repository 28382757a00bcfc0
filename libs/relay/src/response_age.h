// How old the data of a relay's response is, as stated in the response's header.
#pragma once

#include "amaranthdale/core/message.h"

#include <optional>

namespace amaranthdale::relay {

/// Ages add up over relays: a reader counts the age at the relay and the time on the way.
struct ResponseAge
{
    core::Duration age{};  ///< Of the data, when the response was sent.
    core::Duration held{}; ///< Time from the arrival of the request to the response.
};

void setResponseAge(core::HttpResponse &response, const ResponseAge &responseAge);

/// The time as of which the response contains everything, if it says so. The request was sent at
/// `sentAt`, so the response was sent at `sentAt` plus `held` at the earliest.
std::optional<core::TimePoint> confirmationTime(const core::HttpResponse &response,
                                                core::TimePoint sentAt);

} // namespace amaranthdale::relay
