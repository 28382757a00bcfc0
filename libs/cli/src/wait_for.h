// Blocks until an asynchronous call completes.
#pragma once

#include "amaranthdale/core/outcome.h"

#include <future>
#include <memory>

namespace amaranthdale::cli {

/// Calls `start` with a handler and blocks until the handler receives a result, which is returned.
/// `start` must ensure that the handler is called exactly once; the transport's timeout bounds the
/// wait.
template<class T, class Start>
core::Outcome<T> waitFor(Start &&start)
{
    const auto promise = std::make_shared<std::promise<core::Outcome<T>>>();
    std::future<core::Outcome<T>> future = promise->get_future();
    start([promise](core::Outcome<T> outcome) { promise->set_value(std::move(outcome)); });
    return future.get();
}

} // namespace amaranthdale::cli
