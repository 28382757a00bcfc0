// Waits for the result of an asynchronous call.
#pragma once

#include "amaranthdale/core/outcome.h"

#include <future>
#include <memory>

namespace amaranthdale::cli {

/// Runs `start` with a handler and returns what the handler got. `start` sees to it that the
/// handler is called exactly once; transports bound the time by their timeouts.
template<class T, class Start>
core::Outcome<T> waitFor(Start &&start)
{
    const auto promise = std::make_shared<std::promise<core::Outcome<T>>>();
    std::future<core::Outcome<T>> future = promise->get_future();
    start([promise](core::Outcome<T> outcome) { promise->set_value(std::move(outcome)); });
    return future.get();
}

} // namespace amaranthdale::cli
