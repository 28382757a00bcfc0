// Buffering of the beginning of a response body before the response is forwarded.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/core/message.h"

#include <functional>
#include <memory>
#include <string>

namespace amaranthdale::gateway {

/// The beginning of a body, or all of it.
struct BodyPrefix
{
    std::string text;
    bool complete = false;
};

/// Reads to the end of the body, or until more than `limit` bytes were read.
void readPrefix(std::shared_ptr<core::BodyReader> body, std::shared_ptr<std::string> text,
                std::size_t limit, std::function<void(core::Outcome<BodyPrefix>)> handler);

/// Returns the part that was already read, then the rest of the body. Fails with Timeout from
/// `expiry` on: a body without end would otherwise occupy its connections for good.
std::shared_ptr<core::BodyReader> joinBody(std::string prefix,
                                           std::shared_ptr<core::BodyReader> rest,
                                           clock::Clock &clock, core::TimePoint expiry);

} // namespace amaranthdale::gateway
