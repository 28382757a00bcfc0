// Tracks calls of a request handler, so that its owner can wait for them before destroying it.
#pragma once

#include "amaranthdale/core/message.h"

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace amaranthdale::net {

/// Forwards requests to a `RequestHandler` until closed. Thread-safe; the mutex is not held while
/// the handler runs.
class HandlerGate
{
public:
    explicit HandlerGate(core::RequestHandler &requestHandler) : handler(requestHandler) { }

    /// Calls the handler and stores the exchange that it returns. After `close`, returns false
    /// without calling the handler or `respond`.
    bool handle(core::HttpRequest request, core::ResponseHandler respond,
                std::shared_ptr<core::Exchange> &exchange);

    /// Rejects further calls and blocks until the active ones have returned. Deadlocks when called
    /// from within the handler.
    void close();

private:
    bool enter();
    void leave();

    core::RequestHandler &handler;
    std::mutex mutex;
    std::condition_variable noActiveCalls;
    std::size_t activeCalls = 0;
    bool closed = false;
};

} // namespace amaranthdale::net
