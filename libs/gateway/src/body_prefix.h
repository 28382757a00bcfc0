// Buffering of the beginning of a response body before the response is forwarded.
#pragma once

#include "buffer_budget.h"

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
    std::shared_ptr<BufferShare> share; ///< Held while `text` is in memory.
};

/// Reads to the end of the body, until more than `limit` bytes were read, or until `budget` is used
/// up by this and other bodies.
void readPrefix(std::shared_ptr<core::BodyReader> body, std::size_t limit,
                std::shared_ptr<memory::Budget> budget,
                std::function<void(core::Outcome<BodyPrefix>)> handler);

/// Returns the part that was already read, then the rest of the body, if `rest` is set. Fails with
/// Timeout from `expiry` on: a body without end would otherwise occupy its connections for good.
std::shared_ptr<core::BodyReader> joinBody(BodyPrefix prefix,
                                           std::shared_ptr<core::BodyReader> rest,
                                           clock::Clock &clock, core::TimePoint expiry);

} // namespace amaranthdale::gateway
