// Lets the owner of a request handler wait until no transport thread is inside it.
#pragma once

#include "amaranthdale/core/message.h"

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace amaranthdale::net {

/// Access to a `RequestHandler` that ends at a known moment. Thread-safe; its lock is never held
/// during a call of the handler.
class HandlerGate
{
public:
    explicit HandlerGate(core::RequestHandler &requestHandler) : handler(requestHandler) { }

    /// Passes the request on. Returns false, without calling `respond`, after `close`.
    bool handle(core::HttpRequest request, core::ResponseHandler respond,
                std::shared_ptr<core::Exchange> &exchange);

    /// Returns when no call is inside the handler and none will be. Not to be called from inside
    /// the handler.
    void close();

private:
    bool enter();
    void leave();

    core::RequestHandler &handler;
    std::mutex mutex;
    std::condition_variable empty;
    std::size_t inside = 0;
    bool closed = false;
};

} // namespace amaranthdale::net
